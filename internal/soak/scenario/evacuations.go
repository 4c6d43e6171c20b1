package scenario

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/soak/traffic"
	"hickoryrock/platform/platformtest"
)

// minEvacuation is the shortest evacuation: calls that arrive too late can be seen for a second.
const minEvacuation = traffic.EvacuateTime + time.Second

var (
	// evacuateDomain is the event of a failure domain that is evacuated for a time, unless too few
	// targets were left. It is not in events, so that the schedules of recorded seeds stay.
	evacuateDomain = event{name: "evacuate a failure domain", planned: true, run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		tb.evacuate(rng.IntN(domainCount), targetCount/2, duration)
	}}

	// evacuateDomains is the same for some failure domains or all of them, one after another, so
	// that calls may be refused.
	evacuateDomains = event{name: "evacuate failure domains", planned: true, run: func(tb *testbed, rng *rand.Rand, duration time.Duration) {
		var wg sync.WaitGroup
		for _, n := range rng.Perm(domainCount)[:2+rng.IntN(domainCount-1)] {
			wg.Go(func() { tb.evacuate(n, 0, duration) })
			time.Sleep(time.Duration(rng.Int64N(int64(stepInterval))))
		}
		wg.Wait()
	}}
)

// evacuate evacuates a failure domain for minEvacuation and a further time, unless it is evacuated
// already or fewer than minUsable targets were left.
func (tb *testbed) evacuate(n, minUsable int, duration time.Duration) {
	domain := domainName(n)
	if !tb.beginEvacuation(domain, minUsable) {
		return
	}
	time.Sleep(minEvacuation + duration)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.recorder.EndEvacuation(domain)
	delete(tb.evacuated, domain)
	tb.store.Remove(platformtest.KindEvacuations, domain)
	tb.logLine(domain + " in use again")
}

func (tb *testbed) beginEvacuation(domain string, minUsable int) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.evacuated[domain] || tb.countUsable(domain) < minUsable {
		return false
	}
	tb.evacuated[domain] = true
	tb.store.Set(platformtest.KindEvacuations, domain, "{}")
	tb.recorder.BeginEvacuation(domain)
	tb.logLine(domain + " evacuated")
	return true
}

// rewriteEvacuations brings the entries of a store in line that has come back from an earlier
// state. tb.mu must be held.
func (tb *testbed) rewriteEvacuations() {
	for domain := range tb.evacuated {
		tb.store.Set(platformtest.KindEvacuations, domain, "{}")
	}
	for _, domain := range tb.store.Names(platformtest.KindEvacuations) {
		if !tb.evacuated[domain] {
			tb.store.Remove(platformtest.KindEvacuations, domain)
		}
	}
}

// countUsable returns the number of targets that are neither reserved nor evacuated, nor in a
// further failure domain. tb.mu must be held.
func (tb *testbed) countUsable(except string) int {
	n := 0
	for _, t := range tb.targets {
		if !t.reserved && !tb.evacuated[t.domain] && (except == "" || t.domain != except) {
			n++
		}
	}
	return n
}

// targetDomain returns the failure domain of a target, or "" in runs without evacuations.
func (tb *testbed) targetDomain(id string) string {
	if !tb.options.Evacuations {
		return ""
	}
	number, _ := strconv.Atoi(strings.TrimPrefix(id, "i-")) // IDs are given by addTarget.
	return domainName(number % domainCount)
}

// entry returns the spec of the target's entry in the store.
func (t *target) entry() string {
	if t.IsScarce() {
		return platformtest.ScarceTarget(t.domain, t.Proxy.Address(), t.state, t.incarnation, traffic.Slots, t.ColdLeftMS())
	}
	if t.domain == "" {
		return platformtest.Target(t.Proxy.Address(), t.state, t.incarnation)
	}
	return platformtest.TargetIn(t.domain, t.Proxy.Address(), t.state, t.incarnation)
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n) }
