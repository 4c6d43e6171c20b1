// Package gossip tells the other routers of a fleet, by datagrams, that this
// one lives, what it knows and what it has in flight, and lets a router that
// the store turns away learn from those that the store serves.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/fleet/follow"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/standing"
)

const (
	// beaconEvery is how often a router tells of itself, for each mediumFleet of
	// routers: a router's traffic grows less than the fleet.
	beaconEvery = 100 * time.Millisecond
	mediumFleet = 30
	// smallFleet is the size up to which each beacon says who sends it; in larger
	// fleets every namedBeacons-th does.
	smallFleet   = 10
	namedBeacons = 4
	// newsEvery is how often news of held prompts are sent ahead of the next
	// beacon, for each beaconEvery between beacons.
	newsEvery = 10 * time.Millisecond
	// introduction is how long after the meeting of a new router every beacon
	// says who sends it: some beacons of a large fleet.
	introduction = time.Second
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
	// maxNudges is how many changes may wait to be told; receivers fetch what is lost.
	maxNudges = 64
	// maxChangeBytes is the size of a change that still fits into a datagram.
	maxChangeBytes = 1100
	// fetchSpread keeps the routers of a large fleet from fetching all at once, so
	// that most can fetch from one nearby.
	fetchSpread = 60 * time.Millisecond
	// fetchPause is the time between two tries to fetch.
	fetchPause = 100 * time.Millisecond
	// behindFor is how long the store may take to deliver what another router already has.
	behindFor = 250 * time.Millisecond
	// leaders is the number of routers that watch the store for all.
	leaders = 2
	// maxWaiting is the number of routers that wait for an absent store beside
	// its leaders; each call is charged, refused ones too.
	maxWaiting = 8
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
		TargetsDigest        uint64
		TargetsListed        uint64
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
		// nudges ask for a beacon at once, with a change of targets if there is one.
		nudges chan *follow.Change
		// wakes tell that another router knows more.
		wakes  chan struct{}
		client *http.Client

		mu    sync.Mutex
		peers map[string]*peer
		// sent counts the regular beacons; until introduced, each says who sends it.
		sent       int
		introduced time.Time
		leaving    bool
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
		nudges: make(chan *follow.Change, maxNudges), wakes: make(chan struct{}, 1),
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
	_ context.Context, r *connect.Request[peerv1.GetSnapshotRequest],
) (*connect.Response[peerv1.Snapshot], error) {
	s := f.from.Snapshot(r.Msg.GetConfigurationVersion(), r.Msg.GetTargetsRevision())
	reply := &peerv1.Snapshot{Configuration: s.Configuration, AllTargets: s.All, Targets: &peerv1.TargetsChange{
		AfterRevision: s.Targets.After, Revision: s.Targets.Revision,
	}}
	for _, item := range s.Targets.Items {
		reply.Targets.Items = append(reply.Targets.Items, &peerv1.TargetItem{Entry: item.Entry, Deleted: item.Deleted})
	}
	if r.Msg.GetHomes() {
		reply.Homes = encodeHoldings(f.parts.Holdings(time.Now()))
	}
	return connect.NewResponse(reply), nil
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
		f.introduced = time.Now().Add(introduction)
	}
}

// Leave tells the others that this router takes no new callers.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.send(nil, nil)
}

// Run sends and receives beacons until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	go f.receive()
	go f.catchUp(ctx)
	last, lastNews := time.Time{}, time.Time{}
	ticker := time.NewTicker(newsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-f.nudges:
			f.send(nil, change)
		case now := <-ticker.C:
			if now.Sub(lastNews) >= f.interval()*newsEvery/beaconEvery {
				lastNews = now
				if news := f.parts.News(maxHoldings); len(news) > 0 {
					f.send(news, nil)
				}
			}
			if now.Sub(last) >= f.interval() {
				last = now
				f.send(nil, nil)
				f.notice(now)
			}
		}
	}
}

