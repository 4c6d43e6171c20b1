package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/platform/leases"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/store"
	"hickoryrock/internal/testing/seed"
)

const (
	leaseLength   = 2 * time.Second
	loadTimeout   = 6 * time.Second
	maxFleetLoads = 2
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{Seed: 1, Steps: 100}) }

var errReplyTimeout = errors.New("reply timed out")

type (
	// synctestTB hides the Deadline method of testing.T, which must not be called in a synctest bubble.
	synctestTB struct{ rapid.TB }

	// simulation is a deployment's engines and two controllers with their leases.
	simulation struct {
		store       *store.Store
		controllers []*testController
		ctx         context.Context
		cancel      func()

		mu           sync.Mutex
		checkFencing bool
		version      int
		engines      map[string]*Report
		// sent holds the orders that have not been delivered to an engine yet.
		sent []*sentOrder
		// maxToken is the highest fencing token of the orders sent.
		maxToken   uint64
		violations []string
	}

	testController struct {
		*Controller
		keeper *leases.Keeper
		busy   chan struct{}
	}

	sentOrder struct {
		address string
		order   Order
		reply   chan error
	}
)

func newSimulation(checkFencing bool) *simulation {
	sim := &simulation{store: store.New(), checkFencing: checkFencing, version: 1, engines: make(map[string]*Report)}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	for i := range 3 {
		sim.engines[fmt.Sprintf("t%d", i)] = &Report{Models: map[string]string{}}
	}
	for range 2 {
		client := sim.store.Client(func() bool { return sim.ctx.Err() == nil })
		k, _ := leases.New(client, "d", leases.WithLength(leaseLength), leases.WithMargin(100*time.Millisecond))
		c := New(client, sim, k.Lease, sim.deployment, WithLoadTimeout(loadTimeout), WithMaxFleetLoads(maxFleetLoads))
		sim.controllers = append(sim.controllers, &testController{Controller: c, keeper: k, busy: make(chan struct{}, 1)})
	}
	return sim
}

func (sim *simulation) deployment() Deployment {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	d := Deployment{Name: "d", MaxConcurrentLoads: 3, Targets: map[string]string{}, Desired: DesiredState{
		Model: "m", Version: fmt.Sprint(sim.version), Adapters: map[string]string{"a": "1"}, Role: "mixed"}}
	for name := range sim.engines {
		d.Targets[name] = name
	}
	return d
}

