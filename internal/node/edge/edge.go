// Package edge runs a router that takes its configuration and targets from the users' platform.
package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hickoryrock/internal/caller/ingress"
	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/freshness"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/peer/gossip"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/policy/targetbackoff"
	"hickoryrock/internal/policy/targetlimits"
	"hickoryrock/internal/policy/targetload"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/target/http1client"
	"hickoryrock/platform"
)

const (
	// lookupTTL is how long callers may cache router addresses. It is short so that they
	// stop using a dead router quickly.
	lookupTTL = time.Second
	// settingsPollInterval is how often the modification time of the settings file is
	// checked; the file may change without a signal.
	settingsPollInterval = time.Second
	// metricsPort is the port for /metrics and /view; deploy/system.toml refers to it.
	metricsPort = 9464
	// cleanupInterval is how often state of targets that are no longer listed is removed.
	cleanupInterval = 2 * time.Second
	// retryBudgetFraction is the part of the fleet's retry budget that the routers use
	// together. It is below 1 because each router sees only its own requests.
	retryBudgetFraction = 0.8
	// bodyMemoryFraction is the part of the process's memory that buffered request bodies
	// may use.
	bodyMemoryFraction = 0.25
	// responseMemoryFraction is the part of the process's memory that buffered large
	// responses may use.
	responseMemoryFraction = 0.15
	// evacuatedFetchFraction is the part of the time after which no call may reach the targets of
	// an evacuated failure domain in which other targets fetch from the caches there. The rest is
	// for the time until this router knows of the evacuation, and for fetches in progress.
	evacuatedFetchFraction = 0.5
	// defaultLoadFactor is the load factor when the settings specify none.
	defaultLoadFactor = 2
	readHeaderTimeout = 2 * time.Second
)

type (
	// Router is a router process on the users' platform.
	Router struct {
		// path is the settings file, which the platform may change at any time.
		path         string
		settings     platform.Settings
		log          zerolog.Logger
		store        *platform.Store
		watcher      *storewatch.Watcher
		fleet        *gossip.Fleet
		tracker      *targetstats.Tracker
		cacheIndex   *affinity.CacheIndex
		pool         *http1client.Pool
		retryBudgets *retries.Budgets
		retryShare   retries.Share
		// retryBurst is the last burst of retryBudgets.
		retryBurst   float64
		quarantine   *quarantine.Tracker
		targetLimits *targetlimits.Tracker
		loadFigures  *targetload.Tracker
		// pace knows the targets that are cold, or have started or recovered.
		pace    *targetpace.Tracker
		handler *forward.Handler
		// targetBackoff knows the targets that want no requests from this router for a time.
		targetBackoff *targetbackoff.Tracker
		// slots exchanges the slots of plain services' targets with the other routers; nil if no
		// port is free for it.
		slots  *slotgrant.Client
		server *ingress.Server
		guard  *freshness.Guard
		bounds atomic.Pointer[platform.Bounds]
		stalls *stalls
		// shutdown is nil until the router is told to stop.
		shutdown atomic.Pointer[forward.Shutdown]
		// joined is closed once this router is registered, the router entries have been
		// read and the live routers have had time to respond.
		joined          chan struct{}
		cleanups        []func()
		callerListeners []net.Listener
	}
)

