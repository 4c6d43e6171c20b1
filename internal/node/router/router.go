// Package router runs one router of the fleet: it builds and connects the components,
// starts them and drains them at shutdown.
package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/node/ownership"
	"hickoryrock/internal/node/quota"
	"hickoryrock/internal/node/settings"
	"hickoryrock/internal/peer/assignment"
	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/peer/probe"
	"hickoryrock/internal/peer/replica"
	"hickoryrock/internal/peer/transport"
	"hickoryrock/internal/platform/claims"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/policy/retries"
	"hickoryrock/internal/report/collect"
	"hickoryrock/internal/report/tally"
	"hickoryrock/internal/target/dispatch"
	"hickoryrock/internal/target/drain"
	"hickoryrock/internal/target/engine"
	"hickoryrock/internal/target/plain"
)

const (
	drainPollInterval = 50 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

// Router is one router process.
type Router struct {
	settings  settings.Settings
	log       zerolog.Logger
	lifecycle lifecycle
	store     *objects.Client
	probes    *probe.Node
	peerHTTP  *http.Client
	replica   *replica.Replica
	ledger    *permits.Ledger
	owner     *ownership.Owner
	dispatch  *dispatch.Dispatcher
	drainer   *drain.Drainer
	api       *server.Server
	callers   *http.Server
	// stopPeers shuts down the server of the peer protocol.
	stopPeers func(context.Context) error
	admin     *http.Server
	cleanups  []func()

	counts     *tally.Counter
	aggregator *collect.Aggregator
	reporter   *collect.Reporter

	engines        *engine.Client
	addresses      *assignment.Assigner
	quota          *quota.Quota
	localClaims    claims.Store
	claims         claims.Store
	leavingTargets leavingTargets
	recompile      chan struct{}
	// appliedView is the last view of the fleet that was passed to the other components.
	appliedView membership.View
}

// New builds a router and returns it with a function that releases its resources.
func New(s settings.Settings, log zerolog.Logger) (*Router, func(), error) {
	r := &Router{settings: s, log: log, recompile: make(chan struct{}, 1)}
	if err := r.build(); err != nil {
		r.close()
		return nil, nil, err
	}
	return r, r.close, nil
}

func (r *Router) build() error {
	s := r.settings
	var stop func()
	r.store, stop = objects.New(
		objects.WithBaseURLs(s.Platform.Addresses...),
		objects.WithCallTimeout(s.Platform.Timeout),
		objects.WithName(s.Name),
		objects.WithLogger(r.log))
	r.addCleanup(stop)
	if err := r.buildProbes(); err != nil {
		return err
	}
	r.buildReplica()
	r.buildPeerClient()
	r.buildReport()
	r.buildDispatch()
	return r.buildServers()
}

func (r *Router) buildProbes() error {
	s := r.settings
	self := membership.Member{
		Name:          s.Name,
		PeerAddress:   s.Listen.Peers,
		CallerAddress: s.Listen.Callers,
		FailureDomain: s.FailureDomain,
	}
	probes, stop, err := probe.New(self,
		probe.Period(s.Peers.ProbeInterval),
		probe.BytesPerSecond(s.Peers.ControlBytesPerSecond),
		probe.Logger(r.log))
	if err != nil {
		return err
	}
	r.probes = probes
	r.addCleanup(stop)
	return nil
}

func (r *Router) buildDispatch() {
	engines, stopEngines := engine.New()
	r.addCleanup(stopEngines)
	r.engines = engines
	r.addresses = assignment.New(r.settings.Name, r.addressOptions()...)
	plains, stopPlains := plain.New()
	r.addCleanup(stopPlains)
	r.buildClaims()
	r.ledger = permits.NewLedger(
		permits.WithGrantTerm(ownership.GrantTerm), permits.WithContestTerm(ownership.ContestTerm))
	r.owner = ownership.New(r.settings.Name, r.ledger, r.permitPeers(),
		ownership.WithLoads(&engineLoads{engines: engines}),
		ownership.WithLeaving(r.leavingTargets.has),
		ownership.WithReached(r.probes.HeardWithin),
		ownership.WithExchange(r.probes.SetLoads, r.probes.Totals))
	r.drainer = drain.New(engines)
	r.buildQuota()
	r.dispatch = dispatch.New(
		dispatch.WithLog(r.log),
		dispatch.WithPermits(r.owner),
		dispatch.WithAdmit(r.quota.Admit),
		dispatch.WithBudget(&budget{budgets: retries.NewBudgets()}),
		dispatch.WithRecord(r.counts.Add),
		dispatch.WithLeaving(r.leavingTargets.has),
		dispatch.WithClaims(r.claims),
		dispatch.WithEngines(engines),
		dispatch.WithPlain(plains))
}

func (r *Router) buildServers() error {
	s := r.settings.Callers
	api, err := server.New(&backend{Dispatcher: r.dispatch, router: r},
		server.WithLog(r.log),
		r.serveReport(),
		server.WithMaxBodyBytes(s.MaxBodyBytes),
		server.WithMaxInFlight(s.MaxInFlight),
		server.WithBodyTimeout(s.BodyTimeout))
	if err != nil {
		return eris.Wrap(err, "build the caller API")
	}
	r.api = api
	r.callers = &http.Server{
		Handler:           api.Handler(),
		ReadHeaderTimeout: s.HeaderTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
	}
	r.admin = &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return nil
}

// addCleanup registers a function that close calls, in reverse order of registration.
func (r *Router) addCleanup(stop func()) {
	r.cleanups = append(r.cleanups, stop)
}

func (r *Router) close() {
	for i := len(r.cleanups) - 1; i >= 0; i-- {
		r.cleanups[i]()
	}
	r.cleanups = nil
}

// Run serves until ctx is done and then drains. It returns once no request is in flight or
// the drain timeout has expired, or early with the error of a failed server.
func (r *Router) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, workCtx := errgroup.WithContext(workCtx)
	if err := r.listen(workCtx, group); err != nil {
		return err
	}
	r.startBackground(workCtx, group)
	reporterCtx, stopReporter := context.WithCancel(workCtx)
	defer stopReporter()
	reporterDone := make(chan struct{})
	go func() {
		defer close(reporterDone)
		r.reporter.Run(reporterCtx)
	}()
	r.log.Info().Str("callers", r.settings.Listen.Callers).Msg("router started")
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return group.Wait()
	}
	r.drain()
	r.sendFinalCounts(func() {
		stopReporter()
		<-reporterDone
	})
	r.stopServers()
	stopWork()
	return ignoreShutdown(group.Wait())
}

