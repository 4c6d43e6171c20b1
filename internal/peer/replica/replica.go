// Package replica replicates the configuration to a router. It synchronizes with the
// platform and with other routers.
package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

const (
	// tickInterval is the longest interval between checks for due work.
	tickInterval = 100 * time.Millisecond
	// callTimeout limits one call to a peer.
	callTimeout = time.Second
)

type (
	// Replica is one router's copy of the configuration. Its methods are safe for
	// concurrent use.
	Replica struct {
		store     objects.Store
		transport Transport
		log       zerolog.Logger
		onChange  func([]Change)
		wake      chan struct{}
		calls     sync.WaitGroup

		mu    sync.Mutex
		state *State
	}

	// Snapshot is the content of a replica at one moment.
	Snapshot struct {
		Resources []resource.Resource
		// Version is the version up to which the resources include every change.
		Version        uint64
		changeSequence uint64
	}
)

// NewReplica returns an empty replica, which Run synchronizes. The returned function
// closes the connections to peers.
func NewReplica(self Peer, store objects.Store, opts ...Option) (*Replica, func()) {
	o := options{log: zerolog.Nop(), timing: DefaultTiming(), onChange: func([]Change) {}}
	for _, opt := range opts {
		opt(&o)
	}
	cleanup := func() {}
	if o.transport == nil {
		o.transport, cleanup = NewConnectTransport()
	}
	now := time.Now()
	state := NewState(self, uint64(now.UnixNano()), o.timing, now)
	state.requireConfirm = o.requireConfirm
	r := &Replica{
		store: store, transport: o.transport, log: o.log, onChange: o.onChange,
		wake: make(chan struct{}, 1), state: state,
	}
	return r, cleanup
}

// Run keeps the configuration up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){r.runExchange, r.followPlatform, r.runStatusWriter, r.runRegistrationCleanup} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
	r.calls.Wait()
}

// Handler returns the path and the handler for calls from peers.
func (r *Replica) Handler() (string, http.Handler) {
	path, h := peerv1connect.NewConfigurationServiceHandler(&server{replica: r}, connect.WithCompressMinBytes(compressMinBytes))
	return path, countBytes(h)
}

// SetPeers replaces the list of live routers, excluding this one.
func (r *Replica) SetPeers(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetPeers(peers)
	r.wakeExchange()
}

// HandlePeerVersion handles a complete version that a peer reports outside the
// replica's calls. If it is higher than this router's, the replica pulls from the peer.
func (r *Replica) HandlePeerVersion(peer string, version uint64) {
	r.send(r.withLock(func(now time.Time) []Request { return r.state.HandlePeerVersion(now, peer, version) }))
}

// Ready reports whether the router has a configuration that it may serve with.
func (r *Replica) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Ready()
}

// Serving reports whether the router may accept new work: it is ready, not stopped,
// and not isolated from the platform and all peers.
func (r *Replica) Serving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Serving(time.Now())
}

// CompleteVersion returns the version up to which every change is held.
func (r *Replica) CompleteVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.config.CompleteVersion()
}

// Resources returns the active resources.
func (r *Replica) Resources() []resource.Resource {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.config.Resources()
}

// Snapshot returns the active resources and their version.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{Resources: r.state.config.Resources(), Version: r.state.config.CompleteVersion(), changeSequence: r.state.changeSequence}
}

// Confirm records that the router now serves callers with the snapshot.
func (r *Replica) Confirm(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Confirm(s.Version, s.changeSequence)
	r.wakeExchange()
}

// Status returns the fleet's configuration status as known to this router.
func (r *Replica) Status() status.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Status()
}

// Stop announces that the router accepts no new work, so that changes no longer wait
// for it. It deletes the router's registration and returns when the platform has
// responded or ctx ends.
func (r *Replica) Stop(ctx context.Context) {
	r.mu.Lock()
	r.state.Stop()
	version := r.state.registrationVersion
	key := registrationKey(r.state.self.Name)
	r.mu.Unlock()
	r.wakeExchange()
	if version == 0 {
		return
	}
	if _, err := r.store.Delete(ctx, key, version); err != nil {
		r.log.Warn().Err(err).Msg("deleting the registration failed; it will be removed once the VM has left the platform's list")
	}
}

// withLock runs fn with the state locked.
func (r *Replica) withLock(fn func(now time.Time) []Request) []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fn(time.Now())
}

// applyChanges passes changes to onChange. The caller holds the lock, so a version is
// acknowledged only after the changes are applied.
func (r *Replica) applyChanges(changes []Change) {
	if len(changes) == 0 {
		return
	}
	metrics.GetOrCreateCounter("hickoryrock_configuration_changes_total").Add(len(changes))
	r.onChange(changes)
}

// wakeExchange makes runExchange check for due requests immediately.
func (r *Replica) wakeExchange() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runExchange sends due requests to peers until ctx ends.
func (r *Replica) runExchange(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.send(r.withLock(func(now time.Time) []Request { return r.state.Tick(now) }))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// send makes each call in its own goroutine, so that an unresponsive peer does not
// delay the others.
func (r *Replica) send(reqs []Request) {
	for _, req := range reqs {
		r.calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			r.call(ctx, req)
		})
	}
}

func (r *Replica) call(ctx context.Context, req Request) {
	switch {
	case req.Push != nil:
		_, err := r.transport.Push(ctx, req.To, req.Push)
		r.countCall("push", req.To, err)
	case req.Pull != nil:
		resp, err := r.transport.Pull(ctx, req.To, req.Pull)
		r.countCall("pull", req.To, err)
		r.withLock(func(now time.Time) []Request {
			if err != nil {
				r.state.HandlePullFailure(req.To)
				return nil
			}
			r.applyChanges(r.state.HandlePullResponse(now, req.To, req.Pull.GetAfterVersion(), resp))
			return nil
		})
		r.wakeExchange()
	case req.Acknowledge != nil:
		resp, err := r.transport.Acknowledge(ctx, req.To, req.Acknowledge)
		r.countCall("acknowledge", req.To, err)
		if err != nil {
			return
		}
		r.send(r.withLock(func(now time.Time) []Request {
			return r.state.HandleAcknowledgeResponse(now, req.To, req.Acknowledge, resp)
		}))
	}
}

func (r *Replica) countCall(call string, to Peer, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
		r.log.Debug().Err(err).Str("call", call).Str("peer", to.Name).Msg("configuration call to peer failed")
	}
	metrics.GetOrCreateCounter(`hickoryrock_configuration_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}
