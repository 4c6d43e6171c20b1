package edge

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"hickoryrock/internal/operator/command"
	"hickoryrock/platform"
)

const (
	// logLines is how many log lines may wait for a slow reader; more are counted and dropped.
	logLines = 4096
	// logPoll is how often waiting lines are written.
	logPoll = 20 * time.Millisecond
	// memoryShare of the process's memory is what the runtime keeps to; bytes
	// that wait in sockets count, too.
	memoryShare = 0.7
	// exitFailed means that the router could not start.
	exitFailed = 1
)

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// Commands returns the commands that concern a router on the users' platform.
func Commands() []command.Command {
	return []command.Command{
		{Name: "edge", Summary: "run a router on the users' platform", Run: runEdge},
		{Name: "check-settings", Summary: "check the settings file of the users' platform", Run: runCheck},
		{Name: "view", Summary: "show what a router on the users' platform believes", Run: runView},
		{Name: "story", Summary: "show one call's lines out of the logs of several routers", Run: runStory},
	}
}

func load(env command.Env, name string, args []string) (string, platform.Settings, bool) {
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
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return "", platform.Settings{}, false
	}
	return *path, s, true
}

func runCheck(_ context.Context, env command.Env, args []string) int {
	if _, _, ok := load(env, "check-settings", args); !ok {
		return command.ExitUsage
	}
	_, _ = fmt.Fprintln(env.Stdout, "the settings are valid")
	return command.ExitOK
}

func runEdge(ctx context.Context, env command.Env, args []string) int {
	path, s, ok := load(env, "edge", args)
	if !ok {
		return command.ExitUsage
	}
	writer := diode.NewWriter(env.Stdout, logLines, logPoll, func(missed int) {
		metrics.GetOrCreateCounter(`hickoryrock_log_lines_dropped_total`).Add(missed)
	})
	defer func() { _ = writer.Close() }()
	log := zerolog.New(writer).With().Timestamp().Str("router", s.Router).Logger()
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	r, stop, err := New(path, s, log)
	if err != nil {
		log.Error().Err(err).Msg("router cannot start")
		return exitFailed
	}
	defer stop()
	r.Run(ctx)
	return command.ExitOK
}
