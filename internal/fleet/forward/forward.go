// Package forward proxies calls to targets: it finds the route, selects a
// target, relays the response, and decides whether to retry after a failure.
package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/answermemory"
	"hickoryrock/internal/policy/eligibility"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/policy/targetbackoff"
	"hickoryrock/internal/policy/targetlimits"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

const (
	// sharedWorkspace is the key of the retry budget that all workspaces share: a
	// router of a large fleet sees too few calls of each for separate budgets.
	sharedWorkspace = ""
	// defaultTimeout applies when neither the route nor the caller sets one.
	defaultTimeout = 30 * time.Second
	// cacheIndexWaitFraction is how long a call with a prompt waits, as a fraction
	// of its latency objective, for a starting router to learn which targets have
	// it cached: processing the prompt again would take longer.
	cacheIndexWaitFraction = 0.25
	// maxBufferedBodyBytes is the largest response body that is buffered.
	maxBufferedBodyBytes = 1 << 20
	// defaultResponseMemory is the default limit of the memory of all answers that are larger
	// than answermemory.FreeBytes, in bytes.
	defaultResponseMemory = 32 << 20
)

var (
	errDeadline = errors.New("the call's deadline is exceeded")
	errSilent   = errors.New("the target has stopped sending")

	errResponseMemory = errors.New("memory limit of all responses reached")
)

