// Command standin runs simulated platforms, targets and callers for tests and demos.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hickoryrock/internal/standin/caller"
	"hickoryrock/internal/standin/engine"
	"hickoryrock/internal/standin/order"
	"hickoryrock/internal/standin/platform"
)

// commands maps the name of each simulated component to the function that runs it.
var commands = map[string]func(ctx context.Context, args []string) error{
	"platform": platform.Run,
	"vm":       platform.RegisterVM,
	"caller":   caller.Run,
	"engine":   engine.Run,
	"order":    order.Run,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 || commands[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin platform|vm|engine|order|caller [flags]")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := commands[args[0]](ctx, args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