func (r *Router) listen(ctx context.Context, group *errgroup.Group) error {
	peers, err := listenOn(ctx, r.settings.Listen.Peers)
	if err != nil {
		return err
	}
	r.stopPeers = transport.Serve(peers, r.peerHandler())
	for address, s := range map[string]*http.Server{
		r.settings.Listen.Callers: r.callers,
		r.settings.Listen.Admin:   r.admin,
	} {
		l, err := listenOn(ctx, address)
		if err != nil {
			return err
		}
		group.Go(func() error { return ignoreShutdown(s.Serve(l)) })
	}
	return nil
}

func listenOn(ctx context.Context, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

func (r *Router) startBackground(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context){
		r.replica.Run, r.followConfiguration, r.followVMs, r.owner.Run, r.aggregator.Run, r.quota.Run,
		r.drainTargets, r.controlEngines, r.sweepClaims,
	} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
}

// drain removes the router from the fleet. Callers may cache an address for a stated time,
// so the router keeps accepting requests for that long, then refuses new ones and waits for
// those in flight.
func (r *Router) drain() {
	r.lifecycle.advance(phaseLeaving)
	r.probes.Leave()
	d := assignment.NewDrain(r.addressOptions()...)
	d.Leave(time.Now())
	r.log.Info().Msg("router draining, accepting new requests until cached addresses expire")
	var deadline time.Time
	for {
		switch d.Phase(time.Now(), r.api.InFlight()) {
		case assignment.Done:
			return
		case assignment.Refusing:
			if deadline.IsZero() {
				r.lifecycle.advance(phaseRefusing)
				r.stopReplica()
				deadline = time.Now().Add(r.settings.Drain.Timeout)
			}
			if r.settings.Drain.Timeout > 0 && time.Now().After(deadline) {
				r.log.Warn().Int("in-flight", r.api.InFlight()).Msg("drain timeout expired, aborting requests in flight")
				return
			}
		default:
		}
		time.Sleep(drainPollInterval)
	}
}

func (r *Router) stopServers() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.callers.Shutdown(ctx)
	_ = r.stopPeers(ctx)
	_ = r.admin.Shutdown(ctx)
}

// ignoreShutdown returns nil for errors that are part of a normal shutdown.
func ignoreShutdown(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
