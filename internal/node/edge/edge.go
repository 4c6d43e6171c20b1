// Package edge runs a router on the users' platform.
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
	"hickoryrock/internal/fleet/follow"
	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/gossip"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/policy/standing"
	"hickoryrock/internal/target/exchange"
	"hickoryrock/platform"
)

const (
	// lookupTTL is how long callers keep the addresses of routers: short, so
	// that they leave a dead router soon.
	lookupTTL = time.Second
	// leaveLeast is how long a leaving router takes callers that have an older
	// answer; leaveQuiet without a new one, and no call, ends it sooner.
	leaveLeast = 2500 * time.Millisecond
	leaveQuiet = 1200 * time.Millisecond
	// leaveMargin is what is left of the grace time when a leaving router ends in any case.
	leaveMargin = 400 * time.Millisecond
	// defaultGrace holds when the settings state none.
	defaultGrace = 8 * time.Second
	// reloadEvery is how often the settings file is looked at; it may change without a signal.
	reloadEvery = time.Second
	// metricsPort is where metrics and the router's view are served; deploy/system.toml names it.
	metricsPort = 9464
	// tidyEvery is how often what is no longer listed is forgotten.
	tidyEvery = 2 * time.Second
	// budgetShare of the fleet's retries is what the routers use together: each
	// of them knows only its own requests.
	budgetShare = 0.8
	// pulseEvery is how often the router checks that it has not stood still;
	// pulseLate is the delay from which on silences of targets say nothing.
	pulseEvery = 50 * time.Millisecond
	pulseLate  = 150 * time.Millisecond
	// bodyShare of the process's memory may be taken up by the bodies of calls.
	bodyShare = 0.25
	// defaultLoadFactor holds when the settings state none.
	defaultLoadFactor = 2
	readHeaderTimeout = 2 * time.Second
)

type (
	// Router is one router.
	Router struct {
		// path is the settings file, which the platform may change at any time.
		path     string
		settings platform.Settings
		log      zerolog.Logger
		store    *platform.Store
		follower *follow.Follower
		fleet    *gossip.Fleet
		book     *standing.Book
		parts    *affinity.Map
		budgets  *retries.Budgets
		server   *ingress.Server
		bounds   atomic.Pointer[platform.Bounds]
		leaving  atomic.Bool
		// settled is closed when the routers' entries have been read once and those
		// that live have had time to answer.
		settled chan struct{}
		closers []func()
		fronts  []net.Listener
	}
)

// New binds the router's addresses; the returned function frees them.
func New(path string, s platform.Settings, log zerolog.Logger) (*Router, func(), error) {
	r := &Router{path: path, settings: s, log: log, parts: affinity.NewMap(), settled: make(chan struct{})}
	r.bounds.Store(&s.Bounds)
	r.book = standing.NewBook(r.targetChanged)
	store, closeStore := platform.NewStore(s.StoreAddress)
	r.store = store
	r.closers = append(r.closers, closeStore)
	r.follower = follow.New(store, log, func(c *follow.Change) { r.fleet.Nudge(c) },
		func() bool { return r.fleet.StoreServes() },
		follow.WithBounds(s.Bounds.ConfigurationApply, s.Bounds.Drain))
	pool, closePool := exchange.New()
	r.closers = append(r.closers, closePool)
	factor := s.Bounds.LoadFactor
	if factor <= 0 {
		factor = defaultLoadFactor
	}
	r.budgets = newBudgets(s.Bounds)
	handler := forward.New(forward.Parts{
		View: r.follower.View, Pool: pool, Book: r.book, Map: r.parts, Budgets: r.budgets,
		FailureDomain: s.FailureDomain, LoadFactor: factor, Log: log,
	})
	r.server = ingress.New(handler, r.limits, log,
		ingress.WithBodyMemory(int64(bodyShare*float64(s.MemoryBytes))))
	if err := r.listen(); err != nil {
		r.close()
		return nil, nil, err
	}
	return r, r.close, nil
}

// newBudgets returns this router's part of the retries that the platform allows the fleet.
func newBudgets(b platform.Bounds) *retries.Budgets {
	return retries.NewBudgets(retries.WithFraction(budgetShare*b.RetryShare), retries.WithFloor(0),
		retries.WithBurst(1))
}

// shareBudget gives each live router an equal part of the fleet's slack.
func (r *Router) shareBudget() {
	r.budgets.SetBurst(max(budgetShare*r.bounds.Load().RetrySlack/float64(r.fleet.Live()), 1))
}

func (r *Router) close() {
	for _, c := range r.closers {
		c()
	}
}