type (
	// Config holds the dependencies and settings of a handler.
	Config struct {
		View func() *state.View
		// AwaitFreshView returns when the view is up to date as far as the router can
		// know, after a bounded time. Nil means that it always is.
		AwaitFreshView func(ctx context.Context)
		Pool           *http1client.Pool
		TargetHealth   *targetstats.Tracker
		CacheIndex     *affinity.CacheIndex
		Budgets        *retries.Budgets
		// Quarantine knows the prompt parts that crash targets. Nil means a tracker of the
		// handler's own.
		Quarantine *quarantine.Tracker
		// Limits knows the limits that targets name. Nil means a tracker of the handler's own.
		Limits *targetlimits.Tracker
		// Backoff knows the targets that want no requests for a time. Nil means a tracker of
		// the handler's own.
		Backoff *targetbackoff.Tracker
		// LoadFigures knows the load figures that plain services' targets report. Nil means a
		// tracker of the handler's own.
		LoadFigures *targetload.Tracker
		// Pace bounds the calls to targets that are cold, or have started or recovered. Nil means
		// that there are none.
		Pace *targetpace.Tracker
		// ColdLimit returns the bound on the calls to cold targets of a service. Nil means that
		// there is none.
		ColdLimit func(state.Service) targetpace.Limit
		// OnLeaving is called with the hash of a target that says in an answer that it leaves.
		// It must make View return the target as draining before it returns.
		OnLeaving func(target uint64)
		// ReportInterval returns the time between two reports of a router's calls to the
		// others. Nil means that the calls of all routers are known.
		ReportInterval func() time.Duration
		// Shutdown returns the router's planned stop, or nil before it is told to stop. A nil
		// function means that it never is.
		Shutdown func() *Shutdown
		// OthersServe reports whether other routers serve callers. Nil means that they do.
		OthersServe func() bool
		// NewestConfiguration returns the newest version that another router has and this one
		// lacks, and for how long it has been known. Nil means that there is none.
		NewestConfiguration func() (version int64, behind time.Duration)
		// FailureDomain is the router's failure domain.
		FailureDomain string
		// EvacuatedFetchTime is how long after the evacuation of a failure domain is known
		// other targets may fetch from the caches there.
		EvacuatedFetchTime time.Duration
		// Slots assigns the slots of plain services' targets. Nil means that this router chooses
		// targets by itself.
		Slots SlotSource
		// HasPressure is set where callers compete for too little room, so that plain services' slots
		// are assigned, and targets that have started or recovered get their load step by step.
		HasPressure bool
		// LoadFactor bounds a target's calls in flight as a multiple of the mean.
		LoadFactor float64
		// ResponseMemory limits the memory of the parts of all responses that are buffered, beyond
		// a small part of each, in bytes. Zero means defaultResponseMemory.
		ResponseMemory int64
		Log            zerolog.Logger
	}

	// Handler forwards calls to targets. It is safe for concurrent use.
	Handler struct {
		Config
		eligibility *eligibility.Checker
		// assigning is held from the choice of a target for a prompt until the cache index has
		// recorded it, so that calls with the same new prompt go to the same target.
		assigning sync.Mutex
		// grantEligibility checks targets at which the coordinator of a service has granted a
		// slot: it has bounded the calls in flight there.
		grantEligibility *eligibility.Checker
		recoveries       recoveries
		// observedTargets holds the last *state.Target by hash of which Pace has been told.
		observedTargets sync.Map
		coldRates       atomic.Pointer[coldRates]
		answerMemory    *answermemory.Budget
		usual           usualTimes
		callTimes       callTimes
		crashInquiries  *crashInquiries
	}

	// call is the state of one call from a caller.
	call struct {
		h         *Handler
		request   *http1.Request
		body      []byte
		writer    *ingress.ResponseWriter
		headers   platform.CallHeaders
		view      *state.View
		route     *state.Route
		workspace state.Workspace
		service   string
		// parts holds the prompt's parts; nil on routes without cache affinity.
		parts []affinity.Part
		// sharedParts holds the hashes of the parts that other calls may share.
		sharedParts []uint64
		start       time.Time
		deadline    time.Time

		progress Progress
		// tried holds the hashes of the targets of all attempts.
		tried map[uint64]bool
		// retryReserved is set when a retry has been taken from the budget and not used yet.
		retryReserved atomic.Bool
		stream        eventBuffer
		// streamType is the media type of the stream that has begun.
		streamType string
		// lastProgress is when the response's head or its last complete event was
		// received, in nanoseconds after attemptStart by the steady clock; zero before.
		// begun is set when a stream's first events have been relayed, unresumable while its
		// last ones have no ID.
		lastProgress atomic.Int64
		begun        atomic.Bool
		unresumable  atomic.Bool
		attemptStart time.Time
		// headAt is the time from attemptStart to the response's head, framing what ends
		// its body.
		headAt  time.Duration
		framing string
		// memory is that of the last attempt's response, of whose head headBytes are held.
		memory    *answermemory.Answer
		headBytes int
		// slow is what is known about a caller that does not keep up.
		slow slowCaller
		// buffered is a target's complete response, relayed unless a retry follows.
		buffered *bufferedResponse
		reason   string
		// targets is the set that the last attempt selected from.
		targets   *state.Targets
		sentTo    []string
		placement affinity.Choice
		// slot is the grant of the attempt in progress, or zero. slotWait is how long the call has
		// waited for grants.
		slot     slotgrant.Grant
		slotWait time.Duration
		// reservedSlot is a grant for the next attempt, or zero.
		reservedSlot slotgrant.Grant
		// slotCoordinator is the address of the router that has granted the last slot, or "".
		slotCoordinator string
		// paced holds the targets of the attempt in progress whose pace counts it.
		paced []uint64
		// cacheSource is the target from whose cache the selected target fetches, or nil.
		cacheSource *state.Target
		status      int
		// retryAfter is the time before which a rejected call would be rejected again.
		retryAfter time.Duration
		// crashed is set when the last attempt's target has crashed; quarantined is the
		// record for which the call was refused.
		crashed     bool
		quarantined quarantine.Record
		// soundAt is when the answer that goes on was last taken for sound.
		soundAt time.Time
		// targetStatus is the status of the last attempt's response, or zero without one.
		targetStatus int
		// load is the load that the last target reported, valid when hasLoad is set.
		load    platform.Load
		hasLoad bool
		// expected is how long the call was expected to take when it arrived in a planned stop, or
		// zero.
		expected time.Duration
		// firstEvent is when the first bytes of a stream were relayed.
		firstEvent time.Time
	}

	bufferedResponse struct {
		head *http1.Response
		body []byte
	}
)

var _ ingress.Handler = (*Handler)(nil)

// New returns a handler.
func New(config Config) *Handler {
	if config.ResponseMemory <= 0 {
		config.ResponseMemory = defaultResponseMemory
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.NewTracker()
	}
	if config.Limits == nil {
		config.Limits = targetlimits.NewTracker(func() (uint64, []uint64) { return 0, nil })
	}
	if config.Backoff == nil {
		config.Backoff = targetbackoff.NewTracker()
	}
	if config.LoadFigures == nil {
		config.LoadFigures = targetload.NewTracker()
	}
	if config.OnLeaving == nil {
		config.OnLeaving = func(uint64) {}
	}
	if config.ColdLimit == nil {
		config.ColdLimit = func(state.Service) targetpace.Limit { return targetpace.Limit{} }
	}
	if config.NewestConfiguration == nil {
		config.NewestConfiguration = func() (int64, time.Duration) { return 0, 0 }
	}
	if config.OthersServe == nil {
		config.OthersServe = func() bool { return true }
	}
	h := &Handler{Config: config, crashInquiries: newCrashInquiries(config.View, config.Pool)}
	h.eligibility = eligibility.New(h.backoffRule, h.limitsRule)
	h.grantEligibility = h.eligibility
	if h.Pace != nil {
		h.eligibility = eligibility.New(h.backoffRule, h.limitsRule, h.paceRule)
		h.grantEligibility = eligibility.New(h.backoffRule, h.limitsRule, h.coldRule)
	}
	h.answerMemory = answermemory.New(config.ResponseMemory, h.logMemory)
	return h
}

