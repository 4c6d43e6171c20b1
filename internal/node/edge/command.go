package edge

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"hickoryrock/internal/operator/command"
	"hickoryrock/platform"
)

const (
	// logBufferLines is the capacity of the log buffer. Lines beyond it are dropped and
	// counted when the log's reader is slow.
	logBufferLines = 4096
	// logPollInterval is how often buffered log lines are written.
	logPollInterval = 20 * time.Millisecond
	// memoryLimitFraction is the part of the process's memory that the Go runtime is
	// limited to. The rest is left for bytes in socket buffers, which count toward the
	// process's memory, too.
	memoryLimitFraction = 0.7
	// gcPercent is the growth of the heap, in percent, after which the garbage collector runs. The
	// live heap of a router is a few megabytes, so that collecting more often than by default
	// costs little processor time, and VMs have little memory.
	gcPercent = 40
	// exitFailure is the exit code when the router could not start.
	exitFailure = 1
)

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// Commands returns the commands for routers on the users' platform.
func Commands() []command.Command {
	return []command.Command{
		{Name: "edge", Summary: "run a router on the users' platform", Run: runEdge},
		{Name: "check-settings", Summary: "check the settings file of the users' platform", Run: runCheck},
		{Name: "view", Summary: "show the state of a router on the users' platform", Run: runView},
		{Name: "story", Summary: "show the log lines of one call across several routers", Run: runStory},
	}
}

func loadSettings(env command.Env, name string, args []string) (string, platform.Settings, bool) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	path := flags.String("settings", env.Getenv(platform.SettingsVariable), "the settings file")
	if flags.Parse(args) != nil {
		return "", platform.Settings{}, false
	}
	if *path == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintf(env.Stderr, "usage: hickoryrock %s -settings FILE.json (or set %s)\n",
			name, platform.SettingsVariable)
		return "", platform.Settings{}, false
	}
	s, err := platform.LoadSettings(*path)
	s.AssignsSlots = os.Getenv(platform.SlotsVariable) == "1"
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return "", platform.Settings{}, false
	}
	return *path, s, true
}

func runCheck(_ context.Context, env command.Env, args []string) int {
	if _, _, ok := loadSettings(env, "check-settings", args); !ok {
		return command.ExitUsage
	}
	_, _ = fmt.Fprintln(env.Stdout, "the settings are valid")
	return command.ExitOK
}

func runEdge(ctx context.Context, env command.Env, args []string) int {
	// SIGHUP must not end a router that starts or stops and does not watch its settings. The
	// first look at the file notices what has changed since it was read.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	path, s, ok := loadSettings(env, "edge", args)
	if !ok {
		return command.ExitUsage
	}
	writer := diode.NewWriter(env.Stdout, logBufferLines, logPollInterval, func(missed int) {
		metrics.GetOrCreateCounter(`hickoryrock_log_lines_dropped_total`).Add(missed)
	})
	defer func() { _ = writer.Close() }()
	log := zerolog.New(writer).With().Timestamp().Str("router", s.Router).Logger()
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	r, stop, err := New(path, s, log)
	if err != nil {
		log.Error().Err(err).Msg("failed to start router")
		return exitFailure
	}
	defer stop()
	r.Run(ctx)
	return command.ExitOK
}