// New binds the router's addresses and returns the router and a function that releases its
// resources. On error nothing stays bound.
func New(path string, s platform.Settings, log zerolog.Logger) (*Router, func(), error) {
	r := &Router{path: path, settings: s, log: log, cacheIndex: affinity.NewCacheIndex(), joined: make(chan struct{})}
	r.stalls = newStalls(time.Now())
	r.bounds.Store(&s.Bounds)
	r.tracker = targetstats.NewTracker(r.logTargetChange)
	r.quarantine = quarantine.NewTracker(quarantine.WithSettleTime(r.settleTime), quarantine.WithOnChange(r.logQuarantine))
	r.targetLimits = targetlimits.NewTracker(func() (uint64, []uint64) { return r.fleet.LiveRouters() },
		targetlimits.WithReportInterval(func() time.Duration { return r.fleet.ReportInterval() }))
	r.loadFigures = targetload.NewTracker(targetload.WithOnResult(countLoadFigures))
	r.pace = targetpace.NewTracker(func() (uint64, []uint64) { return r.fleet.KnownRouters() },
		targetpace.WithLiveRouters(func() (uint64, []uint64) { return r.fleet.LiveRouters() }),
		targetpace.WithReportInterval(func() time.Duration { return r.fleet.ReportInterval() }), targetpace.WithOnChange(r.logPace),
		targetpace.WithProportionalShares())
	metrics.GetOrCreateGauge(`hickoryrock_warming_targets`, func() float64 { return float64(len(r.pace.Warming(time.Now()))) })
	r.targetBackoff = targetbackoff.NewTracker(targetbackoff.WithOnWait(r.logTargetWait))
	metrics.GetOrCreateGauge(`hickoryrock_quarantined_parts`, r.countQuarantined)
	store, closeStore := platform.NewStore(s.StoreAddress)
	r.store = store
	r.cleanups = append(r.cleanups, closeStore)
	r.watcher = storewatch.New(store, log, func(change *storewatch.Delta) { r.fleet.SendNow(change) },
		func() bool { return r.fleet.StoreServesPeers() },
		storewatch.WithBounds(s.Bounds.ConfigurationApply, s.Bounds.Drain), storewatch.WithHeartbeat(s.Heartbeat),
		storewatch.WithEvacuations(s.Bounds.Evacuate))
	if s.Bounds.Evacuate > 0 {
		metrics.GetOrCreateGauge(`hickoryrock_evacuated_domains`, r.countEvacuated)
	}
	metrics.GetOrCreateGauge(`hickoryrock_store_era`, func() float64 { return float64(r.watcher.View().Targets.Revision.Era) })
	metrics.GetOrCreateGauge(`hickoryrock_configuration_behind_seconds`, func() float64 {
		_, behind := r.newestConfiguration()
		return behind.Seconds()
	})
	metrics.GetOrCreateGauge(`hickoryrock_store_age_seconds`, func() float64 { return r.watcher.StoreAge().Seconds() })
	pool, closePool := http1client.New()
	r.pool = pool
	r.cleanups = append(r.cleanups, closePool)
	factor := s.Bounds.LoadFactor
	if factor <= 0 {
		factor = defaultLoadFactor
	}
	r.retryBudgets = newRetryBudgets(s.Bounds)
	var guardOptions []freshness.Option
	if !s.Bootstrap {
		guardOptions = append(guardOptions, freshness.WithUnconfirmedStart())
	}
	r.guard = freshness.New(r.confirmView, log, guardOptions...)
	if err := r.listenForSlots(); err != nil {
		r.close()
		return nil, nil, err
	}
	handler := forward.New(forward.Config{
		View: r.watcher.View, AwaitFreshView: r.guard.Await, Pool: pool, TargetHealth: r.tracker, CacheIndex: r.cacheIndex, Budgets: r.retryBudgets,
		Quarantine: r.quarantine, Limits: r.targetLimits, Backoff: r.targetBackoff, OnLeaving: r.watcher.RecordLeaving, FailureDomain: s.FailureDomain, LoadFactor: factor, Log: log,
		ReportInterval: func() time.Duration { return r.fleet.ReportInterval() }, Shutdown: r.shutdown.Load, OthersServe: r.othersServe,
		NewestConfiguration: r.newestConfiguration, LoadFigures: r.loadFigures, Slots: r.slotSource(), HasPressure: s.HasPressure, Pace: r.pace, ColdLimit: r.coldLimit,
		EvacuatedFetchTime: time.Duration(evacuatedFetchFraction * float64(s.Bounds.Evacuate)),
		ResponseMemory:     int64(responseMemoryFraction * float64(s.MemoryBytes)),
	})
	r.handler = handler
	metrics.GetOrCreateGauge(`hickoryrock_answer_memory_bytes`, func() float64 { return float64(handler.AnswerMemory()) })
	r.server = ingress.New(handler, r.limits, log,
		ingress.WithBodyMemory(int64(bodyMemoryFraction*float64(s.MemoryBytes))))
	r.exportMemory(handler)
	if err := r.listen(); err != nil {
		r.close()
		return nil, nil, err
	}
	return r, r.close, nil
}

