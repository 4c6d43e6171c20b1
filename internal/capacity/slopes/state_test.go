package slopes

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/peer/replica"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/tally"
)

const (
	fleetWorkspaces = 600 // From the product's requirements, like fleetTargets.
	// sourcesPerDomain is the number of router processes per failure domain: 330
	// routers and 2,300 replaced ones over 6 domains.
	sourcesPerDomain = 440
	recordDate       = "2026-12-04"
	hourCalls        = 100_000
)

var resourceCounts = []int{100, 1000, 5000}

// workspaces returns n workspaces as operators define them.
func workspaces(n int) []resource.Resource {
	list := make([]resource.Resource, 0, n)
	for i := range n {
		list = append(list, &resource.Workspace{
			Name: workspaceName(i), TokenSHA256: fmt.Sprintf("%064x", i), Services: []string{"model-0", "model-1", "model-2"},
			Priority: i % 10, MaxInFlight: 100, TimeZone: "Europe/Copenhagen", LateAfter: resource.Duration(2 * time.Second),
		})
	}
	return list
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

// updates returns resources as updates from the platform.
func updates(c *qt.C, list []resource.Resource) []replica.Update {
	all := make([]replica.Update, 0, len(list))
	for i, r := range list {
		data, err := json.Marshal(r)
		c.Assert(err, qt.IsNil)
		all = append(all, replica.Update{Newest: objects.Object{Key: r.Key(), Version: uint64(i) + 1, Data: data}})
	}
	return all
}

func TestMeasureConfiguration(t *testing.T) {
	skipUnlessMeasuring(t)
	c := qt.New(t)
	catalogHeap := series{name: "catalog", xUnit: "workspaces", yUnit: "B of heap"}
	replicaHeap := series{name: "replica, objects and decoded resources", xUnit: "workspaces", yUnit: "B of heap"}
	compileTime := series{name: "catalog compilation", xUnit: "workspaces", yUnit: "ms"}
	for _, n := range resourceCounts {
		list := workspaces(n)
		catalogHeap.add(float64(n), retainedHeap(func() *catalog.Catalog { return catalog.New(list, 1) }))
		runtime.KeepAlive(list)
		replicaHeap.add(float64(n), retainedHeap(func() *replica.Configuration { return snapshotOf(updates(c, list)) }))
		compileTime.add(float64(n), timePerCall(func() { catalog.New(list, 1) })/float64(time.Millisecond))
	}
	targets := series{name: "catalog and replica", xUnit: "targets in 3 deployments", yUnit: "B of heap"}
	for _, n := range targetCounts {
		list := deployments(n)
		targets.add(float64(n), retainedHeap(func() []any {
			return []any{catalog.New(list, 1), snapshotOf(updates(c, list))}
		}))
		runtime.KeepAlive(list)
	}
	catalogHeap.report(t)
	replicaHeap.report(t)
	compileTime.report(t)
	targets.report(t)
}

// snapshotOf returns a replica's state after one snapshot.
func snapshotOf(list []replica.Update) *replica.Configuration {
	cfg := replica.NewConfiguration()
	cfg.ApplySnapshot(list, uint64(len(list)))
	return cfg
}

// TestMeasureVMs measures the platform's list of VMs, which every router reads
// once per second.
func TestMeasureVMs(t *testing.T) {
	skipUnlessMeasuring(t)
	bytes := series{name: "list of VMs", xUnit: "targets beside 330 routers", yUnit: "B"}
	decode := series{name: "list of VMs decoded", xUnit: "targets beside 330 routers", yUnit: "ms"}
	for _, n := range targetCounts {
		vms := make([]objects.VM, 0, n+fleetRouters)
		for i := range fleetRouters {
			vms = append(vms, objects.VM{
				Name: routerName(i), Role: "router", PeerAddress: "10.1.0.10:7000", CallerAddress: "10.1.0.10:8000",
				FailureDomain: domainOf(i), State: objects.VMLive,
			})
		}
		for i := range n {
			vms = append(vms, objects.VM{Name: targetName(i), Role: "target", FailureDomain: domainOf(i), State: objects.VMLive})
		}
		data, err := json.Marshal(vms)
		qt.Assert(t, err, qt.IsNil)
		bytes.add(float64(n), float64(len(data)))
		decode.add(float64(n), timePerCall(func() {
			var list []objects.VM
			_ = json.Unmarshal(data, &list)
		})/float64(time.Millisecond))
	}
	bytes.report(t)
	decode.report(t)
}

func TestMeasureReport(t *testing.T) {
	skipUnlessMeasuring(t)
	delivery := series{name: "delivery of one interval", xUnit: "workspaces with calls", yUnit: "B"}
	for _, n := range []int{10, 60, fleetWorkspaces} {
		delivery.add(float64(n), encodedSize(t, deliveryOf(n)))
	}
	record := series{name: "record of a full day, one shard", xUnit: "workspaces in the fleet", yUnit: "B"}
	merge := series{name: "record decoded and encoded", xUnit: "workspaces in the fleet", yUnit: "ms"}
	for _, n := range []int{fleetWorkspaces / 4, fleetWorkspaces, 4 * fleetWorkspaces} {
		r := fullRecord(n, sourcesPerDomain, 0)
		record.add(float64(n), encodedSize(t, r))
		merge.add(float64(n), mergeTime(t, r))
	}
	sources := series{name: "record of a full day, one shard, 600 workspaces", xUnit: "router processes in the domain", yUnit: "B"}
	for _, n := range []int{55, sourcesPerDomain, 4 * sourcesPerDomain} {
		sources.add(float64(n), encodedSize(t, fullRecord(fleetWorkspaces, n, 0)))
	}
	unknown := series{name: "record of a full day, one shard, 600 workspaces", xUnit: "unknown calls per workspace", yUnit: "B"}
	for _, n := range []int{0, 10, 100} {
		unknown.add(float64(n), encodedSize(t, fullRecord(fleetWorkspaces, sourcesPerDomain, n)))
	}
	for _, s := range []series{delivery, record, merge, sources, unknown} {
		s.report(t)
	}
}

func deliveryOf(n int) tally.Delivery {
	counts := tally.New()
	for i := range n {
		counts.Add(tally.Call{Workspace: workspaceName(i), TimeZone: time.UTC, Ended: noon(), TTFB: 1234567 * time.Nanosecond})
	}
	return tally.Delivery{Router: routerName(1) + "/t7k2m1", Sequence: 12345, Sent: noon(), Days: counts.Take().Items()}
}

func noon() time.Time { return time.Date(2026, 12, 4, 12, 0, 0, 123456789, time.UTC) }

// fullRecord returns one shard's record as it is at the end of a day.
func fullRecord(workspaces, sources, unknown int) *tally.Record {
	const shard = 1
	r := tally.NewRecord(recordDate, shard)
	for i := range workspaces {
		if name := workspaceName(i); tally.ShardOf(name) == shard {
			r.Workspaces[name] = fullDay(unknown)
		}
	}
	for i := range sources {
		r.Sources[fmt.Sprintf("%s/t7k%03x", routerName(i), i)] = tally.Source{Sequence: 17_280, Last: noon()}
	}
	return r
}

func fullDay(unknown int) *tally.Day {
	d := &tally.Day{Hours: map[int]*tally.Hour{}, Refusals: map[outcome.Reason]int{outcome.ReasonOverloaded: 1234, outcome.ReasonCancelled: 99}}
	for h := range tally.HoursPerDay {
		d.Hours[h] = &tally.Hour{
			Asked: hourCalls, Arrived: hourCalls, Late: 1234, Booked: 1234, NotRun: 99, Interrupted: 99, LongestWait: 1_234_567_890,
		}
	}
	for range unknown {
		d.UnknownCalls = append(d.UnknownCalls, tally.UnknownCall{
			Key: strings.Repeat("k", 36), Service: "bookings", Method: "book", Time: noon(), Reason: outcome.ReasonConnectionLost,
		})
	}
	return d
}

func encodedSize(t *testing.T, v any) float64 {
	t.Helper()
	data, err := json.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return float64(len(data))
}

// mergeTime returns the milliseconds that an aggregator needs to decode a record,
// apply one delivery and encode it again.
func mergeTime(t *testing.T, r *tally.Record) float64 {
	t.Helper()
	data, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	return timePerCall(func() {
		stored := tally.NewRecord(r.Date, r.Shard)
		_ = json.Unmarshal(data, stored)
		stored.Apply(tally.Delivery{Router: "new", Sequence: 1, Sent: noon()})
		_, _ = json.Marshal(stored)
	}) / float64(time.Millisecond)
}
