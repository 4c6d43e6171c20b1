package trace

import (
	"fmt"

	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/policy/placement"
)

// overridesPerEngine bounds the overrides that an owner keeps for a target. The
// names of policies, which identify benchmark results, call them exceptions.
const overridesPerEngine = 64

var policies = []policy{
	{name: "random", choose: random},
	{name: "two-choices", choose: twoChoices},
	{name: "hrw", choose: rendezvous},
	{name: "hrw+permits", choose: withPermits, permits: true},
	{name: "hrw+threshold", choose: withThreshold},
	{name: "permits+exceptions", choose: withOverrides, permits: true},
	{name: "permits+threshold+exceptions", choose: withAll, permits: true},
	{name: "cache-events", choose: byCacheEvents},
}

func random(f *fleet, _ Request) (int, bool) {
	for {
		if i := f.random.IntN(len(f.engines)); f.engines[i].up {
			return i, true
		}
	}
}

func twoChoices(f *fleet, r Request) (int, bool) {
	a, _ := random(f, r)
	b, _ := random(f, r)
	if f.engines[b].reported < f.engines[a].reported {
		a = b
	}
	// Each router receives each engine's load once per loadLag.
	f.bytes += loadBytes * f.routers * len(f.engines) * int(loadLag/samplePeriod) / f.requestsPerSample()
	return a, true
}

// requestsPerSample returns the approximate number of requests between two
// samples.
func (f *fleet) requestsPerSample() int {
	return max(1, len(f.trace.Requests)/max(1, int(f.trace.Requests[len(f.trace.Requests)-1].At/samplePeriod)))
}

func rendezvous(f *fleet, r Request) (int, bool) {
	t, ok := f.set.Best(r.Chat)
	return f.index[t.Name], ok
}

// acquire asks an engine's owner for a permit.
func (f *fleet) acquire(i int, r Request) bool {
	f.bytes += acquireBytes
	p := permits.Permit{Holder: "holder", ID: fmt.Sprint(r.Chat, r.At), Weight: r.Weight}
	l := f.ledgers[f.owners[i]]
	if l.Acquire(epoch.Add(f.now), fmt.Sprint("engine-", i), p) != permits.Granted {
		return false
	}
	f.bytes += releaseBytes
	return true
}

func withPermits(f *fleet, r Request) (int, bool) {
	o := f.set.Order(r.Chat)
	return f.firstGranted(&o, r, func(int) bool { return true })
}

// firstGranted returns the first engine in the order that passes the filter and
// grants a permit.
func (f *fleet) firstGranted(o *placement.Order, r Request, pass func(int) bool) (int, bool) {
	for tries := 0; tries < maxTries; {
		t, ok := o.Next()
		if !ok {
			break
		}
		i := f.index[t.Name]
		if !pass(i) {
			continue
		}
		tries++
		if f.acquire(i, r) {
			return i, true
		}
	}
	return 0, false
}

// accepts compares the chat's hash to the engine's published acceptance
// probability.
func (f *fleet) accepts(i int, r Request) bool {
	h := placement.Key(fmt.Sprint(r.Chat, i))
	return float64(h>>11)/(1<<53) < f.engines[i].acceptProbability
}

func withThreshold(f *fleet, r Request) (int, bool) {
	f.bytes += loadBytes * f.routers * len(f.engines) / f.requestsPerSample()
	o := f.set.Order(r.Chat)
	first := -1
	for t, ok := o.Next(); ok; t, ok = o.Next() {
		i := f.index[t.Name]
		if first < 0 {
			first = i
		}
		if f.accepts(i, r) {
			return i, true
		}
	}
	return first, first >= 0
}

func withOverrides(f *fleet, r Request) (int, bool) {
	return f.placeWithOverrides(r, withPermits)
}

func withAll(f *fleet, r Request) (int, bool) {
	f.bytes += loadBytes * f.routers * len(f.engines) / f.requestsPerSample()
	return f.placeWithOverrides(r, func(f *fleet, r Request) (int, bool) {
		o := f.set.Order(r.Chat)
		return f.firstGranted(&o, r, func(i int) bool { return f.accepts(i, r) })
	})
}

// placeWithOverrides tries the engine to which a chat has moved, as recorded by
// the owner of its home engine, and records the chats that move.
func (f *fleet) placeWithOverrides(r Request, choose func(*fleet, Request) (int, bool)) (int, bool) {
	home, ok := rendezvous(f, r)
	if !ok {
		return 0, false
	}
	overrides := f.engines[home].overrides
	if name, known := overrides.Get(r.Chat); known {
		f.bytes += acquireBytes
		if to := f.index[name]; f.engines[to].up && f.acquire(to, r) {
			return to, true
		}
		overrides.Delete(r.Chat)
	}
	i, ok := choose(f, r)
	if ok && i != home {
		overrides.Put(r.Chat, fmt.Sprint("engine-", i))
		f.bytes += eventBytes
	}
	return i, ok
}

// byCacheEvents follows the engines' cache events, which every router receives.
func byCacheEvents(f *fleet, r Request) (int, bool) {
	f.bytes += eventBytes * f.routers
	i, known := f.engineByChat[r.Chat]
	e := &f.engines[i]
	if known && e.up && e.reported <= max(f.factor*f.mean, loadFloor/e.speed) {
		return i, true
	}
	return twoChoices(f, r)
}