// newRetryBudgets returns this router's part of the retry budget that the platform allows
// the fleet.
func newRetryBudgets(b platform.Bounds) *retries.Budgets {
	return retries.NewBudgets(retries.WithFraction(retryBudgetFraction*b.RetryRatio), retries.WithFloor(0),
		retries.WithBurst(1), retries.WithEmptyStart())
}

// updateRetryBurst sets this router's burst of retries to its share of the fleet's retry slack.
func (r *Router) updateRetryBurst() {
	live := r.fleet.LiveCount()
	burst := r.retryShare.Burst(retryBudgetFraction*r.bounds.Load().RetrySlack, live, time.Now())
	if burst != r.retryBurst {
		r.log.Info().Float64("burst", burst).Float64("before", r.retryBurst).Int("live", live).Msg("burst of retries changed")
	}
	r.retryBurst = burst
	r.retryBudgets.SetBurst(burst)
}

// newestConfiguration returns the newest version that another router has and this one lacks,
// or zero, and for how long it has been known.
func (r *Router) newestConfiguration() (version int64, behind time.Duration) {
	have := int64(0)
	if c := r.watcher.View().Configuration; c != nil {
		have = c.Version
	}
	lag := r.fleet.ConfigurationLag(have)
	return lag.Newest, lag.Behind
}

func (r *Router) close() {
	for _, c := range r.cleanups {
		c()
	}
}

func (r *Router) listen() error {
	s := r.settings
	peerAddress := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0]))
	fleet, closeFleet, err := gossip.New(gossip.Identity{
		Router: s.Router, CallerAddress: s.CallerAddress, PeerAddress: peerAddress,
		FailureDomain: s.FailureDomain, Incarnation: uint64(time.Now().UnixMicro()), CPUShare: s.CPUShare, LinkMbps: s.LinkMbps,
	}, r.gossipState, r.tracker, r.cacheIndex, r.watcher, r.log, gossip.WithQuarantine(r.quarantine), gossip.WithLimits(r.targetLimits), gossip.WithPace(r.pace),
		gossip.WithLoadFigures(r.loadFigures))
	if err != nil {
		return err
	}
	r.fleet = fleet
	r.cleanups = append(r.cleanups, closeFleet)
	if err := r.serveHTTP(peerAddress, fleet.Handler()); err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	admin.HandleFunc("GET /view", r.serveView)
	if err := r.serveHTTP(net.JoinHostPort(s.IP, strconv.Itoa(metricsPort)), admin); err != nil {
		// Not fatal: calls can be served without metrics.
		r.log.Error().Err(err).Msg("failed to serve metrics")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, r.serveReady)
	mux.HandleFunc("GET "+platform.LookupPath, r.serveLookup)
	addresses := map[string]bool{s.ReadyAddress: true}
	if s.LookupAddress != "" {
		addresses[s.LookupAddress] = true
	}
	for address := range addresses {
		if err := r.serveHTTP(address, mux); err != nil {
			return err
		}
	}
	l, err := listenTCP(s.CallerAddress)
	if err != nil {
		return err
	}
	r.callerListeners = append(r.callerListeners, l)
	return nil
}

func listenTCP(address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
	return l, eris.Wrapf(err, "listen at %q", address)
}

func (r *Router) serveHTTP(address string, handler http.Handler) error {
	l, err := listenTCP(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }() // Returns when close closes the server.
	r.cleanups = append(r.cleanups, func() { _ = server.Close() })
	return nil
}

// Run serves calls until ctx is done and then drains. It returns after the last call has
// been answered or the grace period is over.
func (r *Router) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { r.watcher.Run(background, r.watchesStore) })
	group.Go(func() { r.fleet.Run(background) })
	group.Go(func() { r.register(background) })
	group.Go(func() { r.keepRegistrations(background) })
	group.Go(func() { r.cleanUp(background) })
	group.Go(func() { r.detectStalls(background) })
	group.Go(func() { r.guardView(background) })
	group.Go(func() { r.loadCaches(background) })
	group.Go(func() { r.keepQuarantine(background) })
	group.Go(func() { r.watchSettings(background) })
	r.addSeedPeers(r.settings)
	for _, l := range r.callerListeners {
		go r.server.Serve(l)
	}
	r.log.Info().Str("callers", r.settings.CallerAddress).Str("store", r.settings.StoreAddress).Msg("router started")
	<-ctx.Done()
	r.drain()
	stop()
	group.Wait()
}

