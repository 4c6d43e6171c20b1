package ownership

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/target/dispatch"
)

const (
	self       = "router-1"
	bookings   = "bookings"
	settleTime = 10 * time.Second
)

type (
	// fleet is one Owner with fake peers, targets and clock.
	fleet struct {
		*Owner
		now time.Time
		// verdict, responded and delay determine the responses of peers.
		verdict   permits.Verdict
		responded bool
		delay     time.Duration
		// released counts the releases of each permit. announced are the permits of the
		// last round of announcements, by the address they were sent to.
		released  map[string]int
		announced map[string][]string
		report    Report
		err       error
		leaving   string
	}
)

func newFleet(routers ...string) *fleet {
	f := &fleet{
		now: time.Unix(1e9, 0), verdict: permits.Granted, responded: true, report: Report{Serves: true},
		released: map[string]int{}, announced: map[string][]string{},
	}
	f.Owner = New(self, permits.NewLedger(), f, WithLoads(f),
		WithClock(func() time.Time { return f.now }),
		WithLeaving(func(target string) bool { return target == f.leaving }))
	f.SetCatalog(catalog.New([]resource.Resource{&resource.Service{
		Name: bookings, Protocol: resource.ProtocolPlain,
		Targets: []resource.Target{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}},
	}}, 1))
	f.view(len(routers), routers...)
	return f
}

func (f *fleet) view(listed int, routers ...string) {
	v := membership.View{Listed: listed}
	for _, name := range routers {
		v.Live = append(v.Live, membership.Member{Name: name, PeerAddress: "at-" + name, FailureDomain: "a"})
	}
	clear(f.announced)
	f.SetRouters(v)
}

// settle advances the clock by more than the contest term, after which no former owner can
// still grant permits.
func (f *fleet) settle() {
	for end := f.now.Add(settleTime); f.now.Before(end); f.now = f.now.Add(time.Second) {
		f.renewLease()
		f.pollLoads(context.Background())
	}
}

func (f *fleet) target(name string) catalog.Target {
	s, _ := f.catalog.Service(bookings)
	t, _ := s.Target(name)
	return t
}

func (f *fleet) acquire(target string) (dispatch.Verdict, func()) {
	return f.Owner.Acquire(context.Background(), bookings, f.target(target), 1)
}

// Acquire implements Peers.
func (f *fleet) Acquire(context.Context, string, string, string, permits.Permit) (permits.Verdict, bool) {
	f.now = f.now.Add(f.delay)
	return f.verdict, f.responded
}

// Handover implements Peers.
func (f *fleet) Handover(context.Context, string, string, string, uint64) (permits.Handover, bool) {
	return permits.Handover{}, false
}

// Release implements Peers.
func (f *fleet) Release(_, _ string, p permits.Permit) { f.released[p.ID]++ }

// Announce implements Peers.
func (f *fleet) Announce(address, _, target string, held []permits.Permit) {
	for _, p := range held {
		f.announced[address] = append(f.announced[address], target+"/"+p.ID)
	}
}

// Load implements Loads.
func (f *fleet) Load(context.Context, *catalog.Service, catalog.Target) (Report, error) {
	return f.report, f.err
}

// heldIDs lists the held permits as target/permit.
func (f *fleet) heldIDs() []string {
	ids := []string{}
	for _, h := range f.held.snapshot() {
		for _, p := range h.list {
			ids = append(ids, h.target.Name+"/"+p.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) inFlight() uint64 {
	return f.ledger.Sums(f.now)[bookings].Load
}

func assertVerdict(t *testing.T, f *fleet, want dispatch.Verdict) {
	t.Helper()
	got, release := f.acquire("a")
	qt.Assert(t, got, qt.Equals, want)
	qt.Assert(t, release != nil, qt.Equals, want == dispatch.Granted)
	if release != nil {
		release()
		release()
	}
	qt.Assert(t, f.heldIDs(), qt.HasLen, 0)
	qt.Assert(t, f.inFlight(), qt.Equals, uint64(0))
}

func TestOwnTargets(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fleet)
		want   dispatch.Verdict
	}{
		"settled":       {func(*fleet) {}, dispatch.Granted},
		"leaving":       {func(f *fleet) { f.leaving = "a" }, dispatch.Leaving},
		"wrong version": {func(f *fleet) { f.report.Serves = false }, dispatch.Leaving},
		"down":          {func(f *fleet) { f.err = errNoLoadReport }, dispatch.Leaving},
		"one failure": {func(f *fleet) {
			f.err = errNoLoadReport
			f.pollLoads(context.Background())
			f.err = nil
		}, dispatch.Granted},
		"repaired": {func(f *fleet) {
			f.report.Serves, f.err = false, nil
			f.settle()
			f.report.Serves = true
		}, dispatch.Granted},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(self)
			assertVerdict(t, f, dispatch.OwnerUnreachable)
			f.settle()
			c.change(f)
			f.settle()
			assertVerdict(t, f, c.want)
		})
	}
}