// Nudge sends a beacon at once, after a change of what this router knows.
func (f *Fleet) Nudge(change *follow.Change) {
	select {
	case f.nudges <- change:
	default:
		metrics.GetOrCreateCounter(`hickoryrock_nudges_dropped_total`).Inc()
	}
}

// Leads reports whether this router watches the store for the others: the
// first few, in an order that all share, that the store serves. When many before
// this one are not served, the store itself is away and they are enough to notice
// its return.
func (f *Fleet) Leads() bool {
	own := rank(f.self.Router)
	f.mu.Lock()
	defer f.mu.Unlock()
	served, waiting := 0, 0
	for _, p := range f.peers {
		if !p.live || p.beacon.GetLeaving() || rank(p.beacon.GetRouter()) > own {
			continue
		}
		if storeAge(p.beacon)+time.Since(p.heard) < leaderAge+f.intervalOf(len(f.peers)) {
			served++
		} else {
			waiting++
		}
	}
	return served < leaders && waiting < maxWaiting
}

// rank orders routers without regard to failure domains, which names often begin with.
func rank(router string) uint64 { return xxhash.Sum64String(router) }

// StoreServes reports whether the store has just served another router.
func (f *Fleet) StoreServes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.live && storeAge(p.beacon)+time.Since(p.heard) < leaderAge {
			return true
		}
	}
	return false
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
	return f.intervalOf(len(f.peers))
}

func (f *Fleet) intervalOf(peers int) time.Duration {
	return beaconEvery * time.Duration(1+peers/mediumFleet)
}

func (f *Fleet) send(news []affinity.Holding, change *follow.Change) {
	known := f.known()
	b := &peerv1.Beacon{
		Incarnation: f.self.Incarnation, Serving: known.Serving, ConfigurationVersion: known.ConfigurationVersion,
		TargetsRevision: known.TargetsRevision, TargetsDigest: known.TargetsDigest,
		TargetsListed: known.TargetsListed, Change: encodeChange(change),
		StoreAgeMs: uint32(min(known.StoreAge, time.Hour).Milliseconds()), Homes: encodeHoldings(news),
	}
	if b.Change == nil && len(news) == 0 {
		b.HasLoads, b.Loads = true, encodeLoads(f.book.Loads(time.Now()))
		if f.named() {
			b.Router, b.CallerAddress, b.PeerAddress = f.self.Router, f.self.CallerAddress, f.self.PeerAddress
			b.FailureDomain = f.self.FailureDomain
		}
	}
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

// named reports whether the next beacon says who sends it, and counts it.
func (f *Fleet) named() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return len(f.peers) <= smallFleet || f.sent%namedBeacons == 1 || time.Now().Before(f.introduced)
}

func encodeLoads(loads []standing.Load) []*peerv1.TargetLoad {
	out := make([]*peerv1.TargetLoad, 0, min(len(loads), maxLoads))
	for _, l := range loads[:min(len(loads), maxLoads)] {
		out = append(out, &peerv1.TargetLoad{
			Target: l.Target, Calls: uint32(l.Calls), UnreadTokens: uint32(max(l.Unread, 0)), Unreachable: l.Unreachable,
			Results: uint32(l.Results * hundredths), Failures: uint32(l.Failures * hundredths),
		})
	}
	return out
}

// encodeChange returns nil for a change that does not fit into a datagram.
func encodeChange(change *follow.Change) *peerv1.TargetsChange {
	if change == nil {
		return nil
	}
	out := &peerv1.TargetsChange{AfterRevision: change.After, Revision: change.Revision}
	size := 0
	for _, item := range change.Items {
		out.Items = append(out.Items, &peerv1.TargetItem{Entry: item.Entry, Deleted: item.Deleted})
		size += len(item.Entry) + len(item.Deleted)
	}
	if size > maxChangeBytes {
		return nil
	}
	return out
}

