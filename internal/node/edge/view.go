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

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/operator/command"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/wire/httptransport"
)

type (
	// view is a router's current state as served to operators under /view.
	view struct {
		Router           string       `json:"router"`
		Leaving          bool         `json:"leaving"`
		Configuration    int64        `json:"configuration"`
		StoreEra         uint64       `json:"store-era"`
		TargetsRevision  uint64       `json:"targets-revision"`
		StoreAgeMS       int64        `json:"store-age-ms"`
		WatchesStore     bool         `json:"watches-store"`
		CallerAddresses  []string     `json:"caller-addresses"`
		CallsBeingServed int64        `json:"calls"`
		Targets          []targetView `json:"targets"`
		// Quarantine holds the prompt parts that crash targets.
		Quarantine []quarantineView `json:"quarantine"`
		// Evacuations holds the failure domains that operators have evacuated.
		Evacuations []evacuationView `json:"evacuations,omitempty"`
	}

	quarantineView struct {
		Part    string `json:"part"`
		Crashes int    `json:"crashes"`
		// Refused is set while calls with the part are refused.
		Refused        bool  `json:"refused"`
		LastCrashAgeMS int64 `json:"last-crash-age-ms"`
		LastSeenAgeMS  int64 `json:"last-seen-age-ms"`
	}

	loadFiguresView struct {
		targetload.Figures
		AgeMS int64 `json:"age-ms"`
	}

	targetView struct {
		ID            string `json:"id"`
		Service       string `json:"service"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure-domain"`
		Leaving       bool   `json:"leaving"`
		// SaysLeaving is set if the target has said in an answer that it leaves.
		SaysLeaving bool `json:"says-leaving,omitempty"`
		// Evacuated is set if the target's failure domain is evacuated.
		Evacuated bool `json:"evacuated,omitempty"`
		// NoCalls is why this router sends the target no calls now, or empty.
		NoCalls string `json:"no-calls,omitempty"`
		// Limit is the number of calls a second that the target names, from all routers.
		Limit *float64 `json:"limit,omitempty"`
		// WaitMS is the time for which the target wants no requests from this router.
		WaitMS int64 `json:"wait-ms,omitempty"`
		// Pace is set while the target is cold, or has started or recovered, and its part of the
		// load is bounded; PaceReason is why it last changed.
		Pace       string `json:"pace,omitempty"`
		PaceReason string `json:"pace-reason,omitempty"`
		// LoadFigures are the newest load figures of a plain service's target that are known.
		LoadFigures *loadFiguresView `json:"load-figures,omitempty"`
		targetstats.Summary
	}
)

func (r *Router) serveView(w http.ResponseWriter, _ *http.Request) {
	v := r.watcher.View()
	advertised := r.gossipState()
	out := view{
		Router: r.settings.Router, Leaving: r.shutdown.Load() != nil, Configuration: advertised.ConfigurationVersion,
		StoreEra: advertised.TargetsRevision.Era, TargetsRevision: advertised.TargetsRevision.Number, StoreAgeMS: advertised.StoreAge.Milliseconds(),
		WatchesStore: r.fleet.WatchesStore(), CallsBeingServed: r.server.Active(),
		CallerAddresses: r.fleet.CallerAddresses(r.settings.FailureDomain, 1<<10), Quarantine: r.quarantineViews(),
		Evacuations: r.evacuationViews(),
	}
	limits, waits := r.targetLimits.Limits(time.Now()), r.targetBackoff.Waits(time.Now())
	warming := make(map[uint64]targetpace.Warming)
	for _, w := range r.pace.Warming(time.Now()) {
		warming[w.Target] = w
	}
	figures := r.loadFigures.Known(time.Now())
	for service, targets := range v.Targets.ByService {
		for i, s := range r.tracker.Summaries(state.Hashes(targets), time.Now()) {
			t := targets[i]
			entry := targetView{
				ID: t.ID, Service: service, Address: t.Address, FailureDomain: t.FailureDomain, Leaving: t.Draining, SaysLeaving: t.Leaving,
				Evacuated: t.Evacuated, WaitMS: waits[t.Hash].Milliseconds(),
				NoCalls: r.handler.Eligibility(t, time.Now()).Reason.String(), Summary: s,
			}
			if w, ok := warming[t.Hash]; ok {
				entry.Pace, entry.PaceReason = w.String(), w.Why
			}
			if limit, ok := limits[t.Hash]; ok {
				entry.Limit = &limit
			}
			if known, ok := figures[t.Hash]; ok {
				entry.LoadFigures = &loadFiguresView{known.Figures, known.Age.Milliseconds()}
			}
			out.Targets = append(out.Targets, entry)
		}
	}
	slices.SortFunc(out.Targets, func(a, b targetView) int {
		return strings.Compare(a.Service+a.ID, b.Service+b.ID)
	})
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(out); err != nil {
		r.log.Warn().Err(err).Msg("failed to write view response")
	}
}

func countLoadFigures(result targetload.Result, n int) {
	metrics.GetOrCreateCounter(`hickoryrock_load_figures_total{result="` + string(result) + `"}`).Add(n)
}

// runView prints the state of a router, read from its metrics address.
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
	transport := httptransport.New(readHeaderTimeout)
	transport.Proxy, transport.DisableKeepAlives = http.ProxyFromEnvironment, true
	resp, err := (&http.Client{Transport: transport}).Do(req)
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

// runStory prints the log lines of one call from the combined logs of several routers, and
// the lines about the call's targets from shortly before its start until its end.
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
	selected := selectCallLines(lines, *call)
	for _, l := range selected {
		_, _ = fmt.Fprintln(env.Stdout, l.text)
	}
	if len(selected) == 0 {
		return command.ExitNotFound
	}
	return command.ExitOK
}

// logLine is one parsed line of a router's log.
type logLine struct {
	text      string
	timestamp time.Time

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
		// Log collectors may put a prefix before the JSON object.
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{text: strings.TrimSpace(text[start:])}
		if json.Unmarshal([]byte(l.text), &l) != nil {
			continue // Not a router's log line.
		}
		if l.timestamp, err = time.Parse(zerolog.TimeFieldFormat, l.Time); err != nil {
			continue
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	return lines, nil
}

// targetLookback is how long before the start of a call a line about one of its targets is
// still included.
const targetLookback = 5 * time.Second

// selectCallLines returns the lines of one call and those about its targets, from
// targetLookback before its start until its last line. lines must be sorted by time.
func selectCallLines(lines []logLine, call string) []logLine {
	from, to := time.Time{}, time.Time{}
	targets := make(map[string]bool)
	for _, l := range lines {
		if l.Call != call {
			continue
		}
		start := l.timestamp.Add(-time.Duration(l.TookMS * float64(time.Millisecond)))
		if from.IsZero() || start.Before(from) {
			from = start
		}
		to = l.timestamp
		for _, t := range l.Targets {
			targets[t] = true
		}
	}
	if from.IsZero() {
		return nil
	}
	var selected []logLine
	for _, l := range lines {
		concernsTarget := l.Call == "" && targets[l.Target] && l.timestamp.After(from.Add(-targetLookback)) && !l.timestamp.After(to)
		if l.Call == call || concernsTarget {
			selected = append(selected, l)
		}
	}
	return selected
}
