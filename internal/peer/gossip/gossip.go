// Package gossip exchanges UDP beacons between the routers of a fleet. A beacon
// carries the sender's liveness, the revisions that it knows and the load that it
// has in flight. A router that the store refuses fetches its state from a peer
// that the store serves.
package gossip

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetlimits"
	"hickoryrock/internal/policy/targetpace"
	"hickoryrock/internal/policy/targetstats"
	"hickoryrock/internal/wire/httptransport"
)

const (
	// beaconInterval is the time between regular beacons. It is multiplied by
	// 1 + live peers/routersPerInterval, so that a router's traffic grows more slowly
	// than the fleet. The router that watches the store sends at this interval in a fleet of
	// any size, so that its loss is noticed as soon.
	beaconInterval     = 100 * time.Millisecond
	routersPerInterval = 60
	// smallFleetSize is the number of peers up to which routers fetch from peers of any
	// failure domain and without delay.
	smallFleetSize = 10
	// identityRatio: one in identityRatio regular beacons carries the sender's
	// name, addresses and failure domain.
	identityRatio = 4
	// holdingsInterval is the shortest time between beacons with new prefix cache
	// holdings, which are sent between regular beacons. It is scaled with the
	// fleet like beaconInterval.
	holdingsInterval = 10 * time.Millisecond
	// discoveryTime bounds the exchange of the first beacons with a few routers: one
	// round trip between failure domains and two scheduling delays. It is multiplied by
	// 1 + peers/routersPerDiscovery, since each router sends to and receives from all.
	discoveryTime       = 30 * time.Millisecond
	routersPerDiscovery = 100
	// maxHoldings, maxRefreshes and maxLoads keep a datagram below 1,400 bytes.
	maxHoldings  = 30
	maxRefreshes = 20
	maxLoads     = 40
	// maxQueuedGreetings is the capacity of the queue of introductions to single
	// routers. Those that are dropped follow with a regular beacon.
	maxQueuedGreetings = 1024
	// maxMissedBeacons is the number of consecutive beacons that may be missed
	// before a router is considered lost and no longer returned to callers.
	maxMissedBeacons = 5
	// maxSilentDestinations bounds the peers that are not live to which one beacon is sent.
	maxSilentDestinations = 32
	// backoffAfter is the silence after which a peer is sent fewer beacons.
	backoffAfter = 30 * time.Second
	// backoffRatio: one in backoffRatio broadcasts is sent to such a peer.
	backoffRatio = 50
	// forgetAfter is the silence after which a peer is no longer known. It is added again when
	// it is heard or listed.
	forgetAfter = 10 * time.Minute
	// maxQueuedBeacons is the capacity of the queue of immediate beacons. Receivers
	// fetch the changes that are dropped.
	maxQueuedBeacons = 64
	// maxChangeBytes is the largest change of targets that fits into a datagram.
	maxChangeBytes = 1100
	// fetchJitter is the longest random delay before a fetch in a large fleet. It
	// keeps routers from fetching all at once, so that most find a source in their
	// own failure domain.
	fetchJitter = 60 * time.Millisecond
	// minFetchInterval is the pause after each attempt to fetch a snapshot.
	minFetchInterval = 100 * time.Millisecond
	// storeGracePeriod is how long a router that watches the store waits for the
	// store to deliver what a peer already has, before it fetches from that peer.
	storeGracePeriod = 250 * time.Millisecond
	// maxServedWatchers is the number of routers that watch a reachable store for
	// the fleet. When one fails, another takes over well within the time in which
	// a change must be in force.
	maxServedWatchers = 1
	// maxUnservedWatchers is the number of routers that keep calling the store
	// while it does not serve them. It is limited because every call is charged,
	// refused ones too.
	maxUnservedWatchers = 4
	// unservedAfter is how long calls to the store must have failed before the router says
	// that the store does not serve it.
	unservedAfter = 300 * time.Millisecond
	// probeTurn is how long maxUnservedWatchers further routers have their turn to probe a
	// store that serves none of the first ones. Several turns fit into the time in which a
	// change must be in force.
	probeTurn = 200 * time.Millisecond
	// storeAgeTolerance is added to the duration of a watch to give the age of a
	// watcher's last response from the store at which other routers take over.
	storeAgeTolerance = 200 * time.Millisecond
	// maxSnapshotBytes bounds a snapshot, maxRequestBytes the request for one.
	maxSnapshotBytes = 16 << 20
	maxRequestBytes  = 4 << 10
	// confirmTimeout bounds the request of a snapshot that confirms this router's state.
	confirmTimeout = 150 * time.Millisecond
	// fetchTimeout bounds one snapshot request.
	fetchTimeout = 800 * time.Millisecond
	// idleConnTimeout is how long an unused connection to a peer is kept.
	idleConnTimeout = 90 * time.Second
	// hedgeDelay is how long a router waits for one peer before it also asks another.
	hedgeDelay = 150 * time.Millisecond
	// failedSourceTime is how long a peer that has not sent a snapshot is asked after others.
	failedSourceTime = 2 * time.Second
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 8 << 10
	// maxCPUShare is more cores than any VM has.
	maxCPUShare = 1 << 16
	// maxLinkMbps is more than the link of any VM bears.
	maxLinkMbps = 1 << 20
	// countScale is the factor by which decayed counts are multiplied on the wire.
	countScale = 100
)