func decodeChange(c *peerv1.TargetsChange) follow.Change {
	out := follow.Change{After: c.GetAfterRevision(), Revision: c.GetRevision()}
	for _, item := range c.GetItems() {
		out.Items = append(out.Items, follow.Item{Entry: item.GetEntry(), Deleted: item.GetDeleted()})
	}
	return out
}

func encodeHoldings(holdings []affinity.Holding) []*peerv1.PromptHome {
	out := make([]*peerv1.PromptHome, len(holdings))
	for i, h := range holdings {
		out[i] = &peerv1.PromptHome{Part: h.Part, Target: h.Target, UnreadTokens: uint32(h.Unread)}
	}
	return out
}

func decodeHoldings(homes []*peerv1.PromptHome) []affinity.Holding {
	out := make([]affinity.Holding, len(homes))
	for i, h := range homes {
		out[i] = affinity.Holding{Part: h.GetPart(), Target: h.GetTarget(), Unread: int(h.GetUnreadTokens())}
	}
	return out
}

// Elder returns the live router that started first, if that was before this
// one: it may know what targets hold. In a large fleet each failure domain has
// an elder of its own, since what it tells is long. The strings are empty when
// there is none.
func (f *Fleet) Elder() (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := f.self.Incarnation
	for _, p := range f.peers {
		if !p.live || p.beacon.GetIncarnation() >= oldest {
			continue
		}
		if len(f.peers) > smallFleet && p.beacon.GetFailureDomain() != f.self.FailureDomain {
			continue
		}
		oldest = p.beacon.GetIncarnation()
		router, address = p.beacon.GetRouter(), p.beacon.GetPeerAddress()
	}
	return router, address
}

// Interval is the time between two beacons of a router.
func (f *Fleet) Interval() time.Duration { return f.interval() }

func (f *Fleet) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buffer)
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
		if b = f.complete(b, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()); b != nil {
			f.take(b)
		}
	}
}

// complete adds to a light beacon what the sender's last full one said, and
// returns nil when there was none.
func (f *Fleet) complete(b *peerv1.Beacon, from string) *peerv1.Beacon {
	if b.GetRouter() != "" {
		return b
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[from]
	if p == nil || p.beacon == nil || p.beacon.GetIncarnation() != b.GetIncarnation() {
		return nil
	}
	b.CallerAddress, b.PeerAddress = p.beacon.GetCallerAddress(), p.beacon.GetPeerAddress()
	b.FailureDomain, b.Router = p.beacon.GetFailureDomain(), p.beacon.GetRouter()
	return b
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
	if b.GetHasLoads() {
		f.book.Report(b.GetRouter(), loads, f.known().Targets, now)
	}
	holdings := decodeHoldings(b.GetHomes())
	f.parts.Learn(holdings, now)
	for _, h := range holdings {
		if h.Unread > 0 {
			f.book.Expect(b.GetRouter(), h.Target, h.Unread)
		}
	}
	f.Meet(b.GetPeerAddress())
	if !f.heard(b, now) {
		return
	}
	if b.GetChange() != nil {
		f.from.TakeTargets(decodeChange(b.GetChange()), false, b.GetRouter())
	}
	f.from.Agree(b.GetTargetsRevision(), b.GetTargetsDigest())
	if f.ahead(b, f.known()) {
		select {
		case f.wakes <- struct{}{}:
		default:
		}
	}
}

// heard notes a beacon and reports whether its sender is the newest process at its address.
func (f *Fleet) heard(b *peerv1.Beacon, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[b.GetPeerAddress()]
	if p == nil || (p.beacon != nil && b.GetIncarnation() < p.beacon.GetIncarnation()) {
		return false
	}
	if !p.live {
		f.log.Info().Str("peer", b.GetRouter()).Uint64("incarnation", b.GetIncarnation()).Msg("router heard")
	}
	p.beacon, p.heard, p.live = b, now, true
	return true
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

// ahead reports whether another router has a newer configuration, or knows
// targets that this one does not.
func (f *Fleet) ahead(b *peerv1.Beacon, known Known) bool {
	if b.GetConfigurationVersion() > known.ConfigurationVersion {
		return true
	}
	if b.GetTargetsRevision() > known.TargetsRevision {
		return b.GetTargetsDigest() != known.TargetsDigest
	}
	return differs(b, known)
}

// differs reports whether another router has read other targets at the same
// revision from a later list.
func differs(b *peerv1.Beacon, known Known) bool {
	return b.GetTargetsRevision() == known.TargetsRevision && b.GetTargetsDigest() != known.TargetsDigest &&
		b.GetTargetsListed() > known.TargetsListed
}

func storeAge(b *peerv1.Beacon) time.Duration {
	return time.Duration(b.GetStoreAgeMs()) * time.Millisecond
}

// catchUp fetches what other routers know and this one does not. A router that
// watches the store itself first gives the store some time.
func (f *Fleet) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakes:
		}
		wait := time.Duration(0)
		switch {
		case f.Leads():
			wait = behindFor
		case f.Live() > smallFleet:
			wait = rand.N(fetchSpread)
		}
		if objects.Sleep(ctx, wait) != nil {
			return
		}
		known := f.known()
		router, address := f.source(known)
		if address == "" {
			continue
		}
		if !f.Fetch(ctx, router, address) {
			f.from.Poke()
		}
		if objects.Sleep(ctx, fetchPause) != nil {
			return
		}
	}
}

