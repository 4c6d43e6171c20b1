// Package forward takes a caller's call to a target and the answer back: it
// finds the route, chooses targets, and decides what follows a failure.
package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/policy/standing"
	"hickoryrock/internal/target/exchange"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

const (
	// allWorkspaces share one budget: a router of a large fleet sees too few
	// calls of each to give it one.
	allWorkspaces = ""
	// defaultTimeout holds for routes and callers that state none.
	defaultTimeout = 30 * time.Second
	// recallShare of its objective is how long a call with a prompt waits for a
	// starting router to learn which targets hold it: reading it again takes longer.
	recallShare = 0.25
	// wholeAnswerBytes is the largest answer that is held until it is complete.
	wholeAnswerBytes = 1 << 20
)

var (
	errTimeout = errors.New("the call's time is over")
	errSilent  = errors.New("the target has gone silent")
)

type (
	// Parts are what a handler works with.
	Parts struct {
		View    func() *state.View
		Pool    *exchange.Pool
		Book    *standing.Book
		Map     *affinity.Map
		Budgets *retries.Budgets
		// FailureDomain is the router's own.
		FailureDomain string
		// LoadFactor bounds a target's calls as a multiple of the mean.
		LoadFactor float64
		Log        zerolog.Logger
	}

	// Handler serves calls.
	Handler struct {
		Parts
	}

	// call is one call on its way.
	call struct {
		h         *Handler
		request   *http1.Request
		body      []byte
		answer    *ingress.Answer
		info      platform.Call
		view      *state.View
		route     *state.Route
		workspace state.Workspace
		service   string
		// parts are those of the prompt, nil on routes that do not place by them.
		parts    []affinity.Part
		start    time.Time
		deadline time.Time

		progress Progress
		tried    map[uint64]bool
		// reserved is set while a repeat is taken from the budget and not used yet.
		reserved atomic.Bool
		events   events
		// whole is a target's complete answer, passed on unless another attempt follows.
		whole  *wholeAnswer
		reason string
		// targets are those that the last attempt chose from.
		targets *state.Targets
		sentTo  []string
		choice  affinity.Choice
		// source is the target whose cache the next attempt's target fetches from, or nil.
		source *state.Target
		status int
		// load is what the last target said of itself, if it did.
		load    platform.Load
		hasLoad bool
		// first is when the first part of a stream came.
		first time.Time
	}

	wholeAnswer struct {
		head *http1.Response
		body []byte
	}
)

var _ ingress.Handler = (*Handler)(nil)

// New returns a handler.
func New(p Parts) *Handler {
	return &Handler{Parts: p}
}

// ServeCall implements ingress.Handler.
func (h *Handler) ServeCall(ctx context.Context, a *ingress.Answer, r *http1.Request, body []byte) {
	c := &call{
		h: h, request: r, body: body, answer: a, info: platform.DecodeCall(r.Fields),
		view: h.View(), targets: h.View().Targets, start: time.Now(), tried: make(map[uint64]bool),
	}
	c.serve(ctx)
	c.record()
}

func (c *call) serve(ctx context.Context) {
	if !c.admit() {
		return
	}
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if c.info.Deadline > 0 {
		limit = min(limit, c.info.Deadline)
	}
	c.deadline = c.start.Add(limit)
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errTimeout)
	defer cancel()
	now := time.Now()
	c.h.Budgets.Request(now, allWorkspaces, c.service)
	c.awaitRecall(ctx)
	for {
		c.attempt(ctx)
		if errors.Is(context.Cause(ctx), ingress.ErrGone) {
			c.reason = "caller-gone"
			c.answer.Abort()
			return
		}
		c.progress.Left = time.Until(c.deadline)
		c.progress.Begun = c.answer.Begun()
		c.progress.HasAnswer = c.whole != nil
		if c.act(Decide(c.route, c.progress, c.budget)) {
			return
		}
	}
}

// awaitRecall holds a call with a prompt for a moment while the router does
// not know yet which targets hold it.
func (c *call) awaitRecall(ctx context.Context) {
	if len(c.parts) == 0 {
		return
	}
	select {
	case <-c.h.Map.Recalled():
		return
	default:
	}
	metrics.GetOrCreateCounter(`hickoryrock_calls_held_total{reason="caches-not-recalled"}`).Inc()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(recallShare*float64(c.route.Objective)))
	defer cancel()
	select {
	case <-c.h.Map.Recalled():
	case <-ctx.Done():
	}
}

// admit finds the call's route, workspace and service, or answers why not.
func (c *call) admit() bool {
	configuration := c.view.Configuration
	if configuration == nil {
		c.refuse("no-configuration")
		return false
	}
	c.route = configuration.Route(hostName(c.request.Host), c.request.Path())
	if c.route == nil {
		c.end(http.StatusNotFound, "no-route")
		return false
	}
	if configuration.Workspaces != nil && !c.route.Public {
		w, ok := configuration.Workspaces[c.info.Key]
		if !ok {
			c.end(http.StatusUnauthorized, "unknown-key")
			return false
		}
		c.workspace = w
	}
	c.parts = promptParts(c.route, c.info)
	c.service = c.route.Service(c.shareKey())
	return true
}