func (r *Router) limits() state.Limits {
	if c := r.watcher.View().Configuration; c != nil {
		return c.Limits
	}
	return platform.DefaultLimits()
}

// othersServe reports whether other routers serve callers.
func (r *Router) othersServe() bool {
	_, others := r.fleet.LiveRouters()
	return len(others) > 0
}

func (r *Router) gossipState() gossip.State {
	v := r.watcher.View()
	s := gossip.State{
		Serving: v.Configuration != nil, TargetsRevision: v.Targets.Revision,
		TargetsDigest: v.Targets.Digest, TargetsListRevision: v.Targets.ListRevision, StoreAge: r.watcher.StoreAge(),
		StoreFailing: r.watcher.FailingFor(), LacksDepartures: r.watcher.LacksDepartures(),
	}
	if v.Configuration != nil {
		s.ConfigurationVersion = v.Configuration.Version
	}
	s.Confirmed = v.Configuration != nil && r.guard.Confirmed()
	for _, list := range v.Targets.ByService {
		s.TargetCount += len(list)
	}
	return s
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.shutdown.Load() != nil || r.watcher.View().Configuration == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) serveLookup(w http.ResponseWriter, req *http.Request) {
	addresses := r.fleet.CallerAddresses(req.URL.Query().Get("zone"), platform.MaxLookupAddresses)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := lookupTTL
	if maxTTL := r.bounds.Load().LookupTTL; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	w.Header().Set("Content-Type", "application/json")
	// The response holds only addresses of routers. A write error means that the client has
	// disconnected.
	_, _ = w.Write(platform.EncodeLookup(addresses, ttl)) //nolint:gosec // Contains no request data.
}

// cleanUp periodically removes state of targets that are no longer listed, closes connections
// that were idle for too long and adjusts the retry burst to the number of live routers.
func (r *Router) cleanUp(ctx context.Context) {
	for objects.Sleep(ctx, cleanupInterval) == nil {
		listed := make(map[uint64]bool)
		for _, list := range r.watcher.View().Targets.ByService {
			for _, t := range list {
				listed[t.Hash] = true
			}
		}
		r.updateRetryBurst()
		r.cacheIndex.Expire(listed, time.Now())
		r.tracker.Prune(listed)
		r.handler.PruneTargets(listed)
		r.pool.CloseExpired(time.Now())
	}
}

func (r *Router) logTargetChange(c targetstats.Change) {
	r.log.Warn().Str("target", r.watcher.View().Targets.Name(c.Target)).Bool("aside", c.Ejected).Float64("failures", c.Failures).
		Float64("results", c.Results).Float64("common-share", c.OthersFailureRate).Msg("target ejected or readmitted because of its failure rate")
}

// coldLimit returns the bound on the calls to cold targets of a service.
func (r *Router) coldLimit(s state.Service) targetpace.Limit {
	b := r.bounds.Load()
	if b.ColdOvershoot <= 0 {
		return targetpace.Limit{}
	}
	return targetpace.Limit{PerSecond: s.ColdRate, Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

// logPace logs the changes that this router has decided. Those that others report are logged
// there: in a fleet of a hundred routers they are most.
func (r *Router) logPace(c targetpace.Change) {
	if c.IsReported {
		return
	}
	r.log.Info().Str("target", r.watcher.View().Targets.Name(c.Target)).Str("service", c.Service).Stringer("from", c.From).
		Stringer("to", c.To).Str("why", c.Why).Msg("target pace changed")
}

func (r *Router) logTargetWait(target uint64, wait time.Duration) {
	metrics.GetOrCreateCounter(`hickoryrock_target_waits_total`).Inc()
	r.log.Info().Str("target", r.watcher.View().Targets.Name(target)).Dur("for-ms", wait).
		Msg("target has turned a request away and wants none for a time")
}
