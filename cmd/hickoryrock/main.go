// Command hickoryrock runs a router and provides the commands for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	_ "time/tzdata" // The VMs may have no time zone database.

	"hickoryrock/internal/caller/client"
	"hickoryrock/internal/node/edge"
	"hickoryrock/internal/node/router"
	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/operator/configcommand"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/daily"
)

func main() {
	os.Exit(run(slices.Concat(edge.Commands(), configcommand.Commands(), router.Commands(), command.Commands(), client.Commands(), daily.Commands())))
}

// run executes the command that the process's arguments name and returns its exit code.
func run(commands []command.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := command.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Open:   openPlatform,
	}
	return command.Dispatch(ctx, commands, env, os.Args[1:])
}

// openPlatform returns a client of the platform at a URL and a function that closes it.
func openPlatform(url string) (objects.Store, func(), error) {
	store, stop := objects.New(objects.WithBaseURLs(url), objects.WithName("operator"))
	return store, stop, nil
}