// Order implements Engine. The order reaches the engine when the test calls deliver.
func (sim *simulation) Order(ctx context.Context, address string, o Order) error {
	s := &sentOrder{address: address, order: o, reply: make(chan error, 1)}
	sim.mu.Lock()
	sim.checkSent(s)
	sim.sent = append(sim.sent, s)
	sim.mu.Unlock()
	select {
	case err := <-s.reply:
		return err
	case <-time.After(time.Second):
		return errReplyTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkSent records violations of the invariants for an order that is being sent:
// no order of an earlier lease holder follows one of a later holder, its intent
// has been written, and a load holds a load slot.
func (sim *simulation) checkSent(s *sentOrder) {
	if s.order.Fencing < sim.maxToken {
		sim.violations = append(sim.violations, fmt.Sprintf("order with token %d was sent after one with token %d", s.order.Fencing, sim.maxToken))
	}
	sim.maxToken = max(sim.maxToken, s.order.Fencing)
	var in intent
	_ = json.Unmarshal(sim.store.Object(objects.Key{Kind: KindIntents, Name: "d"}).Data, &in)
	sameVersion := s.order.Kind != LoadModel || s.order.Version == in.Desired.Version
	if in.Token < s.order.Fencing || in.Token == s.order.Fencing && !sameVersion {
		sim.violations = append(sim.violations, fmt.Sprintf("order with token %d was sent before its intent", s.order.Fencing))
	}
	var slots loadSlots
	_ = json.Unmarshal(sim.store.Object(loadSlotsKey).Data, &slots)
	until, ok := slots.Until["d/"+s.address]
	if s.order.Kind != SetRole && (!ok || time.Now().UnixMilli() >= until || len(slots.Until) > maxFleetLoads) {
		sim.violations = append(sim.violations, fmt.Sprintf("load of %s was sent without a load slot", s.address))
	}
}

// deliver applies an order to its engine and replies to the controller.
func (sim *simulation) deliver(i int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := sim.sent[i]
	sim.sent = append(sim.sent[:i:i], sim.sent[i+1:]...)
	r := sim.engines[s.address]
	if sim.checkFencing && s.order.Fencing < r.Fencing {
		s.reply <- ErrFenced
		return
	}
	r.Fencing = max(r.Fencing, s.order.Fencing)
	switch s.order.Kind {
	case LoadModel:
		r.Models[s.order.Model] = s.order.Version
	case LoadAdapter:
		r.Models[s.order.Model+":"+s.order.Adapter] = s.order.Version
	case SetRole:
		r.Role = s.order.Role
	}
	s.reply <- nil
}

// Report implements Engine.
func (sim *simulation) Report(_ context.Context, address string) (Report, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r := *sim.engines[address]
	r.Models = maps.Clone(r.Models)
	return r, nil
}

func (sim *simulation) reconcile(c *testController) {
	select {
	case c.busy <- struct{}{}:
		go func() {
			_ = c.Reconcile(sim.ctx)
			<-c.busy
		}()
	default:
	}
}

func (sim *simulation) renewLease(c *testController) {
	go func() { _ = c.keeper.TryAcquireOrRenew(sim.ctx) }()
}

// pendingOrders returns the number of orders not delivered yet.
func (sim *simulation) pendingOrders() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return len(sim.sent)
}

// serveAll serves every pending store call and, if orders is set, delivers every pending order.
func (sim *simulation) serveAll(orders bool) {
	for range 10 {
		synctest.Wait()
		for _, c := range sim.store.Pending() {
			sim.store.Serve(c, store.OK)
		}
		for orders && sim.pendingOrders() > 0 {
			sim.deliver(0)
		}
	}
}

func (sim *simulation) assertNoViolations(t rapid.TB) {
	t.Helper()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, violation := range sim.violations {
		t.Fatal(violation)
	}
}

// converges reports whether all engines reach the desired state once nothing fails any more.
func (sim *simulation) converges() bool {
	for range 60 {
		for _, c := range sim.controllers {
			sim.renewLease(c)
			sim.reconcile(c)
			sim.serveAll(true)
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, r := range sim.engines {
		if !sim.deployment().Desired.SatisfiedBy(*r) {
			return false
		}
	}
	return true
}

func (sim *simulation) stop() {
	sim.cancel()
	time.Sleep(10 * time.Second)
}

func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(synctestTB{t}, func(t *rapid.T) {
			sim := newSimulation(rapid.Bool().Draw(t, "checks"))
			defer sim.stop()
			modes := []store.Mode{store.OK, store.OK, store.OK, store.ReplyDelayed, store.ReplyLost, store.Unavailable}
			controller := func(t *rapid.T) *testController {
				return sim.controllers[rapid.IntRange(0, 1).Draw(t, "controller")]
			}
			t.Repeat(map[string]func(*rapid.T){
				"try":  func(t *rapid.T) { sim.renewLease(controller(t)) },
				"step": func(t *rapid.T) { sim.reconcile(controller(t)) },
				"serve": func(t *rapid.T) {
					pending := sim.store.Pending()
					if len(pending) == 0 {
						t.Skip("no store call is pending")
					}
					sim.store.Serve(pending[rapid.IntRange(0, len(pending)-1).Draw(t, "call")], rapid.SampledFrom(modes).Draw(t, "mode"))
				},
				"serve-all":   func(*rapid.T) { sim.serveAll(false) },
				"serve-all-2": func(*rapid.T) { sim.serveAll(false) },
				"deliver": func(t *rapid.T) {
					n := sim.pendingOrders()
					if n == 0 {
						t.Skip("no order is pending")
					}
					sim.deliver(rapid.IntRange(0, n-1).Draw(t, "order"))
				},
				"change": func(*rapid.T) {
					sim.mu.Lock()
					sim.version++
					sim.mu.Unlock()
				},
				"advance": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 12).Draw(t, "advance")) * 200 * time.Millisecond)
				},
				"": func(t *rapid.T) { synctest.Wait(); sim.assertNoViolations(t) },
			})
			if !sim.converges() {
				t.Fatalf("engines did not reach the desired state %v", sim.deployment().Desired)
			}
			sim.assertNoViolations(t)
		})
	})
}

func TestSatisfiedBy(t *testing.T) {
	desired := DesiredState{Model: "m", Version: "2", Adapters: map[string]string{"a": "1"}, Role: "mixed"}
	models := func(m, a string) map[string]string { return map[string]string{"m": m, "m:a": a} }
	cases := map[string]struct {
		report Report
		want   bool
	}{
		"desired state":              {Report{Role: "mixed", Models: models("2", "1")}, true},
		"version of a delayed order": {Report{Role: "mixed", Models: models("1", "1")}, false},
		"another adapter":            {Report{Role: "mixed", Models: models("2", "0")}, false},
		"another role":               {Report{Role: "prefill", Models: models("2", "1")}, false},
		"nothing loaded":             {Report{Role: "mixed"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { qt.Assert(t, desired.SatisfiedBy(c.report), qt.Equals, c.want) })
	}
}

func TestPlanLimitsLoads(t *testing.T) {
	d := Deployment{Name: "d", MaxConcurrentLoads: 2, Desired: DesiredState{Model: "m", Version: "2"}, Targets: map[string]string{"a": "a", "b": "b", "c": "c"}}
	old := Report{Models: map[string]string{"m": "1"}}
	reports := map[string]Report{"a": old, "b": old, "c": old}
	qt.Assert(t, plan(d, reports, nil, 7), qt.HasLen, 2)
	planned := plan(d, reports, map[string]pendingOrder{"a": {}}, 7)
	qt.Assert(t, planned, qt.HasLen, 1)
	qt.Assert(t, planned[0].target, qt.Equals, "b")
	qt.Assert(t, planned[0].order.Fencing, qt.Equals, uint64(7))
	delete(reports, "b")
	qt.Assert(t, plan(d, reports, map[string]pendingOrder{"a": {}}, 7)[0].target, qt.Equals, "c")
}

func TestLoadSlots(t *testing.T) {
	var slots loadSlots
	now := time.UnixMilli(1000)
	until := now.Add(time.Second)
	acquire := func(target string, now time.Time, want bool) {
		t.Helper()
		qt.Assert(t, slots.acquire(target, now, until, 2), qt.Equals, want)
	}
	acquire("a", now, true)
	acquire("b", now, true)
	acquire("c", now, false)
	acquire("a", now, true)
	acquire("c", until, true)
}
