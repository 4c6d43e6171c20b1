// Package command implements the command line for operators.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
)

const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitTimeout means that wait timed out before the change was in force.
	ExitTimeout = 1
	// ExitUsage means invalid flags, arguments or files; nothing was written.
	ExitUsage = 2
	// ExitConflict means that another operator changed the resource first; it was not written.
	ExitConflict = 3
	// ExitUnavailable means that the platform was unavailable; the change was not written.
	ExitUnavailable = 4
	// ExitUnknown means that a write may or may not have taken effect; read the resource to find out.
	ExitUnknown = 5
	// ExitNotFound means that the resource does not exist.
	ExitNotFound = 6
	// ExitInvalid means that routers rejected the resource and keep its last valid version.
	ExitInvalid = 7

	// PlatformVariable is the environment variable with the URL of the platform's object API.
	PlatformVariable = "HICKORYROCK_PLATFORM"

	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

type (
	// Command is one subcommand of the program.
	Command struct {
		Name    string
		Summary string
		// Run executes the command and returns the exit code.
		Run func(ctx context.Context, env Env, args []string) int
	}

	// Env is the part of the process environment that a command may use.
	Env struct {
		Stdin  io.Reader
		Stdout io.Writer
		Stderr io.Writer
		Getenv func(name string) string
		// Open returns a client of the platform's object API and a function that closes it.
		Open func(platform string) (objects.Store, func(), error)
	}

	// invocation is one command line, parsed by parse.
	invocation struct {
		env      Env
		flags    *flag.FlagSet
		platform string
		output   string
		args     []string
	}

	// exitError is an error with the exit code that it causes.
	exitError struct {
		code int
		err  error
	}
)

// Commands returns the operators' commands.
func Commands() []Command {
	return []Command{
		{Name: "apply", Summary: "create or change resources from a file", Run: runApply},
		{Name: "get", Summary: "show resources", Run: runGet},
		{Name: "delete", Summary: "delete a resource", Run: runDelete},
		{Name: "status", Summary: "show what is in force where", Run: runStatus},
		{Name: "wait", Summary: "wait until a change is in force everywhere", Run: runWait},
		{Name: "nodes", Summary: "show the routers", Run: runNodes},
		{Name: "targets", Summary: "show the targets", Run: runTargets},
	}
}

// Dispatch runs the command that args name and returns its exit code.
func Dispatch(ctx context.Context, commands []Command, env Env, args []string) int {
	if len(args) == 0 || slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		usage(env.Stderr, commands)
		return ExitUsage
	}
	for _, c := range commands {
		if c.Name == args[0] {
			return c.Run(ctx, env, args[1:])
		}
	}
	_, _ = fmt.Fprintf(env.Stderr, "unknown command %q\n", args[0])
	usage(env.Stderr, commands)
	return ExitUsage
}

func usage(w io.Writer, commands []Command) {
	_, _ = fmt.Fprintln(w, "usage: hickoryrock COMMAND [flags]")
	for _, c := range commands {
		_, _ = fmt.Fprintf(w, "  %-19s %s\n", c.Name, c.Summary)
	}
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func exitf(code int, format string, args ...any) error {
	return &exitError{code: code, err: eris.Errorf(format, args...)}
}

// newInvocation defines the flags that all commands share.
func newInvocation(env Env, name string) *invocation {
	v := &invocation{env: env, flags: flag.NewFlagSet(name, flag.ContinueOnError)}
	v.flags.SetOutput(env.Stderr)
	v.flags.StringVar(&v.platform, "platform", env.Getenv(PlatformVariable), "URL of the platform's object API")
	v.flags.StringVar(&v.output, "o", outputTable, "output: table, json or yaml")
	return v
}

// parse parses flags and arguments, which may be mixed in any order.
func (v *invocation) parse(args []string) error {
	for {
		if err := v.flags.Parse(args); err != nil {
			return &exitError{code: ExitUsage, err: err}
		}
		if v.flags.NArg() == 0 {
			break
		}
		v.args = append(v.args, v.flags.Arg(0))
		args = v.flags.Args()[1:]
	}
	if !slices.Contains([]string{outputTable, outputJSON, outputYAML}, v.output) {
		return exitf(ExitUsage, "-o %q: want table, json or yaml", v.output)
	}
	return nil
}

// open returns a client of the platform and a function that closes it.
func (v *invocation) open() (objects.Store, func(), error) {
	if v.platform == "" {
		return nil, nil, exitf(ExitUsage, "no platform: give -platform or set %s", PlatformVariable)
	}
	store, cleanup, err := v.env.Open(v.platform)
	if err != nil {
		return nil, nil, &exitError{code: ExitUsage, err: err}
	}
	return store, cleanup, nil
}

// reportError prints an error, if any, and returns the exit code for it.
func (v *invocation) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(v.env.Stderr, "%s: %v\n", v.flags.Name(), err)
	return exitCode(err)
}

func exitCode(err error) int {
	var e *exitError
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.Is(err, objects.ErrConflict):
		return ExitConflict
	case errors.Is(err, objects.ErrNotFound):
		return ExitNotFound
	case errors.Is(err, objects.ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, objects.ErrInvalid):
		return ExitUsage
	}
	return ExitUnavailable
}
