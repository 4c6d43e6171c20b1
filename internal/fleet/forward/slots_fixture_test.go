package forward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/peer/slotgrant"
	"hickoryrock/internal/policy/slots"
	"hickoryrock/internal/standin/rawserver"
)

type (
	// fakeSlots is a coordinator that assigns targets as a function says, and records how its
	// grants end.
	fakeSlots struct {
		assign func(ctx context.Context, r slotgrant.Request) (target uint64, err error)

		mu    sync.Mutex
		asked []slotgrant.Request
		// granted is the number of grants; released and cancelled count the ends of each.
		granted   int
		released  map[string]int
		cancelled map[string]int
		results   []slots.Result
	}

	// slotFixture is a router that asks fakeSlots.
	slotFixture struct {
		*fixture
		slots *fakeSlots
		log   *lines
	}
)

// Acquire implements forward.SlotSource.
func (s *fakeSlots) Acquire(ctx context.Context, r slotgrant.Request) (slotgrant.Grant, error) {
	s.mu.Lock()
	s.asked = append(s.asked, r)
	s.mu.Unlock()
	target, err := s.assign(ctx, r)
	if err != nil {
		return slotgrant.Grant{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	return slotgrant.Grant{Target: target, Coordinator: strconv.Itoa(s.granted)}, nil
}

// Release implements forward.SlotSource.
func (s *fakeSlots) Release(g slotgrant.Grant, result slots.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released[g.Coordinator]++
	s.results = append(s.results, result)
}

// Cancel implements forward.SlotSource.
func (s *fakeSlots) Cancel(g slotgrant.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled[g.Coordinator]++
}

func (s *fakeSlots) requests() []slotgrant.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]slotgrant.Request(nil), s.asked...)
}

// newSlotFixture returns a router under the contract "pressure" before targets with six slots.
func newSlotFixture(t *testing.T, targets int, script rawserver.Handler, opts ...func(*forward.Config)) *slotFixture {
	f := &slotFixture{slots: &fakeSlots{released: make(map[string]int), cancelled: make(map[string]int)}, log: new(lines)}
	withSlots := func(c *forward.Config) { c.Slots, c.HasPressure, c.Log = f.slots, true, zerolog.New(f.log) }
	f.fixture = newFixture(t, targets, script, append([]func(*forward.Config){withSlots}, opts...)...)
	f.change(func(t *state.Target) { t.Slots = 6 })
	f.grantUntried()
	return f
}

// change publishes a view with changed targets.
func (f *fixture) change(edit func(*state.Target)) {
	view := f.view.Load()
	var targets []*state.Target
	for _, old := range view.Targets.ByService["s"] {
		t := *old
		edit(&t)
		targets = append(targets, &t)
	}
	f.view.Store(&state.View{Configuration: view.Configuration, Targets: state.NewTargets(targets)})
}

func (f *fixture) hash(target int) uint64 {
	for _, t := range f.view.Load().Targets.ByService["s"] {
		if t.Address == f.targets[target].Address() {
			return t.Hash
		}
	}
	f.Fatalf("no target %d", target)
	return 0
}

// grant grants targets in the given order, and then the last one.
func (f *slotFixture) grant(targets ...int) {
	n := 0
	f.slots.assign = func(context.Context, slotgrant.Request) (uint64, error) {
		f.slots.mu.Lock()
		defer f.slots.mu.Unlock()
		n++
		return f.hash(targets[min(n, len(targets))-1]), nil
	}
}

// grantUntried grants the first target that is not excluded.
func (f *slotFixture) grantUntried() {
	f.slots.assign = func(_ context.Context, r slotgrant.Request) (uint64, error) {
		for i := range f.targets {
			if !contains(r.Excluded, f.hash(i)) {
				return f.hash(i), nil
			}
		}
		return 0, &slotgrant.Refusal{RetryAfter: time.Second}
	}
}

func (f *slotFixture) fail(err error) {
	f.slots.assign = func(context.Context, slotgrant.Request) (uint64, error) { return 0, err }
}

func contains(list []uint64, hash uint64) bool {
	for _, h := range list {
		if h == hash {
			return true
		}
	}
	return false
}

// received returns the numbers of requests that the targets have received.
func (f *fixture) received() []int {
	var n []int
	for _, t := range f.targets {
		n = append(n, len(t.Requests()))
	}
	return n
}

// awaitEnds waits until each grant has ended once: the given numbers by Release and by Cancel.
func (f *slotFixture) awaitEnds(released, cancelled int) {
	f.Helper()
	var state string
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.slots.mu.Lock()
		state = fmt.Sprintf("%d granted, released %v, cancelled %v", f.slots.granted, f.slots.released, f.slots.cancelled)
		isDone := len(f.slots.released) == released && len(f.slots.cancelled) == cancelled && f.slots.granted == released+cancelled
		f.slots.mu.Unlock()
		if isDone {
			break
		}
	}
	time.Sleep(20 * time.Millisecond) // A second end of a grant would come late.
	f.slots.mu.Lock()
	defer f.slots.mu.Unlock()
	f.Assert([]int{len(f.slots.released), len(f.slots.cancelled), f.slots.granted}, qt.DeepEquals,
		[]int{released, cancelled, released + cancelled}, qt.Commentf("%s", state))
	for _, ends := range []map[string]int{f.slots.released, f.slots.cancelled} {
		for grant, n := range ends {
			f.Assert(n, qt.Equals, 1, qt.Commentf("grant %s", grant))
		}
	}
}

// line returns the log line of the only call.
func (f *slotFixture) line() map[string]any {
	f.Helper()
	var found []string
	for end := time.Now().Add(2 * time.Second); len(found) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		found = f.log.ofCalls()
	}
	f.Assert(found, qt.HasLen, 1)
	var line map[string]any
	f.Assert(json.Unmarshal([]byte(found[0]), &line), qt.IsNil)
	return line
}