func TestNewOwnerWaits(t *testing.T) {
	f := newFleet(self)
	f.renewLease()
	assertVerdict(t, f, dispatch.Contested)
}

func TestQuorum(t *testing.T) {
	f := newFleet()
	f.view(3, self)
	qt.Assert(t, f.OwnedTargets(), qt.HasLen, 0)
	f.settle()
	assertVerdict(t, f, dispatch.OwnerUnreachable)
	f.view(1, self)
	qt.Assert(t, f.OwnedTargets(), qt.HasLen, 4)
	f.settle()
	assertVerdict(t, f, dispatch.Granted)
	f.view(3, self)
	f.settle()
	assertVerdict(t, f, dispatch.OwnerUnreachable)
}

// TestPeerVerdicts requests permits from another router that owns every target.
func TestPeerVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		verdict   permits.Verdict
		responded bool
		delay     time.Duration
		want      dispatch.Verdict
		released  int
	}{
		"granted":          {permits.Granted, true, GrantTerm, dispatch.Granted, 1},
		"granted late":     {permits.Granted, true, GrantTerm + 1, dispatch.OwnerUnreachable, 1},
		"full":             {permits.Full, true, 0, dispatch.Full, 0},
		"leaving":          {permits.Leaving, true, 0, dispatch.Leaving, 0},
		"contested":        {permits.Contested, true, 0, dispatch.Contested, 0},
		"not the owner":    {permits.NotOwner, true, 0, dispatch.OwnerUnreachable, 0},
		"no response":      {permits.NotOwner, false, 0, dispatch.OwnerUnreachable, 1},
		"refused too late": {permits.Full, true, GrantTerm + 1, dispatch.OwnerUnreachable, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("router-2")
			f.verdict, f.responded, f.delay = c.verdict, c.responded, c.delay
			assertVerdict(t, f, c.want)
			n := 0
			for _, times := range f.released {
				n += times
			}
			qt.Assert(t, n, qt.Equals, c.released)
		})
	}
}

// assertEqual compares values in a rapid test, whose T does not implement testing.TB.
func assertEqual(t *rapid.T, got, want any) {
	if err := qt.DeepEquals.Check(got, []any{want}, func(string, any) {}); err != nil {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestPermits acquires and releases permits while owners change, and compares the held
// permits with a model.
func TestPermits(t *testing.T) {
	views := [][]string{{self}, {self, "router-2"}, {"router-2"}, {self, "router-2", "router-3"}, {"router-3"}, {}}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(self, "router-2", "router-3")
		f.settle()
		releases := map[string]func(){}
		want := func() []string {
			ids := []string{}
			for id := range releases {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			return ids
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				f.verdict = rapid.SampledFrom([]permits.Verdict{permits.Granted, permits.Granted, permits.Full}).Draw(t, "verdict")
				f.responded = rapid.Bool().Draw(t, "responded")
				f.delay = rapid.SampledFrom([]time.Duration{0, GrantTerm, 2 * GrantTerm}).Draw(t, "delay")
				before := f.heldIDs()
				target := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target")
				owner, _, ok := f.ownerOf(f.target(target))
				verdict, release := f.acquire(target)
				if ok && owner != self {
					granted := f.verdict == permits.Granted && f.responded && f.delay <= GrantTerm
					assertEqual(t, verdict == dispatch.Granted, granted)
				}
				for _, id := range f.heldIDs() {
					if !slices.Contains(before, id) {
						releases[id] = release
					}
				}
				assertEqual(t, len(releases) == len(before)+1, verdict == dispatch.Granted)
			},
			"release": func(t *rapid.T) {
				if len(releases) == 0 {
					t.Skip("no permit is held")
				}
				id := rapid.SampledFrom(want()).Draw(t, "permit")
				releases[id]()
				releases[id]()
				delete(releases, id)
			},
			"view": func(t *rapid.T) {
				live := rapid.SampledFrom(views).Draw(t, "view")
				f.view(3, live...)
				for _, h := range f.held.snapshot() {
					owner, address, ok := f.ownerOf(h.target)
					for _, p := range h.list {
						announced := slices.Contains(f.announced[address], h.target.Name+"/"+p.ID)
						assertEqual(t, announced, ok && owner != self)
					}
				}
			},
			"settle": func(*rapid.T) { f.settle() },
			"": func(t *rapid.T) {
				assertEqual(t, f.heldIDs(), want())
				for _, n := range f.released {
					assertEqual(t, n, 1)
				}
				if f.quorum().Reached < 2 {
					return
				}
				for _, name := range f.OwnedTargets() {
					owner, _, _ := f.ownerOf(f.target(name))
					assertEqual(t, owner, self)
				}
			},
		})
	})
}