// ServeCall implements ingress.Handler.
func (h *Handler) ServeCall(ctx context.Context, w *ingress.ResponseWriter, r *http1.Request, body []byte) {
	start := time.Now()
	h.awaitFreshView(ctx)
	view := h.View()
	c := &call{
		h: h, request: r, body: body, writer: w, headers: platform.DecodeCallHeaders(r.Fields),
		view: view, targets: view.Targets, start: start, tried: make(map[uint64]bool),
	}
	w.SetSlowCaller((*slowCallerHooks)(c))
	c.serve(ctx)
	c.cancelReservedSlot()
	c.finishSlowCaller(ctx)
	c.memory.Release()
	c.record()
}

// awaitFreshView delays a call while a key or a route may have been withdrawn without
// this router's knowledge. A router without a configuration rejects calls anyway.
func (h *Handler) awaitFreshView(ctx context.Context) {
	if h.AwaitFreshView != nil && h.View().Configuration != nil {
		h.AwaitFreshView(ctx)
	}
}

func (c *call) serve(ctx context.Context) {
	if !c.admit() {
		return
	}
	timeout := defaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if c.headers.Deadline > 0 {
		timeout = min(timeout, c.headers.Deadline)
	}
	c.deadline = c.start.Add(timeout)
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	defer cancel()
	now := time.Now()
	c.h.Budgets.Request(now, sharedWorkspace, c.service)
	if c.refuseIfStopping(timeout) {
		return
	}
	c.awaitCacheIndex(ctx)
	for {
		if !c.passQuarantine(ctx) || c.refuseIfLate() {
			return
		}
		c.attempt(ctx)
		c.progress.Remaining = time.Until(c.deadline)
		c.progress.Started, c.progress.Unnumbered = c.writer.Started(), c.stream.unnumbered
		c.reviewCrash(ctx)
		if c.abortIfCallerClosed(ctx) {
			return
		}
		c.progress.Remaining = time.Until(c.deadline)
		c.progress.HasResponse = c.buffered != nil
		c.progress.Stopped = errors.Is(context.Cause(ctx), ingress.ErrStopped)
		if c.apply(Decide(c.route, c.progress, c.takeRetry)) {
			return
		}
	}
}

// abortIfCallerClosed ends the call if its caller has closed the connection.
func (c *call) abortIfCallerClosed(ctx context.Context) bool {
	if !errors.Is(context.Cause(ctx), ingress.ErrCallerClosed) {
		return false
	}
	c.reason = reasonCallerGone
	c.writer.Abort()
	return true
}

// takeRetry reports whether the call may be retried. It takes the retry from the
// budget unless one is reserved or the attempt did not reach a target.
func (c *call) takeRetry() bool {
	switch c.reason {
	case eligibility.None.String(), eligibility.Limited.String(), eligibility.Backoff.String(),
		eligibility.Warming.String(), eligibility.Evacuated.String(), reasonNoSlot, reasonStopping:
		return false
	case http1client.ReasonRefused, http1client.ReasonNoConnection:
		return true
	}
	if !c.retryReserved.Load() && !c.reserveRetry(time.Now()) {
		metrics.GetOrCreateCounter(`hickoryrock_retries_denied_total{reason="budget-spent"}`).Inc()
		return false
	}
	c.retryReserved.Store(false)
	metrics.GetOrCreateCounter(`hickoryrock_retries_total{reason="` + c.reason + `"}`).Inc()
	return true
}

// reserveRetry takes a retry from the budget before it is known to be needed.
func (c *call) reserveRetry(now time.Time) bool {
	allowed := c.h.Budgets.Retry(now, sharedWorkspace, c.service) == retries.Allowed
	c.retryReserved.Store(allowed)
	return allowed
}