// shareKey keeps the calls that share a prompt on one service of a split route.
func (c *call) shareKey() uint64 {
	if len(c.parts) > 1 {
		return c.parts[len(c.parts)-2].Hash
	}
	return xxhash.Sum64String(c.info.ID)
}

// promptParts returns the parts of a call's prompt on a route that places by them.
func promptParts(route *state.Route, info platform.Call) []affinity.Part {
	if !route.Sticky {
		return nil
	}
	parts := make([]affinity.Part, len(info.Parts))
	for i, p := range info.Parts {
		parts[i] = affinity.Part(p)
	}
	return parts
}

// promptName identifies the deepest part that the call shares with others, for the log.
func (c *call) promptName() string {
	shared := affinity.Shared(c.parts)
	if len(shared) == 0 {
		return ""
	}
	return strconv.FormatUint(shared[len(shared)-1].Hash, 16)
}

// budget takes from the retry budget, except for attempts that no target has
// seen and for repeats that were reserved.
func (c *call) budget() bool {
	switch c.reason {
	case reasonNoTarget:
		return false
	case exchange.ReasonRefused, exchange.ReasonNoConnection:
		return true
	}
	if !c.reserved.Load() && !c.reserve(time.Now()) {
		metrics.GetOrCreateCounter(`hickoryrock_retries_denied_total{reason="budget-spent"}`).Inc()
		return false
	}
	c.reserved.Store(false)
	metrics.GetOrCreateCounter(`hickoryrock_retries_total{reason="` + c.reason + `"}`).Inc()
	return true
}

// reserve takes a repeat from the retry budget before it is known to be needed.
func (c *call) reserve(now time.Time) bool {
	allowed := c.h.Budgets.Retry(now, allWorkspaces, c.service) == retries.Allowed
	c.reserved.Store(allowed)
	return allowed
}

// act carries out a decision and reports whether the call has ended.
func (c *call) act(a Action) bool {
	switch a {
	case Again:
		c.whole = nil
		return false
	case PassOn:
		if c.whole != nil {
			c.status = c.whole.head.Status
			c.answer.Whole(c.status, c.whole.head.Reason, passFields(c.whole.head), c.whole.body)
		}
	case Refuse:
		c.refuse(c.reason)
	case Fail:
		c.end(http.StatusBadGateway, c.reason)
	case TimedOut:
		c.end(http.StatusGatewayTimeout, c.reason)
	case Abort:
		c.answer.Abort()
	}
	return true
}

// refuse answers a call that has not run and will not run.
func (c *call) refuse(reason string) {
	c.end(http.StatusServiceUnavailable, reason, ingress.RetryLater())
}

// end answers with a status of the router's own.
func (c *call) end(status int, reason string, fields ...http1.Field) {
	c.reason, c.status = reason, status
	if c.info.ID != "" {
		fields = append(fields, platform.CallField(c.info.ID))
	}
	c.answer.Whole(status, http.StatusText(status), fields, nil)
}

// record counts the call and writes its line in the log.
func (c *call) record() {
	took := time.Since(c.start)
	route, configuration := "", int64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.view.Configuration != nil {
		configuration = c.view.Configuration.Version
	}
	reason := c.reason
	if c.status/100 == 2 && c.progress.Fate == Answered {
		reason = "done"
	}
	metrics.GetOrCreateCounter(`hickoryrock_calls_total{reason="` + reason + `",status="` +
		strconv.Itoa(c.status) + `"}`).Inc()
	metrics.GetOrCreateHistogram(`hickoryrock_call_duration_seconds{service="` + c.service + `"}`).
		Update(took.Seconds())
	line := c.h.Log.Info()
	if c.hasLoad {
		line = line.Int("target-running", c.load.Running).Int("target-waiting", c.load.Waiting)
	}
	line.Str("call", c.info.ID).Str("route", route).Str("service", c.service).
		Str("workspace", c.workspace.Name).Int64("configuration", configuration).
		Uint64("targets-revision", c.targets.Revision).Strs("targets", c.sentTo).
		Str("placement", string(c.choice.Reason)).Int("unread", c.choice.Unread).Int("reread", c.choice.Reread).
		Int("fetched", c.choice.Fetched).Str("prompt", c.promptName()).
		Dur("caller-waits-ms", c.info.Deadline).Int("sends", c.progress.Sends).Int("runs", c.progress.Runs).
		Int("status", c.status).Str("reason", reason).Dur("first-event-ms", c.firstAfter()).
		Dur("took-ms", took).Msg("call")
}

// firstAfter returns the time to the first event of a stream, zero without one.
func (c *call) firstAfter() time.Duration {
	if c.first.IsZero() {
		return 0
	}
	return c.first.Sub(c.start)
}

// passFields returns the headers of a target's answer for the caller.
func passFields(head *http1.Response) []http1.Field {
	out := make([]http1.Field, 0, len(head.Fields))
	for _, f := range head.Fields {
		if !head.OfConnection(f.Lower) {
			out = append(out, f)
		}
	}
	return out
}

func hostName(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		if host[i] == ':' {
			return host[:i]
		}
	}
	return host
}
