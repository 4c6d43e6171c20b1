package router

import (
	"context"
	"flag"
	"fmt"

	"hickoryrock/internal/node/logs"
	"hickoryrock/internal/node/settings"
	"hickoryrock/internal/operator/command"
)

// exitFailure is the exit code when the router could not start or stopped because of an
// error.
const exitFailure = 1

// Commands returns the commands for a single router.
func Commands() []command.Command {
	return []command.Command{
		{Name: "router", Summary: "run a router", Run: runRouter},
		{Name: "check-config", Summary: "check a router's settings file", Run: runCheck},
	}
}

func loadSettings(env command.Env, name string, args []string) (settings.Settings, bool) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	path := flags.String("config", "", "the settings file")
	if flags.Parse(args) != nil {
		return settings.Settings{}, false
	}
	if *path == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintf(env.Stderr, "usage: hickoryrock %s -config FILE.yaml\n", name)
		return settings.Settings{}, false
	}
	s, err := settings.Load(*path)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return settings.Settings{}, false
	}
	return s, true
}

func runCheck(_ context.Context, env command.Env, args []string) int {
	if _, ok := loadSettings(env, "check-config", args); !ok {
		return command.ExitUsage
	}
	_, _ = fmt.Fprintln(env.Stdout, "the settings are valid")
	return command.ExitOK
}

func runRouter(ctx context.Context, env command.Env, args []string) int {
	s, ok := loadSettings(env, "router", args)
	if !ok {
		return command.ExitUsage
	}
	log := logs.New(env.Stderr, s.Log, s.Name)
	r, stop, err := New(s, log)
	if err != nil {
		log.Error().Err(err).Msg("failed to start router")
		return exitFailure
	}
	defer stop()
	if err := r.Run(ctx); err != nil {
		log.Error().Err(err).Msg("router stopped with an error")
		return exitFailure
	}
	return command.ExitOK
}
