// Package gossip tells the other routers of a fleet, by datagrams, that this
// one lives, what it knows and what it has in flight, and lets a router that
// the store turns away learn from those that the store serves.
package gossip

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/fleet/follow"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/standing"
)

const (
	// beaconEvery is how often a router of a small fleet tells of itself; larger
	// fleets send less often, so that a router's traffic stays the same.
	beaconEvery = 100 * time.Millisecond
	smallFleet  = 10
	// newsEvery is how often news of held prompts are sent ahead of the next beacon.
	newsEvery = 10 * time.Millisecond
	// maxHoldings and maxLoads keep a datagram within 1,400 bytes.
	maxHoldings = 30
	maxLoads    = 40
	// lostAfter is the number of beacons that may be missed before a router
	// is no longer named to callers.
	lostAfter = 5
	// forgetAfter is when a router that is not heard from gets beacons only seldom.
	forgetAfter = 30 * time.Second
	// seldom is the share of beacons that a forgotten router still gets.
	seldom = 50
	// behindFor is how long the store may take to deliver what another router already has.
	behindFor = 250 * time.Millisecond
	// leaders is the number of routers that watch the store for all.
	leaders = 2
	// leaderAge is the age of a leader's last reply from the store beyond which
	// others step in: its watches end sooner than that.
	leaderAge = 900 * time.Millisecond
	// fetchTimeout bounds the fetching of a snapshot.
	fetchTimeout = 800 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 8 << 10
	// hundredths is the unit of counts on the wire.
	hundredths = 100
)

type (
	// Self is what a router tells of itself.
	Self struct {
		Router        string
		CallerAddress string
		PeerAddress   string
		FailureDomain string
		// Incarnation is when the process started, in Unix microseconds.
		Incarnation uint64
	}

	// Known is what a router believes, for the others.
	Known struct {
		Serving              bool
		ConfigurationVersion int64
		TargetsRevision      uint64
		StoreAge             time.Duration
		Targets              int
	}

	// Fleet is the set of routers as one of them sees it.
	Fleet struct {
		self  Self
		known func() Known
		book  *standing.Book
		parts *affinity.Map
		from  *follow.Follower
		log   zerolog.Logger

		conn *net.UDPConn
		// nudges ask for a beacon at once.
		nudges chan struct{}
		client *http.Client

		mu      sync.Mutex
		peers   map[string]*peer
		leaving bool
		behind  time.Time
	}

	peer struct {
		address netip.AddrPort
		heard   time.Time
		beacon  *peerv1.Beacon
		live    bool
		skipped int
	}
)

// New listens for beacons and returns the fleet and the function that stops listening.
func New(
	self Self, known func() Known, book *standing.Book, parts *affinity.Map, from *follow.Follower, log zerolog.Logger,
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
		self: self, known: known, book: book, parts: parts, from: from, log: log, conn: conn,
		client: &http.Client{Timeout: fetchTimeout}, peers: make(map[string]*peer),
		nudges: make(chan struct{}, 1),
	}
	return f, func() { _ = conn.Close() }, nil
}

// Handler serves the other routers' calls.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewFleetServiceHandler(f))
	return mux
}

// GetSnapshot implements peerv1connect.FleetServiceHandler.
func (f *Fleet) GetSnapshot(
	context.Context, *connect.Request[peerv1.GetSnapshotRequest],
) (*connect.Response[peerv1.Snapshot], error) {
	s := f.from.Snapshot()
	return connect.NewResponse(&peerv1.Snapshot{
		Configuration: s.Configuration, TargetsRevision: s.Revision, Targets: s.Targets,
		Homes: encodeHoldings(f.parts.Holdings(time.Now())),
	}), nil
}

// Meet adds a router that may live.
func (f *Fleet) Meet(peerAddress string) {
	address, err := netip.ParseAddrPort(peerAddress)
	if err != nil {
		f.log.Warn().Err(err).Str("address", peerAddress).Msg("peer address skipped")
		return
	}
	if peerAddress == f.self.PeerAddress {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers[peerAddress] == nil {
		f.peers[peerAddress] = &peer{address: address, heard: time.Now()}
	}
}

// Leave tells the others that this router takes no new callers.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.send(nil)
}

