package edge

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/policy/standing"
)

type (
	// view is what a router believes, for operators.
	view struct {
		Router           string       `json:"router"`
		Leaving          bool         `json:"leaving"`
		Configuration    int64        `json:"configuration"`
		TargetsRevision  uint64       `json:"targets-revision"`
		StoreAgeMS       int64        `json:"store-age-ms"`
		WatchesStore     bool         `json:"watches-store"`
		CallerAddresses  []string     `json:"caller-addresses"`
		CallsBeingServed int64        `json:"calls"`
		Targets          []targetView `json:"targets"`
	}

	targetView struct {
		ID            string `json:"id"`
		Service       string `json:"service"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure-domain"`
		Leaving       bool   `json:"leaving"`
		standing.Summary
	}
)

func (r *Router) serveView(w http.ResponseWriter, _ *http.Request) {
	v := r.follower.View()
	known := r.known()
	out := view{
		Router: r.settings.Router, Leaving: r.leaving.Load(), Configuration: known.ConfigurationVersion,
		TargetsRevision: known.TargetsRevision, StoreAgeMS: known.StoreAge.Milliseconds(),
		WatchesStore: r.fleet.Leads(), CallsBeingServed: r.server.Active(),
		CallerAddresses: r.fleet.CallerAddresses(r.settings.FailureDomain, 1<<10),
	}
	for service, targets := range v.Targets.ByService {
		for i, s := range r.book.Summaries(state.Hashes(targets), time.Now()) {
			t := targets[i]
			out.Targets = append(out.Targets, targetView{
				ID: t.ID, Service: service, Address: t.Address, FailureDomain: t.FailureDomain, Leaving: t.Leaving, Summary: s,
			})
		}
	}
	slices.SortFunc(out.Targets, func(a, b targetView) int {
		return strings.Compare(a.Service+a.ID, b.Service+b.ID)
	})
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(out); err != nil {
		r.log.Warn().Err(err).Msg("view could not be sent")
	}
}

// runView prints what a router believes.
func runView(ctx context.Context, env command.Env, args []string) int {
	flags := flag.NewFlagSet("view", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	if flags.Parse(args) != nil || flags.NArg() != 1 {
		_, _ = fmt.Fprintln(env.Stderr, "usage: hickoryrock view IP:PORT (the router's metrics address)")
		return command.ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, readHeaderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+flags.Arg(0)+"/view", nil)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return command.ExitUsage
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return command.ExitUnavailable
	}
	defer resp.Body.Close()
	if _, err := io.Copy(env.Stdout, resp.Body); err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return command.ExitUnavailable
	}
	return command.ExitOK
}

// runStory prints the log lines of one call out of the logs of several
// routers, and the lines between that changed what they believed of its targets.
func runStory(_ context.Context, env command.Env, args []string) int {
	flags := flag.NewFlagSet("story", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	call := flags.String("call", "", "the call's id")
	if flags.Parse(args) != nil || *call == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintln(env.Stderr, "usage: hickoryrock story -call ID < LOGS")
		return command.ExitUsage
	}
	lines, err := readLog(env.Stdin)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return command.ExitUnavailable
	}
	story := tell(lines, *call)
	for _, l := range story {
		_, _ = fmt.Fprintln(env.Stdout, l.text)
	}
	if len(story) == 0 {
		return command.ExitNotFound
	}
	return command.ExitOK
}

// logLine is one line of a router's log.
type logLine struct {
	text string
	at   time.Time

	Time    string   `json:"time"`
	Router  string   `json:"router"`
	Message string   `json:"message"`
	Call    string   `json:"call"`
	Target  string   `json:"target"`
	Targets []string `json:"targets"`
	TookMS  float64  `json:"took-ms"`
}

func readLog(r io.Reader) ([]logLine, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	var lines []logLine
	for text := range strings.Lines(string(data)) {
		// What stands before the line, as a collector's prefix, is not ours.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{text: strings.TrimSpace(text[start:])}
		if json.Unmarshal([]byte(l.text), &l) != nil {
			continue // Another program's line.
		}
		if l.at, err = time.Parse(zerolog.TimeFieldFormat, l.Time); err != nil {
			continue
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// storyBefore is how long before a call changes of its targets belong to its story.
const storyBefore = 5 * time.Second

func tell(lines []logLine, call string) []logLine {
	from, to := time.Time{}, time.Time{}
	targets := make(map[string]bool)
	for _, l := range lines {
		if l.Call != call {
			continue
		}
		start := l.at.Add(-time.Duration(l.TookMS * float64(time.Millisecond)))
		if from.IsZero() || start.Before(from) {
			from = start
		}
		to = l.at
		for _, t := range l.Targets {
			targets[t] = true
		}
	}
	if from.IsZero() {
		return nil
	}
	var story []logLine
	for _, l := range lines {
		ofTarget := l.Call == "" && targets[l.Target] && l.at.After(from.Add(-storyBefore)) && !l.at.After(to)
		if l.Call == call || ofTarget {
			story = append(story, l)
		}
	}
	return story
}
