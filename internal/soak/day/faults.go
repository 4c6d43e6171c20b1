package day

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"hickoryrock/internal/soak/link"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/soak/traffic"
)

const (
	// lapseAfter is when the entry of a dead target leaves the store.
	lapseAfter = 1500 * time.Millisecond
	// seriesGap is the pause between the steps of a series.
	seriesGap = 400 * time.Millisecond
)

// event is something that happens to the fleet for some time. What it strikes
// follows from a random source of its own, which the day's seed determines.
type event struct {
	name string
	// planned events are no trouble: promises about planned work hold through them.
	planned bool
	begin   func(w *world, pick *rand.Rand, lasts time.Duration)
}

var events = []event{
	{name: "kill a router", begin: func(w *world, pick *rand.Rand, lasts time.Duration) { w.kill(w.some(pick, 1), lasts) }},
	{name: "kill all routers", begin: func(w *world, _ *rand.Rand, lasts time.Duration) { w.kill(w.routers, lasts/3) }},
	{name: "kill routers one after the other", begin: func(w *world, pick *rand.Rand, _ time.Duration) {
		for _, r := range w.some(pick, 3) {
			w.kill([]*router{r}, seriesGap)
		}
	}},
	{name: "pause routers", begin: func(w *world, pick *rand.Rand, lasts time.Duration) {
		paused := w.some(pick, 1+pick.IntN(2))
		for _, r := range paused {
			r.Signal(syscall.SIGSTOP)
		}
		time.Sleep(lasts)
		for _, r := range paused {
			r.Signal(syscall.SIGCONT)
		}
	}},
	{name: "stop a router", planned: true, begin: func(w *world, pick *rand.Rand, _ time.Duration) { w.stop(w.some(pick, 1)) }},
	{name: "stop routers in turn", planned: true, begin: func(w *world, pick *rand.Rand, _ time.Duration) {
		w.stop(w.some(pick, 2))
	}},
	{name: "change settings", planned: true, begin: func(w *world, pick *rand.Rand, _ time.Duration) {
		for _, r := range w.some(pick, 3) {
			_ = r.write() // A full disk of the test machine would show in the next start.
			if pick.IntN(2) == 0 {
				r.Signal(syscall.SIGHUP)
			}
			time.Sleep(seriesGap)
		}
	}},
	{name: "change the configuration", planned: true, begin: func(w *world, _ *rand.Rand, _ time.Duration) { w.configure() }},
	{name: "change the configuration often", planned: true, begin: func(w *world, _ *rand.Rand, _ time.Duration) {
		for range 6 {
			w.configure()
			time.Sleep(seriesGap / 4)
		}
	}},
	{name: "replace a target", planned: true, begin: func(w *world, pick *rand.Rand, _ time.Duration) { w.replace(pick) }},
	{name: "disturb callers' links", begin: func(w *world, pick *rand.Rand, lasts time.Duration) {
		w.disturb(pick, lasts, w.links(pick, func(r *router) *link.Link { return r.callers }))
	}},
	{name: "disturb links to the store", begin: func(w *world, pick *rand.Rand, lasts time.Duration) {
		w.disturb(pick, lasts, w.links(pick, func(r *router) *link.Link { return r.store }))
	}},
	{name: "disturb a target's link", begin: func(w *world, pick *rand.Rand, lasts time.Duration) {
		if t := w.target(pick); t != nil {
			w.disturb(pick, lasts, []*link.Link{t.Link})
		}
	}},
	trouble("a target loses answers", traffic.Losing),
	trouble("a target refuses calls", traffic.Refusing),
	trouble("a target sends answers to other calls", traffic.Extra),
	trouble("a target says nothing", traffic.Mute),
	trouble("a target fails", traffic.Failing),
	{name: "crash a target", begin: func(w *world, pick *rand.Rand, _ time.Duration) {
		if t := w.take(pick); t != nil {
			t.crash()
			time.Sleep(lapseAfter)
			w.remove(t.ID)
			w.try(w.addTarget)
		}
	}},
	{name: "restart a target under its name", begin: func(w *world, pick *rand.Rand, _ time.Duration) {
		if t := w.take(pick); t != nil {
			t.crash()
			time.Sleep(seriesGap)
			w.try(func() error { return w.startTarget(t.ID, t.born+1) })
		}
	}},
	{name: "the store is away", begin: func(w *world, pick *rand.Rand, lasts time.Duration) {
		w.store.Fail([]int{503, 429}[pick.IntN(2)])
		time.Sleep(lasts)
		w.store.Fail(0)
	}},
	{name: "watches hear nothing and history is dropped", begin: func(w *world, _ *rand.Rand, _ time.Duration) {
		w.store.Deafen(true)
		w.configure()
		time.Sleep(time.Second)
		w.store.Compact()
		w.store.Deafen(false)
	}},
}

