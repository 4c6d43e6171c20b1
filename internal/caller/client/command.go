package client

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/command"
)

const (
	// RoutersVariable is the environment variable with the routers' addresses.
	RoutersVariable = "HICKORYROCK_ROUTERS"
	// TokenVariable is the environment variable with the workspace's token.
	TokenVariable = "HICKORYROCK_TOKEN"

	// ExitNotRun is the exit code of a call that did not run.
	ExitNotRun = 1
	// ExitUnknown is the exit code of a call that may have run.
	ExitUnknown = 5
)

// invocation holds the environment and flags of one command.
type invocation struct {
	env     command.Env
	flags   *flag.FlagSet
	routers string
	token   string
}

// Commands returns the commands that callers use.
func Commands() []command.Command {
	return []command.Command{
		{Name: "ask", Summary: "send a prompt to a model and stream the response", Run: runAsk},
		{Name: "book", Summary: "call a method of a plain service", Run: runBook},
	}
}

func newInvocation(env command.Env, name string) *invocation {
	v := &invocation{env: env, flags: flag.NewFlagSet(name, flag.ContinueOnError)}
	v.flags.SetOutput(env.Stderr)
	v.flags.StringVar(&v.routers, "routers", env.Getenv(RoutersVariable), "addresses of the routers to contact first, as IP:port,IP:port")
	v.flags.StringVar(&v.token, "token", env.Getenv(TokenVariable), "the workspace's token")
	return v
}

// newClient parses args and returns a client and a function that closes its
// idle connections. It prints what is missing and returns false on a usage error.
func (v *invocation) newClient(args []string) (*Client, func(), bool) {
	if v.flags.Parse(args) != nil {
		return nil, nil, false
	}
	if v.routers == "" || v.token == "" {
		_, _ = fmt.Fprintf(v.env.Stderr, "%s: set -routers and -token, or the environment variables %s and %s\n", v.flags.Name(), RoutersVariable, TokenVariable)
		return nil, nil, false
	}
	c, stop := New(WithRouters(strings.Split(v.routers, ",")...), WithToken(v.token))
	return c, stop, true
}

func runAsk(ctx context.Context, env command.Env, args []string) int {
	v := newInvocation(env, "ask")
	model := v.flags.String("model", "", "the model")
	chat := v.flags.String("chat", "", "prompt cache key; chats with the same key reuse the engine's cached context")
	c, stop, ok := v.newClient(args)
	if !ok {
		return command.ExitUsage
	}
	defer stop()
	if *model == "" || v.flags.NArg() == 0 {
		_, _ = fmt.Fprintln(env.Stderr, "usage: hickoryrock ask -model MODEL [-chat NAME] TEXT...")
		return command.ExitUsage
	}
	req := ChatRequest{
		Model:          *model,
		PromptCacheKey: *chat,
		Messages:       []Message{{Role: "user", Content: strings.Join(v.flags.Args(), " ")}},
	}
	_, err := c.Chat(ctx, req, func(token string) { _, _ = io.WriteString(env.Stdout, token) })
	_, _ = fmt.Fprintln(env.Stdout)
	return v.reportResult(err)
}

func runBook(ctx context.Context, env command.Env, args []string) int {
	v := newInvocation(env, "book")
	service := v.flags.String("service", "", "the plain service")
	method := v.flags.String("method", "", "the method to call")
	key := v.flags.String("key", "", "the Idempotency-Key; generated when empty")
	body := v.flags.String("body", "{}", "the JSON request body")
	c, stop, ok := v.newClient(args)
	if !ok {
		return command.ExitUsage
	}
	defer stop()
	if *service == "" || *method == "" || !json.Valid([]byte(*body)) {
		_, _ = fmt.Fprintln(env.Stderr, "usage: hickoryrock book -service SERVICE -method METHOD [-key UUID] [-body JSON]")
		return command.ExitUsage
	}
	if *key == "" {
		*key = NewKey()
	}
	// Print the key before the call, so that an interrupted call can be looked up.
	_, _ = fmt.Fprintf(env.Stderr, "key %s\n", *key)
	result, err := c.Call(ctx, *service, *method, *key, []byte(*body))
	if err == nil {
		_, _ = fmt.Fprintf(env.Stdout, "%s\n", result.Result)
	}
	return v.reportResult(err)
}

// NewKey returns a new Idempotency-Key. It is a version 7 UUID, which contains
// the current time.
func NewKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// reportResult prints the error, if any, and returns the exit code for its outcome.
func (v *invocation) reportResult(err error) int {
	if err == nil {
		return command.ExitOK
	}
	_, _ = fmt.Fprintf(v.env.Stderr, "%s: %v\n", v.flags.Name(), err)
	var f *outcome.Failure
	switch {
	case !errors.As(err, &f):
		return ExitUnknown
	case f.Status == outcome.NotRun:
		return ExitNotRun
	case f.Status == outcome.Done:
		return command.ExitOK
	default:
		return ExitUnknown
	}
}
