// Package probe runs a router's failure detector over UDP.
package probe

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/peer/traffic"
	"hickoryrock/internal/platform/objects"
)

const (
	tickInterval = 50 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer, larger than any packet
	// that a router sends.
	maxDatagramBytes = 2048
	// headerBytes is the size of the UDP and IPv4 headers.
	headerBytes = 28
	routerRole  = "router"
)

// Node runs a membership.Detector on a UDP socket: it probes other routers and
// acknowledges their probes.
//
// It is safe for concurrent use.
type Node struct {
	socket          *net.UDPConn
	log             zerolog.Logger
	onChange        func(membership.View)
	membershipBytes traffic.Counter
	sumBytes        traffic.Counter
	invalidPackets  *metrics.Counter
	sendErrors      *metrics.Counter

	view atomic.Pointer[membership.View]

	mu       sync.Mutex
	detector *membership.Detector
}

// New binds the UDP socket and starts probing. The returned function stops the node
// and closes the socket. Call Leave well before it, so that the announcement reaches
// the other routers.
func New(self membership.Member, opts ...Option) (*Node, func(), error) {
	o := newOptions(self, opts...)
	address, err := net.ResolveUDPAddr("udp", o.listenAddress)
	if err != nil {
		return nil, nil, eris.Wrap(err, "resolve the probe address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for probes")
	}
	now := time.Now()
	detectorOptions := append([]membership.Option{membership.Incarnation(uint64(now.UnixMilli()))}, o.detectorOptions...)
	n := &Node{
		socket:          socket,
		log:             o.log,
		onChange:        o.onChange,
		membershipBytes: traffic.NewCounter(o.metrics, traffic.Membership),
		sumBytes:        traffic.NewCounter(o.metrics, traffic.LoadSums),
		invalidPackets:  o.metrics.GetOrCreateCounter("hickoryrock_probe_invalid_total"),
		sendErrors:      o.metrics.GetOrCreateCounter("hickoryrock_probe_send_errors_total"),
		detector:        membership.New(self, now, detectorOptions...),
	}
	view := n.detector.View()
	n.view.Store(&view)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(n.receive)
	wg.Go(func() { n.tick(stop) })
	return n, func() {
		close(stop)
		_ = socket.Close()
		wg.Wait()
	}, nil
}

// View returns the current view of the fleet.
func (n *Node) View() membership.View { return *n.view.Load() }

// Seed adds the routers of the platform's VM list.
func (n *Node) Seed(vms []objects.VM) {
	listed := make([]membership.Member, 0, len(vms))
	for _, vm := range vms {
		if vm.Role != routerRole {
			continue
		}
		listed = append(listed, membership.Member{
			Name:          vm.Name,
			PeerAddress:   vm.PeerAddress,
			CallerAddress: vm.CallerAddress,
			FailureDomain: vm.FailureDomain,
		})
	}
	n.step(func(d *membership.Detector, _ time.Time) []membership.Packet {
		d.Seed(listed)
		return nil
	})
}

// Ready announces that the router accepts work.
func (n *Node) Ready() {
	n.step(func(d *membership.Detector, now time.Time) []membership.Packet { return d.Ready(now) })
}

// Leave announces that the router takes no new work.
func (n *Node) Leave() {
	n.step(func(d *membership.Detector, now time.Time) []membership.Packet { return d.Leave(now) })
}

// SetLoads sets the loads, by service, of the targets that this router owns.
func (n *Node) SetLoads(loads []membership.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detector.SetLoads(loads)
}

// Totals returns the load of each service over the fleet, sorted by service.
func (n *Node) Totals() []membership.Total {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.detector.Totals(time.Now())
}

// HeardWithin returns the number of routers whose last packet arrived no longer ago
// than the given time, plus one for this router.
func (n *Node) HeardWithin(within time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.detector.HeardWithin(time.Now(), within)
}

// SetConfigVersion sets the configuration version that this router's packets carry.
func (n *Node) SetConfigVersion(version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detector.SetConfigVersion(version)
}

// ConfigVersion returns the configuration version that the named router last
// reported, or 0 when it is unknown.
func (n *Node) ConfigVersion(name string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.detector.ConfigVersion(name)
}

// Skipped returns how many packets were not sent because of the byte cap.
func (n *Node) Skipped() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.detector.Skipped()
}

// step runs fn on the detector, publishes the view if it changed and sends the
// packets that fn returned.
func (n *Node) step(fn func(*membership.Detector, time.Time) []membership.Packet) {
	n.mu.Lock()
	packets := fn(n.detector, time.Now())
	view := n.detector.View()
	changed := view.Version != n.view.Load().Version
	if changed {
		n.view.Store(&view)
		n.onChange(view)
	}
	n.mu.Unlock()
	for _, p := range packets {
		n.send(p)
	}
}

func (n *Node) tick(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			n.step((*membership.Detector).Tick)
		}
	}
}

func (n *Node) receive() {
	b := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(b)
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Debug().Err(err).Msg("failed to read from the probe socket")
			continue
		}
		p := &peerv1.Probe{}
		if err := proto.Unmarshal(b[:size], p); err != nil {
			n.invalidPackets.Inc()
			continue
		}
		n.count(p, size, n.membershipBytes.Received, n.sumBytes.Received)
		packet := membership.Packet{Address: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), Probe: p}
		n.step(func(d *membership.Detector, now time.Time) []membership.Packet { return d.Receive(now, packet) })
	}
}

func (n *Node) send(p membership.Packet) {
	to, err := netip.ParseAddrPort(p.Address)
	if err != nil {
		n.sendErrors.Inc()
		return
	}
	b, err := proto.Marshal(p.Probe)
	if err != nil {
		n.sendErrors.Inc()
		return
	}
	if _, err := n.socket.WriteToUDPAddrPort(b, to); err != nil {
		n.sendErrors.Inc()
		return
	}
	n.count(p.Probe, len(b), n.membershipBytes.Sent, n.sumBytes.Sent)
}

// count adds a datagram's bytes, headers included, to the counters: reports and
// piggybacked domain sums count as load sums, the rest as membership.
func (n *Node) count(p *peerv1.Probe, size int, probes, sums *metrics.Counter) {
	if p.GetKind() == peerv1.Probe_KIND_REPORT {
		sums.Add(size + headerBytes)
		return
	}
	piggybacked := 0
	for _, s := range p.GetDomainSums() {
		piggybacked += proto.Size(s)
	}
	sums.Add(piggybacked)
	probes.Add(size + headerBytes - piggybacked)
}