// Run sends and receives beacons until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	go f.receive()
	last := time.Time{}
	ticker := time.NewTicker(newsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.nudges:
			f.send(nil)
		case now := <-ticker.C:
			news := f.parts.News(maxHoldings)
			if len(news) > 0 || now.Sub(last) >= f.interval() {
				last = now
				f.send(news)
				f.notice(now)
				f.catchUp(ctx, now)
			}
		}
	}
}

// Nudge sends a beacon at once, after a change of what this router knows.
func (f *Fleet) Nudge() {
	select {
	case f.nudges <- struct{}{}:
	default:
	}
}

// Leads reports whether this router watches the store for the others: the
// first few by name do that the store serves.
func (f *Fleet) Leads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := 0
	for _, p := range f.peers {
		age := time.Duration(p.beacon.GetStoreAgeMs()) * time.Millisecond
		if p.live && !p.beacon.GetLeaving() && p.beacon.GetRouter() < f.self.Router &&
			age+time.Since(p.heard) < leaderAge {
			before++
		}
	}
	return before < leaders
}

// Live returns the number of routers heard from, this one included.
func (f *Fleet) Live() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, p := range f.peers {
		if p.live {
			n++
		}
	}
	return n
}

// CallerAddresses returns where callers may connect, those in a failure domain first.
func (f *Fleet) CallerAddresses(failureDomain string, most int) []string {
	var near, far []string
	add := func(domain, address string) {
		if domain == failureDomain {
			near = append(near, address)
			return
		}
		far = append(far, address)
	}
	known := f.known()
	f.mu.Lock()
	defer f.mu.Unlock()
	if known.Serving && !f.leaving {
		add(f.self.FailureDomain, f.self.CallerAddress)
	}
	for _, p := range f.peers {
		if p.live && p.beacon.GetServing() && !p.beacon.GetLeaving() {
			add(p.beacon.GetFailureDomain(), p.beacon.GetCallerAddress())
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	all := append(near, far...)
	return all[:min(most, len(all))]
}

func (f *Fleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return beaconEvery * time.Duration(max(1, (len(f.peers)+smallFleet)/smallFleet))
}

func (f *Fleet) send(news []affinity.Holding) {
	known := f.known()
	b := &peerv1.Beacon{
		Router: f.self.Router, Incarnation: f.self.Incarnation, CallerAddress: f.self.CallerAddress,
		PeerAddress: f.self.PeerAddress, FailureDomain: f.self.FailureDomain,
		Serving: known.Serving, ConfigurationVersion: known.ConfigurationVersion,
		TargetsRevision: known.TargetsRevision, StoreAgeMs: uint32(min(known.StoreAge, time.Hour).Milliseconds()),
	}
	loads := f.book.Loads(time.Now())
	for _, l := range loads[:min(len(loads), maxLoads)] {
		b.Loads = append(b.Loads, &peerv1.TargetLoad{
			Target: l.Target, Calls: uint32(l.Calls), UnreadTokens: uint32(max(l.Unread, 0)), Unreachable: l.Unreachable,
			Results: uint32(l.Results * hundredths), Failures: uint32(l.Failures * hundredths),
		})
	}
	b.Homes = encodeHoldings(news)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Leaving = f.leaving
	data, err := proto.Marshal(b)
	if err != nil {
		f.log.Error().Err(err).Msg("beacon cannot be encoded")
		return
	}
	for _, p := range f.peers {
		if time.Since(p.heard) > forgetAfter {
			if p.skipped++; p.skipped%seldom != 0 {
				continue
			}
		}
		if _, err := f.conn.WriteToUDPAddrPort(data, p.address); err != nil {
			metrics.GetOrCreateCounter(`hickoryrock_beacon_errors_total`).Inc()
		}
	}
}

func encodeHoldings(holdings []affinity.Holding) []*peerv1.PromptHome {
	out := make([]*peerv1.PromptHome, len(holdings))
	for i, h := range holdings {
		out[i] = &peerv1.PromptHome{Part: h.Part, Target: h.Target}
	}
	return out
}

func decodeHoldings(homes []*peerv1.PromptHome) []affinity.Holding {
	out := make([]affinity.Holding, len(homes))
	for i, h := range homes {
		out[i] = affinity.Holding{Part: h.GetPart(), Target: h.GetTarget()}
	}
	return out
}

// Elder returns a live router that started before this one, which may know
// what targets hold; it returns empty strings when none is heard.
func (f *Fleet) Elder() (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.self.Incarnation
	for _, p := range f.peers {
		if p.live && p.beacon.GetIncarnation() < oldest {
			oldest = p.beacon.GetIncarnation()
			router, address = p.beacon.GetRouter(), p.beacon.GetPeerAddress()
		}
	}
	return router, address
}

func (f *Fleet) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			metrics.GetOrCreateCounter(`hickoryrock_beacon_errors_total`).Inc()
			continue
		}
		b := new(peerv1.Beacon)
		if err := proto.Unmarshal(buffer[:n], b); err != nil {
			f.log.Warn().Err(err).Msg("beacon cannot be decoded")
			continue
		}
		f.take(b)
	}
}

