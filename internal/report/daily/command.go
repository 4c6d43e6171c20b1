package daily

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"time"

	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/tally"
)

const (
	outputText = "text"
	outputHTML = "html"
)

// Commands returns the report command, which workspace owners use.
func Commands() []command.Command {
	return []command.Command{
		{Name: "report", Summary: "show the daily report of a workspace", Run: runReport},
	}
}

func runReport(ctx context.Context, env command.Env, args []string) int {
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	platform := flags.String("platform", env.Getenv(command.PlatformVariable), "URL of the platform's object API")
	day := flags.String("day", "", "the day as 2026-12-04; today when empty")
	workspace := flags.String("workspace", "", "the workspace")
	output := flags.String("o", outputText, "text or html")
	if flags.Parse(args) != nil {
		return command.ExitUsage
	}
	_, err := time.Parse(tally.DateFormat, *day)
	if *workspace == "" || *platform == "" || (*day != "" && err != nil) || (*output != outputText && *output != outputHTML) {
		_, _ = fmt.Fprintln(env.Stderr, "usage: hickoryrock report -workspace NAME [-day 2026-12-04] [-o text|html] [-platform URL]")
		return command.ExitUsage
	}
	store, stop, err := env.Open(*platform)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return command.ExitUnavailable
	}
	defer stop()
	if err := printPage(ctx, env, store, *workspace, *day, *output); err != nil {
		_, _ = fmt.Fprintf(env.Stderr, "report: %v\n", err)
		if errors.Is(err, objects.ErrNotFound) {
			return command.ExitNotFound
		}
		return command.ExitUnavailable
	}
	return command.ExitOK
}

func printPage(ctx context.Context, env command.Env, store objects.Store, name, day, output string) error {
	o, err := store.Get(ctx, objects.Key{Kind: resource.KindWorkspace, Name: name})
	if err != nil {
		return err
	}
	var w resource.Workspace
	if err := json.Unmarshal(o.Data, &w); err != nil {
		return err
	}
	p, err := BuildPage(ctx, store, w, day, time.Now())
	if err != nil {
		return err
	}
	if output == outputHTML {
		return p.WriteHTML(env.Stdout)
	}
	return p.WriteText(env.Stdout)
}
