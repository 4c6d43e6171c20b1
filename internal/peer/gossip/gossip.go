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

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/fleet/follow"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/standing"
)

const (
	// beaconEvery is how often a router tells of itself, for each mediumFleet of
	// routers: a router's traffic grows less than the fleet.
	beaconEvery = 100 * time.Millisecond
	mediumFleet = 30
	// smallFleet is the size up to which routers answer a new one at once.
	smallFleet = 10
	// namedBeacons is the share of beacons that say who sends them.
	namedBeacons = 4
	// newsEvery is how often news of held prompts are sent ahead of the next
	// beacon, for each beaconEvery between beacons.
	newsEvery = 10 * time.Millisecond
	// introduction is how long after the meeting of a new router, or of a new
	// process of a known one, every beacon says who sends it.
	introduction = time.Second
	// helloTime bounds the exchange of the first beacons with routers of a small
	// fleet: a round trip between failure domains and two turns of the processor.
	helloTime = 30 * time.Millisecond
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
	// leaders is the number of routers that watch the store for all. Another
	// one steps in well within the time in which a change must be in force.
	leaders = 1
	// maxWaiting is the number of routers that wait for an absent store beside
	// its leaders; each call is charged, refused ones too.
	maxWaiting = 8
	// leaderSlack is the age of a leader's last reply from the store, beyond the
	// time that its watches wait, from which on others step in.
	leaderSlack = 200 * time.Millisecond
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

		mu sync.Mutex
		// peers are by peer address, senders the same by what light beacons say.
		peers   map[string]*peer
		senders map[uint32]*peer
		// sent counts the regular beacons; until introduced, each says who sends it.
		sent       int
		introduced time.Time
		// number counts the beacons, turn the broadcasts.
		number  uint32
		turn    int
		leaving bool
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
		client: &http.Client{Timeout: fetchTimeout}, peers: make(map[string]*peer), senders: make(map[uint32]*peer),
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
		p := &peer{address: address, heard: time.Now()}
		f.peers[peerAddress], f.senders[senderID(peerAddress)] = p, p
		f.introduce()
	}
}

// introduce makes this router known to one that is new to it: at once in small
// fleets, with the next regular beacon in larger ones.
func (f *Fleet) introduce() {
	f.introduced = time.Now().Add(introduction)
	if len(f.peers) <= smallFleet {
		f.Nudge(nil)
	}
}

// MeetingTime is how long the live routers take to be heard after they have been met.
func (f *Fleet) MeetingTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) <= smallFleet {
		return helloTime
	}
	return f.intervalOf(len(f.peers))
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