// plannedEvents are the events that are no trouble.
func plannedEvents() []event {
	return slices.DeleteFunc(slices.Clone(events), func(e event) bool { return !e.planned })
}

func trouble(name string, kind traffic.Trouble) event {
	return event{name: name, begin: func(w *world, pick *rand.Rand, lasts time.Duration) {
		if t := w.target(pick); t != nil {
			t.Set(kind)
			time.Sleep(lasts)
			t.Set(traffic.Sound)
		}
	}}
}

// try carries out a step that can fail only when the test machine is out of ports.
func (w *world) try(step func() error) {
	if err := step(); err != nil {
		w.book.Break(oracle.Stuck, "%v", err)
	}
}

func (w *world) some(pick *rand.Rand, n int) []*router {
	order := slices.Clone(w.routers)
	pick.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order[:n]
}

func (w *world) kill(dead []*router, lasts time.Duration) {
	for _, r := range dead {
		r.Stop(0)
	}
	time.Sleep(lasts)
	for _, r := range dead {
		w.try(r.Start)
	}
}

func (w *world) stop(stopped []*router) {
	for _, r := range stopped {
		w.try(r.terminate)
		w.waitReady(r)
	}
}

// waitReady waits until a router that was started is ready, or for some seconds.
func (w *world) waitReady(r *router) {
	for end := time.Now().Add(stopGrace); time.Now().Before(end) && !r.ready(); {
		time.Sleep(seriesGap / 4)
	}
}

// target returns one of the targets that stay, or nil while few do.
func (w *world) target(pick *rand.Rand) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.staying(pick)
}

// take returns one of the targets that stay, which then does not.
func (w *world) take(pick *rand.Rand) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.staying(pick)
	if t != nil {
		t.taken = true
	}
	return t
}

func (w *world) staying(pick *rand.Rand) *target {
	ids := make([]string, 0, len(w.targets))
	for id, t := range w.targets {
		if !t.taken {
			ids = append(ids, id)
		}
	}
	if len(ids) <= targets/2 {
		return nil
	}
	slices.Sort(ids)
	return w.targets[ids[pick.IntN(len(ids))]]
}

// replace starts a new target, then lets an old one leave.
func (w *world) replace(pick *rand.Rand) {
	t := w.take(pick)
	if t == nil {
		return
	}
	w.try(w.addTarget)
	w.register(t.ID, "draining")
	t.Leave()
	time.Sleep(drainTime)
	w.remove(t.ID)
}

// links returns the same link of some routers.
func (w *world) links(pick *rand.Rand, of func(*router) *link.Link) []*link.Link {
	var links []*link.Link
	for _, r := range w.some(pick, 1+pick.IntN(routers)) {
		links = append(links, of(r))
	}
	return links
}

func (w *world) disturb(pick *rand.Rand, lasts time.Duration, links []*link.Link) {
	fault := []link.Fault{
		link.Slow, link.Reset, link.Silent, link.NoAnswers, link.NoCalls, link.Stale,
	}[pick.IntN(6)]
	for _, k := range links {
		k.Set(fault)
	}
	time.Sleep(lasts)
	for _, k := range links {
		k.Set(link.Sound)
	}
}

// step is an event that begins after a pause and lasts for some time.
type step struct {
	event event
	pause time.Duration
	lasts time.Duration
	pick  *rand.Rand
}

// next draws a step among some events.
func (w *world) next(among []event) step {
	return step{
		event: among[w.random.IntN(len(among))], pause: time.Duration(w.random.IntN(1500)) * time.Millisecond,
		lasts: time.Duration(300+w.random.IntN(3000)) * time.Millisecond,
		pick:  rand.New(rand.NewPCG(w.random.Uint64(), 2)),
	}
}

// play begins a step; done is told when it has ended.
func (w *world) play(s step, done *sync.WaitGroup, say func(string)) {
	say(fmt.Sprintf("%s, %v", s.event.name, s.lasts))
	end := func() {}
	if !s.event.planned {
		end = w.book.Trouble()
	}
	done.Go(func() {
		defer end()
		s.event.begin(w, s.pick, s.lasts)
	})
}