type (
	// Identity identifies this router to its peers and callers.
	Identity struct {
		Router        string
		CallerAddress string
		PeerAddress   string
		FailureDomain string
		// Incarnation is the start time of the process in Unix microseconds.
		Incarnation uint64
		// CPUShare is the number of processor cores that the router may use; zero if unknown.
		CPUShare float64
		// LinkMbps is the speed of the link of the router's VM in Mbit/s; zero if unknown.
		LinkMbps float64
	}

	// State is the part of a router's state that its beacons advertise.
	State struct {
		Serving              bool
		ConfigurationVersion int64
		TargetsRevision      state.Revision
		TargetsDigest        uint64
		TargetsListRevision  state.Revision
		// StoreAge is the time since the last response of the store, StoreFailing how long
		// calls to it have been failing.
		StoreAge     time.Duration
		StoreFailing time.Duration
		TargetCount  int
		// LacksDepartures is set while other routers may know that listed targets have left.
		LacksDepartures bool
		// Confirmed is set unless the state may be out of date, as after a pause.
		Confirmed bool
	}

	// Fleet is one router's view of its peers. It sends and receives beacons.
	Fleet struct {
		self       Identity
		localState func() State
		tracker    *targetstats.Tracker
		cacheIndex *affinity.CacheIndex
		watcher    *storewatch.Watcher
		log        zerolog.Logger
		opts       Options

		conn *net.UDPConn
		// address is self.PeerAddress; senderID identifies it in beacons.
		address  netip.AddrPort
		senderID uint32
		// sent and received count datagrams, sentBytes their bytes without headers.
		sent, received, sentBytes *metrics.Counter
		// beaconRequests queues immediate beacons; a non-nil value is a change of
		// targets to send with the beacon.
		beaconRequests chan *storewatch.Delta
		// greetings queues peers that do not know this router's process yet.
		greetings chan netip.AddrPort
		// fetchRequests signals that a peer has newer state.
		fetchRequests chan struct{}
		client        *http.Client
		// cacheSends holds a value for each peer that is being sent cache contents.
		cacheSends chan struct{}

		mu sync.Mutex
		// peers is keyed by peer address; peersBySender holds the same peers by the
		// sender ID of beacons without an identity.
		peers          map[string]*peer
		peersBySender  map[uint32]*peer
		livePeers      int
		regularBeacons int
		// sequence is the number of the last beacon; round counts the broadcasts of a
		// small fleet.
		sequence uint32
		round    uint64
		leaving  bool
		lags     lags
		// watches is set while this router watches the store.
		watches bool
		// batch holds the beacons that this router relays next, as a datagram.
		batch          []byte
		flushScheduled bool
	}
)

