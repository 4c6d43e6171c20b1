package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hickoryrock/internal/peer/membership"
)

const (
	simStep        = 10 * time.Millisecond
	stepsPerTick   = 5
	simHeaderBytes = 28
	backlogPackets = 100
)

type (
	// network runs detectors in virtual time and injects faults.
	network struct {
		now       time.Time
		step      int64
		random    *rand.Rand
		processes []*process
		due       map[int64][]delivery
		lossRate  float64
		blocked   map[[2]int]bool
		cap       int
		options   []membership.Option
		// violation describes the first violated invariant; empty when there is none.
		violation string
	}

	process struct {
		index             int
		d                 *membership.Detector
		up, paused, ready bool
		leaving           bool
		backlog           []membership.Packet
		sends             []send
		sent, received    int
		version, ownedAt  uint64
		owned             []int
		lastSeen          map[string]membership.Member
	}

	delivery struct {
		from, to int
		packet   membership.Packet
	}

	send struct {
		at   time.Time
		size int
	}
)

func newNetwork(n, cap int, seed uint64, opts ...membership.Option) *network {
	w := &network{
		now:     time.Unix(1_700_000_000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		due:     make(map[int64][]delivery),
		blocked: make(map[[2]int]bool),
		cap:     cap,
		options: append(opts, membership.BytesPerSecond(cap)),
	}
	for i := range n {
		w.processes = append(w.processes, &process{index: i})
	}
	return w
}

func (w *network) member(i int) membership.Member {
	return membership.Member{
		Name:          fmt.Sprintf("router-%d", i),
		PeerAddress:   fmt.Sprint(i),
		CallerAddress: fmt.Sprintf("10.20.%d.%d:8080", i/250, i%250),
		FailureDomain: fmt.Sprintf("domain-%d", i%6),
	}
}

// start starts a new process of a router, replacing the old one. If clockWentBack
// is set, its incarnation is lower than that of its predecessor.
func (w *network) start(i int, clockWentBack, ready bool) {
	p := w.processes[i]
	incarnation := uint64(w.now.UnixMilli())
	if clockWentBack {
		incarnation = 1
	}
	opts := append([]membership.Option{
		membership.Incarnation(incarnation),
		membership.Random(rand.New(rand.NewPCG(w.random.Uint64(), 2))),
	}, w.options...)
	*p = process{index: i, up: true, lastSeen: make(map[string]membership.Member)}
	p.d = membership.New(w.member(i), w.now, opts...)
	var listed []membership.Member
	for j := range w.processes {
		listed = append(listed, w.member(j))
	}
	p.d.Seed(listed)
	if ready {
		p.ready = true
		w.send(p, p.d.Ready(w.now))
	}
}

func (w *network) leave(i int) {
	p := w.processes[i]
	p.leaving = true
	w.send(p, p.d.Leave(w.now))
}

func (w *network) resume(i int) {
	p := w.processes[i]
	p.paused = false
	for _, packet := range p.backlog {
		w.send(p, p.d.Receive(w.now, packet))
	}
	p.backlog = nil
}

// heal ends all faults except crashes.
func (w *network) heal() {
	w.lossRate = 0
	clear(w.blocked)
	for i, p := range w.processes {
		if p.paused {
			w.resume(i)
		}
	}
}

func (w *network) send(p *process, packets []membership.Packet) {
	for _, packet := range packets {
		size := proto.Size(packet.Probe) + simHeaderBytes
		p.sent += size
		p.sends = append(p.sends, send{w.now, size})
		var to int
		_, _ = fmt.Sscan(packet.Address, &to)
		if w.blocked[[2]int{p.index, to}] || w.random.Float64() < w.lossRate {
			continue
		}
		w.deliver(p.index, to, packet)
		if w.lossRate > 0 && w.random.IntN(20) == 0 {
			w.deliver(p.index, to, packet)
		}
	}
	w.checkCap(p)
}

func (w *network) deliver(from, to int, packet membership.Packet) {
	delay := 1 + w.random.Int64N(2)
	if w.lossRate > 0 && w.random.IntN(10) == 0 {
		delay += w.random.Int64N(200)
	}
	w.due[w.step+delay] = append(w.due[w.step+delay], delivery{from, to, packet})
}

// advance runs the network for a duration, or until an invariant is violated. It
// calls afterStep after every step.
func (w *network) advance(d time.Duration, afterStep ...func()) {
	for end := w.now.Add(d); w.now.Before(end) && w.violation == ""; {
		w.now = w.now.Add(simStep)
		w.step++
		for _, x := range w.due[w.step] {
			w.receive(x)
		}
		delete(w.due, w.step)
		for i, p := range w.processes {
			if p.up && !p.paused && (w.step+int64(i))%stepsPerTick == 0 {
				w.send(p, p.d.Tick(w.now))
			}
			w.checkView(p)
		}
		for _, fn := range afterStep {
			fn()
		}
	}
}

func (w *network) receive(x delivery) {
	p := w.processes[x.to]
	if !p.up {
		return
	}
	packet := membership.Packet{Address: fmt.Sprint(x.from), Probe: x.packet.Probe}
	p.received += proto.Size(packet.Probe) + simHeaderBytes
	if p.paused {
		if len(p.backlog) < backlogPackets {
			p.backlog = append(p.backlog, packet)
		}
		return
	}
	w.send(p, p.d.Receive(w.now, packet))
}

// checkCap checks that the bytes sent within the last second do not exceed the cap.
func (w *network) checkCap(p *process) {
	from := w.now.Add(-time.Second)
	for len(p.sends) > 0 && !p.sends[0].at.After(from) {
		p.sends = p.sends[1:]
	}
	sum := 0
	for _, s := range p.sends {
		sum += s.size
	}
	if sum > w.cap {
		w.fail("router-%d sent %d bytes within a second, the cap is %d", p.index, sum, w.cap)
	}
}

// checkView checks that a changed view does not return a member to an older incarnation
// or, within an incarnation, from leaving to an earlier state.
func (w *network) checkView(p *process) {
	if !p.up || p.paused || p.d.View().Version == p.version {
		return
	}
	v := p.d.View()
	p.version = v.Version
	seen := make(map[string]membership.Member, len(v.Members))
	for _, m := range v.Members {
		seen[m.Name] = m
		old, ok := p.lastSeen[m.Name]
		if ok && m.Incarnation < old.Incarnation {
			w.fail("router-%d moved %s back from incarnation %d to %d", p.index, m.Name, old.Incarnation, m.Incarnation)
		}
		if ok && old.State == membership.Leaving && m.State < membership.Leaving && m.Incarnation <= old.Incarnation {
			w.fail("router-%d let an older claim replace the leaving state of %s", p.index, m.Name)
		}
	}
	p.lastSeen = seen
}

func (w *network) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at step %d: ", w.step) + fmt.Sprintf(format, args...)
	}
}

// viewMismatch describes the first running router whose view is not correct; empty
// when all views are.
func (w *network) viewMismatch() string {
	var live, leaving []string
	for _, p := range w.processes {
		name := w.member(p.index).Name
		if p.up && p.leaving {
			leaving = append(leaving, name)
		} else if p.up && p.ready {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	for _, p := range w.processes {
		if !p.up {
			continue
		}
		got := p.d.View().Live
		if !slices.EqualFunc(got, live, func(m membership.Member, name string) bool { return m.Name == name }) {
			return fmt.Sprintf("router-%d sees %v as live, want %v", p.index, got, live)
		}
		for _, m := range p.d.View().Members {
			if slices.Contains(leaving, m.Name) && m.State != membership.Leaving {
				return fmt.Sprintf("router-%d sees the leaving router %s as %v", p.index, m.Name, m.State)
			}
		}
	}
	return ""
}

// converge runs the network until all views are correct and returns the time that
// it took, which is more than limit if they are not correct by then.
func (w *network) converge(limit time.Duration) time.Duration {
	start := w.now
	for w.viewMismatch() != "" && w.now.Sub(start) <= limit && w.violation == "" {
		w.advance(simStep)
	}
	return w.now.Sub(start)
}