// source returns a router that is ahead of this one, one nearby if possible.
func (f *Fleet) source(known Known) (router, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []*peer
	for _, p := range f.peers {
		if !p.live || !f.ahead(p.beacon, known) {
			continue
		}
		if p.beacon.GetFailureDomain() == f.self.FailureDomain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", ""
	}
	b := near[rand.IntN(len(near))].beacon
	return b.GetRouter(), b.GetPeerAddress()
}

// Fetch takes over what another router has read, and reports whether it could.
func (f *Fleet) Fetch(ctx context.Context, router, address string) bool {
	known := f.known()
	request := &peerv1.GetSnapshotRequest{
		ConfigurationVersion: known.ConfigurationVersion, TargetsRevision: known.TargetsRevision,
	}
	f.mu.Lock()
	if p := f.peers[address]; p != nil && differs(p.beacon, known) {
		request.TargetsRevision = 0
	}
	f.mu.Unlock()
	reply, ok := f.snapshot(ctx, router, address, request)
	if !ok {
		return false
	}
	if len(reply.GetConfiguration()) > 0 {
		f.from.TakeConfiguration(reply.GetConfiguration(), "router")
	}
	return f.from.TakeTargets(decodeChange(reply.GetTargets()), reply.GetAllTargets(), router)
}

// FetchCaches takes over what another router believes of the targets' caches.
func (f *Fleet) FetchCaches(ctx context.Context, router, address string) bool {
	known := f.known()
	reply, ok := f.snapshot(ctx, router, address, &peerv1.GetSnapshotRequest{
		ConfigurationVersion: known.ConfigurationVersion, TargetsRevision: known.TargetsRevision, Homes: true,
	})
	if ok {
		f.parts.Recall(decodeHoldings(reply.GetHomes()), time.Now())
	}
	return ok
}

func (f *Fleet) snapshot(
	ctx context.Context, router, address string, request *peerv1.GetSnapshotRequest,
) (*peerv1.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := peerv1connect.NewFleetServiceClient(f.client, "http://"+address)
	reply, err := client.GetSnapshot(ctx, connect.NewRequest(request))
	if err != nil {
		metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="failed"}`).Inc()
		f.log.Warn().Err(err).Str("peer", router).Msg("snapshot could not be fetched")
		return nil, false
	}
	metrics.GetOrCreateCounter(`hickoryrock_snapshots_total{result="taken"}`).Inc()
	return reply.Msg, true
}