// New binds the UDP socket at self.PeerAddress. It returns the fleet and a
// function that closes the socket. Call Run to exchange beacons.
func New(
	self Identity, localState func() State, tracker *targetstats.Tracker, cacheIndex *affinity.CacheIndex, watcher *storewatch.Watcher, log zerolog.Logger,
	opts ...Option,
) (*Fleet, func(), error) {
	address, err := net.ResolveUDPAddr("udp4", self.PeerAddress)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "peer address %q", self.PeerAddress)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen for beacons at %q", self.PeerAddress)
	}
	f := &Fleet{
		self: self, localState: localState, tracker: tracker, cacheIndex: cacheIndex, watcher: watcher, log: log, conn: conn,
		opts: newOptions(opts), lags: newLags(),
		client: newClient(), peers: make(map[string]*peer), peersBySender: make(map[uint32]*peer),
		beaconRequests: make(chan *storewatch.Delta, maxQueuedBeacons), fetchRequests: make(chan struct{}, 1),
		greetings: make(chan netip.AddrPort, maxQueuedGreetings), cacheSends: make(chan struct{}, cacheSendsAtATime(self.LinkMbps)),
		address: netip.AddrPortFrom(address.AddrPort().Addr().Unmap(), address.AddrPort().Port()), senderID: senderID(self.PeerAddress),
		sent:      metrics.GetOrCreateCounter(`hickoryrock_beacon_datagrams_total{direction="sent"}`),
		received:  metrics.GetOrCreateCounter(`hickoryrock_beacon_datagrams_total{direction="received"}`),
		sentBytes: metrics.GetOrCreateCounter(`hickoryrock_beacon_bytes_sent_total`),
	}
	if f.opts.Limits == nil {
		f.opts.Limits = targetlimits.NewTracker(f.LiveRouters)
	}
	if f.opts.Pace == nil {
		f.opts.Pace = targetpace.NewTracker(f.KnownRouters, targetpace.WithLiveRouters(f.LiveRouters))
	}
	return f, func() { _ = conn.Close() }, nil
}

// newClient returns the client for requests to peers.
func newClient() *http.Client {
	transport := httptransport.New(fetchTimeout)
	transport.IdleConnTimeout = idleConnTimeout
	return &http.Client{Timeout: fetchTimeout, Transport: transport}
}

// Handler returns the handler of the FleetService, which peers call.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewFleetServiceHandler(f, connect.WithReadMaxBytes(maxRequestBytes)))
	return f.limitCacheSends(mux)
}

// greet queues a beacon with this router's identity to one peer. The peer answers in
// the same way if this process is new to it, so that both know each other after a
// round trip, at the cost of two datagrams.
func (f *Fleet) greet(address netip.AddrPort) {
	select {
	case f.greetings <- address:
	default:
		metrics.GetOrCreateCounter(`hickoryrock_greetings_dropped_total`).Inc()
	}
}

// DiscoveryTime returns how long it takes to receive a beacon from all live routers
// after they have been added with AddPeer.
func (f *Fleet) DiscoveryTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return discoveryTime + discoveryTime*time.Duration(len(f.peers))/routersPerDiscovery
}

// Leave announces that this router takes no new callers.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.sendRegular()
}

// Run sends and receives beacons until ctx is done.
func (f *Fleet) Run(ctx context.Context) {
	go f.receive()
	go f.catchUp(ctx)
	go f.askStoreWhenBehind(ctx)
	go f.probeStore(ctx)
	regular := time.NewTimer(0)
	defer regular.Stop()
	watch := time.NewTicker(beaconInterval)
	defer watch.Stop()
	// updates is set only between a new holding and the beacon that announces it.
	var updates <-chan time.Time
	lastUpdates := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-f.beaconRequests:
			f.sendChange(change)
		case address := <-f.greetings:
			f.sendGreeting(address)
		case <-f.cacheIndex.Updated():
			if updates == nil {
				updates = time.After(time.Until(lastUpdates.Add(f.interval() * holdingsInterval / beaconInterval)))
			}
		case now := <-updates:
			updates, lastUpdates = nil, now
			if holdings := f.cacheIndex.TakeUpdates(maxHoldings); len(holdings) > 0 {
				f.sendHoldings(holdings)
			}
		case <-f.opts.Quarantine.Urgent():
			f.sendQuarantine(false)
		case <-watch.C:
			if f.mustAnnounceWatch() {
				f.broadcast(f.newBeacon())
			}
		case now := <-regular.C:
			regular.Reset(f.interval())
			f.sendQuarantine(f.sendRegular())
			f.sendLimits()
			f.sendDepartures()
			f.sendEvacuations()
			f.markLost(now)
		}
	}
}

// SendNow queues an immediate beacon after this router's state changed. It does not
// block; when the queue is full the beacon is dropped and counted.
func (f *Fleet) SendNow(change *storewatch.Delta) {
	select {
	case f.beaconRequests <- change:
	default:
		metrics.GetOrCreateCounter(`hickoryrock_nudges_dropped_total`).Inc()
	}
}

// ReportInterval returns the time between two reports of a router's loads.
func (f *Fleet) ReportInterval() time.Duration { return f.interval() }

func (f *Fleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.intervalLocked()
}

// intervalLocked is interval with f.mu held.
func (f *Fleet) intervalLocked() time.Duration {
	return beaconInterval * time.Duration(1+f.livePeers/routersPerInterval)
}
