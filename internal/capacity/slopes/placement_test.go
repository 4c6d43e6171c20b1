package slopes

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hickoryrock/internal/node/ownership"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/policy/placement"
)

const (
	domains = 6
	// fleetTargets, fleetRouters and fleetModels are the sizes of the fleet in the
	// product's requirements.
	fleetTargets = 5400
	fleetRouters = 330
	fleetModels  = 3
	// confirmInterval is shorter than a ledger's lease, so that the lease never expires.
	confirmInterval = time.Second
	contestTime     = 10 * time.Second
)

var (
	targetCounts = []int{20, 1800, fleetTargets}
	routerCounts = []int{8, 110, fleetRouters}
)

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func targetName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func routerName(i int) string { return fmt.Sprintf("router-%03d", i) }

// deployments returns services and their deployments, among which the targets are
// divided.
func deployments(targets int) []resource.Resource {
	var list []resource.Resource
	for m := range fleetModels {
		name := fmt.Sprintf("model-%d", m)
		d := &resource.ModelDeployment{Name: name + "-a", Service: name, Model: name, Version: "v1"}
		for i := m; i < targets; i += fleetModels {
			d.Targets = append(d.Targets, resource.Target{
				Name: targetName(i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), FailureDomain: domainOf(i),
			})
		}
		list = append(list, &resource.Service{Name: name, Protocol: resource.ProtocolChat, Model: name}, d)
	}
	return list
}

func view(routers int) membership.View {
	v := membership.View{Listed: routers}
	for i := range routers {
		v.Live = append(v.Live, membership.Member{
			Name: routerName(i), FailureDomain: domainOf(i), PeerAddress: fmt.Sprintf("10.1.0.%d:7000", i), State: membership.Live,
		})
	}
	v.Members, v.Self = v.Live, v.Live[0]
	return v
}

func TestMeasurePlacement(t *testing.T) {
	skipUnlessMeasuring(t)
	elapsed := series{name: "placement decision, first three targets", xUnit: "targets", yUnit: "ns"}
	allocations := series{name: "placement decision, allocations", xUnit: "targets", yUnit: "allocations"}
	memory := series{name: "placement set", xUnit: "targets", yUnit: "B of heap"}
	for _, n := range targetCounts {
		targets := make([]placement.Target, n)
		for i := range targets {
			targets[i] = placement.Target{Name: targetName(i), FailureDomain: domainOf(i)}
		}
		s := placement.NewSet(targets)
		key := uint64(0)
		decide := func() {
			key++
			o := s.Order(key)
			for range 3 {
				o.Next()
			}
		}
		elapsed.add(float64(n), timePerCall(decide))
		allocations.add(float64(n), testing.AllocsPerRun(1000, func() {
			o := s.Order(key)
			o.Next()
		}))
		memory.add(float64(n), retainedHeap(func() *placement.Set { return placement.NewSet(targets) }))
		runtime.KeepAlive(targets)
	}
	elapsed.report(t)
	allocations.report(t)
	memory.report(t)
}

func TestMeasureOwner(t *testing.T) {
	skipUnlessMeasuring(t)
	lookup := series{name: "owner lookup", xUnit: "routers", yUnit: "ns"}
	byRouters := series{name: "adoption scan of 5400 targets", xUnit: "routers", yUnit: "ms"}
	byTargets := series{name: "adoption scan with 330 routers", xUnit: "targets", yUnit: "ms"}
	for _, n := range routerCounts {
		o := newOwner(fleetTargets)
		byRouters.add(float64(n), adoptionScanTime(o, n))
		name, domain := targetName(n), domainOf(n)
		lookup.add(float64(n), timePerCall(func() { o.Of(name, domain) }))
	}
	for _, n := range targetCounts {
		byTargets.add(float64(n), adoptionScanTime(newOwner(n), fleetRouters))
	}
	lookup.report(t)
	byRouters.report(t)
	byTargets.report(t)
}

func newOwner(targets int) *ownership.Owner {
	o := ownership.New(routerName(0), permits.NewLedger(), nil)
	o.SetCatalog(catalog.New(deployments(targets), 1))
	return o
}

// adoptionScanTime returns the milliseconds that an owner needs to process a new
// view of the fleet.
func adoptionScanTime(o *ownership.Owner, routers int) float64 {
	v := view(routers)
	return timePerCall(func() { o.SetRouters(v) }) / float64(time.Millisecond)
}

func TestMeasureLedger(t *testing.T) {
	skipUnlessMeasuring(t)
	elapsed := series{name: "permit acquire and release in the ledger", xUnit: "permits held on the target", yUnit: "ns"}
	memory := series{name: "ledger", xUnit: "permits held", yUnit: "B of heap"}
	for _, n := range []int{1, 16, 64, 256} {
		l, now := settledLedger()
		acquirePermits(l, now, n)
		elapsed.add(float64(n), timePerCall(func() {
			l.Acquire(now, targetName(0), permits.Permit{Holder: routerName(1), ID: "x", Weight: 1})
			l.Release(targetName(0), routerName(1), "x")
		}))
	}
	for _, n := range []int{500, 1000, 4000} {
		l, now := settledLedger()
		memory.add(float64(n), retainedHeap(func() *permits.Ledger {
			acquirePermits(l, now, n)
			return l
		}))
	}
	elapsed.report(t)
	memory.report(t)
}

// settledLedger returns a ledger that owns one target and can grant permits for
// it, and the current time of the ledger.
func settledLedger() (*permits.Ledger, time.Time) {
	l, now := permits.NewLedger(), time.Now()
	l.SetBound("model-0", permits.Bound{Factor: 2, Floor: 1 << 20})
	l.Confirm(now)
	l.Adopt(now, permits.Target{Name: targetName(0), Service: "model-0"})
	for end := now.Add(contestTime); now.Before(end); {
		now = now.Add(confirmInterval)
		l.Confirm(now)
	}
	// The target can be granted once a load report from after the contest arrives.
	l.ReportLoad(targetName(0), permits.Report{SampledAt: now})
	return l, now
}

func acquirePermits(l *permits.Ledger, now time.Time, n int) {
	for i := range n {
		v := l.Acquire(now, targetName(0), permits.Permit{Holder: routerName(i % fleetRouters), ID: fmt.Sprint(i), Weight: 1})
		if v != permits.Granted {
			panic("the permit was not granted")
		}
	}
}