func (r *Router) listen() error {
	s := r.settings
	peerAddress := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0]))
	fleet, closeFleet, err := gossip.New(gossip.Self{
		Router: s.Router, CallerAddress: s.CallerAddress, PeerAddress: peerAddress,
		FailureDomain: s.FailureDomain, Incarnation: uint64(time.Now().UnixMicro()),
	}, r.known, r.book, r.parts, r.follower, r.log)
	if err != nil {
		return err
	}
	r.fleet = fleet
	r.closers = append(r.closers, closeFleet)
	if err := r.serveHTTP(peerAddress, fleet.Handler()); err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	admin.HandleFunc("GET /view", r.serveView)
	if err := r.serveHTTP(net.JoinHostPort(s.IP, strconv.Itoa(metricsPort)), admin); err != nil {
		// Callers are served without metrics.
		r.log.Error().Err(err).Msg("metrics cannot be served")
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
	l, err := listenAt(s.CallerAddress)
	if err != nil {
		return err
	}
	r.fronts = append(r.fronts, l)
	return nil
}

func listenAt(address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
	return l, eris.Wrapf(err, "listen at %q", address)
}

func (r *Router) serveHTTP(address string, handler http.Handler) error {
	l, err := listenAt(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }() // Ends when the router closes it.
	r.closers = append(r.closers, func() { _ = server.Close() })
	return nil
}

// Run serves until ctx ends and the last call is answered.
func (r *Router) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { r.follower.Run(background, r.leads) })
	group.Go(func() { r.fleet.Run(background) })
	group.Go(func() { r.register(background) })
	group.Go(func() { r.tidy(background) })
	group.Go(func() { r.pulse(background) })
	group.Go(func() { r.recall(background) })
	group.Go(func() { r.reload(background) })
	r.meetSeeds(r.settings)
	for _, l := range r.fronts {
		go r.server.Serve(l)
	}
	r.log.Info().Str("callers", r.settings.CallerAddress).Str("store", r.settings.StoreAddress).Msg("router started")
	<-ctx.Done()
	r.leave()
	stop()
	group.Wait()
	r.log.Info().Int64("calls", r.server.Active()).Msg("router stopped")
}

// leave serves the callers that still come until they have gone elsewhere.
func (r *Router) leave() {
	r.log.Info().Int64("calls", r.server.Active()).Msg("router leaving")
	r.leaving.Store(true)
	r.server.Drain()
	r.fleet.Leave()
	grace := r.bounds.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	start := time.Now()
	for {
		time.Sleep(pulseEvery)
		since := time.Since(start)
		quiet := r.server.Active() == 0 && r.server.SinceAccept() > leaveQuiet
		if since > grace-leaveMargin || (since > leaveLeast && quiet) {
			break
		}
	}
	for _, l := range r.fronts {
		_ = l.Close()
	}
	r.server.CloseIdle()
}

func (r *Router) limits() state.Limits {
	if c := r.follower.View().Configuration; c != nil {
		return c.Limits
	}
	return platform.DefaultLimits()
}

func (r *Router) known() gossip.Known {
	v := r.follower.View()
	k := gossip.Known{
		Serving: v.Configuration != nil, TargetsRevision: v.Targets.Revision,
		TargetsDigest: v.Targets.Digest, TargetsListed: v.Targets.Listed, StoreAge: r.follower.StoreAge(),
	}
	if v.Configuration != nil {
		k.ConfigurationVersion = v.Configuration.Version
	}
	for _, list := range v.Targets.ByService {
		k.Targets += len(list)
	}
	return k
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || r.follower.View().Configuration == nil {
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
	if most := r.bounds.Load().LookupTTL; most > 0 {
		ttl = min(ttl, most)
	}
	w.Header().Set("Content-Type", "application/json")
	// JSON of the router's own addresses; a caller that has left needs no answer.
	_, _ = w.Write(platform.EncodeLookup(addresses, ttl)) //nolint:gosec // Nothing of the request is in it.
}

// tidy forgets what belongs to targets that are no longer listed.
func (r *Router) tidy(ctx context.Context) {
	for objects.Sleep(ctx, tidyEvery) == nil {
		listed := make(map[uint64]bool)
		for _, list := range r.follower.View().Targets.ByService {
			for _, t := range list {
				listed[t.Hash] = true
			}
		}
		r.shareBudget()
		r.parts.Expire(listed, time.Now())
		r.book.Keep(listed)
	}
}

func (r *Router) targetChanged(c standing.Change) {
	r.log.Warn().Str("target", r.targetName(c.Target)).Bool("aside", c.Aside).Float64("failures", c.Failures).
		Float64("results", c.Results).Float64("common-share", c.Common).Msg("target's failures changed its standing")
}

func (r *Router) targetName(hash uint64) string {
	for _, list := range r.follower.View().Targets.ByService {
		for _, t := range list {
			if t.Hash == hash {
				return t.ID
			}
		}
	}
	return strconv.FormatUint(hash, 16)
}

// pulse notices that the process stood still.
func (r *Router) pulse(ctx context.Context) {
	last := time.Now()
	for objects.Sleep(ctx, pulseEvery) == nil {
		now := time.Now()
		if late := now.Sub(last) - pulseEvery; late > pulseLate {
			r.log.Warn().Dur("late-ms", late).Msg("process stood still")
			r.book.Awake(now)
		}
		last = now
	}
}