func (f *Fleet) take(b *peerv1.Beacon) {
	now := time.Now()
	if b.GetRouter() == f.self.Router {
		return
	}
	loads := make([]standing.Load, 0, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		loads = append(loads, standing.Load{
			Target: l.GetTarget(), Calls: int(l.GetCalls()), Unread: int(l.GetUnreadTokens()),
			Unreachable: l.GetUnreachable(),
			Results:     float64(l.GetResults()) / hundredths, Failures: float64(l.GetFailures()) / hundredths,
		})
	}
	f.book.Report(b.GetRouter(), loads, f.known().Targets, now)
	f.parts.Learn(decodeHoldings(b.GetHomes()), now)
	f.Meet(b.GetPeerAddress())
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[b.GetPeerAddress()]
	if p == nil || (p.beacon != nil && b.GetIncarnation() < p.beacon.GetIncarnation()) {
		return
	}
	if !p.live {
		f.log.Info().Str("peer", b.GetRouter()).Uint64("incarnation", b.GetIncarnation()).Msg("router heard")
	}
	p.beacon, p.heard, p.live = b, now, true
	f.from.Poke(b.GetConfigurationVersion(), b.GetTargetsRevision())
}

// notice marks the routers that have not been heard from for some beacons.
func (f *Fleet) notice(now time.Time) {
	limit := lostAfter * f.interval()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.live && now.Sub(p.heard) > limit {
			p.live = false
			f.log.Warn().Str("peer", p.beacon.GetRouter()).Dur("silence-ms", now.Sub(p.heard)).Msg("router lost")
		}
	}
}

// catchUp fetches what another router knows when the store does not deliver it.
func (f *Fleet) catchUp(ctx context.Context, now time.Time) {
	known := f.known()
	f.mu.Lock()
	var source *peer
	for _, p := range f.peers {
		if !p.live || !f.ahead(p.beacon, known) {
			continue
		}
		if source == nil || p.beacon.GetTargetsRevision() > source.beacon.GetTargetsRevision() {
			source = p
		}
	}
	if source == nil {
		f.behind = time.Time{}
		f.mu.Unlock()
		return
	}
	if f.behind.IsZero() {
		f.behind = now
	}
	due := now.Sub(f.behind) > behindFor
	if due {
		f.behind = now
	}
	name, address := source.beacon.GetRouter(), source.beacon.GetPeerAddress()
	f.mu.Unlock()
	if due {
		go f.Fetch(ctx, name, address)
	}
}

// ahead reports whether another router has a newer configuration, or newer
// targets while this one does not hear from the store.
func (f *Fleet) ahead(b *peerv1.Beacon, known Known) bool {
	if b.GetConfigurationVersion() > known.ConfigurationVersion {
		return true
	}
	age := time.Duration(b.GetStoreAgeMs()) * time.Millisecond
	return b.GetTargetsRevision() > known.TargetsRevision && known.StoreAge > time.Second && age < time.Second
}

// Fetch takes over what another router has read and what it knows of caches.
func (f *Fleet) Fetch(ctx context.Context, router, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := peerv1connect.NewFleetServiceClient(f.client, "http://"+address)
	reply, err := client.GetSnapshot(ctx, connect.NewRequest(&peerv1.GetSnapshotRequest{}))
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="failed"}`).Inc()
		f.log.Warn().Err(err).Str("peer", router).Msg("snapshot could not be fetched")
		return
	}
	metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="taken"}`).Inc()
	if len(reply.Msg.GetConfiguration()) > 0 {
		f.from.TakeConfiguration(reply.Msg.GetConfiguration(), "router")
	}
	f.from.TakeTargets(reply.Msg.GetTargetsRevision(), reply.Msg.GetTargets(), router)
	f.parts.Learn(decodeHoldings(reply.Msg.GetHomes()), time.Now())
}
