package dispatch

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/target/plain"
)

// callFixture is a dispatcher whose plain client, permits and retry budget are scripted by the test.
type callFixture struct {
	*Dispatcher
	now            time.Time
	failures       map[string]*outcome.Failure
	verdicts       map[string]Verdict
	budget         int
	permitRequests []string
	sent           []string
	heldPermits    int
}

func newCallFixture(targets ...string) *callFixture {
	fx := &callFixture{now: time.Unix(1e9, 0), failures: map[string]*outcome.Failure{}, verdicts: map[string]Verdict{}, budget: 100}
	fx.Dispatcher = New(WithPlain(fakePlain{fx}), WithPermits(fx), WithBudget(fx), WithClock(func() time.Time { return fx.now }))
	service := &resource.Service{
		Name: "stock", Protocol: resource.ProtocolPlain, Methods: []resource.Method{{Name: "get", Semantics: resource.Idempotent}},
	}
	for _, name := range targets {
		service.Targets = append(service.Targets, resource.Target{Name: name, Address: name})
	}
	fx.SetCatalog(catalog.New([]resource.Resource{service, &resource.Workspace{Name: "w1", Services: []string{"stock"}}}, 1))
	return fx
}

type fakePlain struct{ *callFixture }

// Call implements PlainClient.
func (fx fakePlain) Call(_ context.Context, c plain.Call) (*plain.Result, *outcome.Failure) {
	fx.sent = append(fx.sent, c.Address)
	return &plain.Result{Body: []byte("1")}, fx.failures[c.Address]
}

// Acquire implements Permits.
func (fx *callFixture) Acquire(_ context.Context, _ string, t catalog.Target, _ int) (Verdict, func()) {
	fx.permitRequests = append(fx.permitRequests, t.Name)
	v := fx.verdicts[t.Name]
	if v != Granted {
		return v, nil
	}
	fx.heldPermits++
	return v, func() { fx.heldPermits-- }
}

// Request implements Budget.
func (fx *callFixture) Request(string, string) {}

// Retry implements Budget.
func (fx *callFixture) Retry(string, string, float64) bool {
	fx.budget--
	return fx.budget >= 0
}

func (fx *callFixture) get() *outcome.Failure {
	return fx.getWithin(context.Background())
}

func (fx *callFixture) getWithin(ctx context.Context) *outcome.Failure {
	w, _ := fx.Catalog().Workspace("w1")
	_, f := fx.Call(ctx, w, server.Call{Service: "stock", Method: "get", Body: []byte("{}")})
	return f
}

func assertNotRun(t *testing.T, f *outcome.Failure, reason outcome.Reason) {
	t.Helper()
	qt.Assert(t, f != nil, qt.IsTrue)
	qt.Assert(t, f.Status, qt.Equals, outcome.NotRun)
	qt.Assert(t, f.Reason, qt.Equals, reason)
}

func assertDone(t *testing.T, f *outcome.Failure) {
	t.Helper()
	qt.Assert(t, f == nil, qt.IsTrue, qt.Commentf("%v", f))
}

func unreachable() *outcome.Failure {
	return outcome.NewNotRun(outcome.ReasonTargetUnreachable, "no connection")
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	fx := newCallFixture("a", "b")
	fx.failures["a"] = unreachable()
	for range 40 {
		assertDone(t, fx.get())
	}
	count := func() (n int) {
		for _, target := range fx.sent {
			if target == "a" {
				n++
			}
		}
		return n
	}
	qt.Assert(t, count(), qt.Equals, 1)

	delete(fx.failures, "a")
	fx.now = fx.now.Add(openDuration)
	for range 40 {
		assertDone(t, fx.get())
	}
	qt.Assert(t, count() > 5, qt.IsTrue)
	qt.Assert(t, fx.heldPermits, qt.Equals, 0)
}

func TestOnlyTargetIsStillTried(t *testing.T) {
	fx := newCallFixture("a")
	fx.failures["a"] = unreachable()
	assertNotRun(t, fx.get(), outcome.ReasonTargetUnreachable)
	assertNotRun(t, fx.get(), outcome.ReasonTargetUnreachable)
	delete(fx.failures, "a")
	assertDone(t, fx.get())
	qt.Assert(t, fx.sent, qt.DeepEquals, []string{"a", "a", "a"})
}

func TestRetryBudget(t *testing.T) {
	for budget, sent := range map[int]int{0: 1, 1: 2, 100: 4} {
		fx := newCallFixture("a", "b", "c", "d")
		fx.budget = budget
		for _, name := range []string{"a", "b", "c", "d"} {
			fx.failures[name] = outcome.NewNotRun(outcome.ReasonTargetRefused, "refused")
		}
		f := fx.get()
		assertNotRun(t, f, outcome.ReasonTargetRefused)
		qt.Assert(t, f.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, fx.sent, qt.HasLen, sent)
		qt.Assert(t, fx.heldPermits, qt.Equals, 0)
	}
}

func TestNoTargetGrantsPermit(t *testing.T) {
	for name, c := range map[string]struct {
		verdict Verdict
		reason  outcome.Reason
	}{
		"full":              {Full, outcome.ReasonOverloaded},
		"leaving":           {Leaving, outcome.ReasonNoTarget},
		"contested":         {Contested, outcome.ReasonNoTarget},
		"owner unreachable": {OwnerUnreachable, outcome.ReasonNoTarget},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newCallFixture("a", "b")
			fx.verdicts["a"], fx.verdicts["b"] = c.verdict, c.verdict
			f := fx.get()
			assertNotRun(t, f, c.reason)
			qt.Assert(t, f.RetryAfter > 0, qt.IsTrue)
			qt.Assert(t, fx.permitRequests, qt.HasLen, 2)
			qt.Assert(t, fx.sent, qt.HasLen, 0)
		})
	}
}

func TestFullTargetIsSkipped(t *testing.T) {
	fx := newCallFixture("a", "b")
	fx.verdicts["a"], fx.budget = Full, 0
	for range 20 {
		assertDone(t, fx.get())
	}
	qt.Assert(t, fx.sent, qt.Not(qt.Contains), "a")
}

// TestCancelledBeforeItWasSent cancels the caller's request during permit acquisition: the call
// must not count as done.
func TestCancelledBeforeItWasSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fx := newCallFixture("a", "b")
	fx.verdicts["a"], fx.verdicts["b"] = OwnerUnreachable, OwnerUnreachable
	assertNotRun(t, fx.getWithin(ctx), outcome.ReasonCancelled)
	qt.Assert(t, fx.sent, qt.HasLen, 0)
}
