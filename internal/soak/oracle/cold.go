package oracle

import (
	"sync"
	"time"
)

const (
	// coldWindow is the time in which the calls to a cold target are bounded.
	coldWindow = time.Second
	// coldMargin is added to the time in which routers must have learned that a target is cold,
	// for late timers in busy processes.
	coldMargin = 300 * time.Millisecond
)

// ColdPeriod checks the bound on the calls to one target while it is cold.
type ColdPeriod struct {
	recorder *Recorder
	target   string
	bound    float64
	// since is when the target has turned cold; the bound applies from learned on.
	since, learned, until time.Time
	// needsNews is set if routers have known the target before it turned cold, so that the bound
	// rests on what they are told.
	needsNews bool

	mu sync.Mutex
	// calls are the arrivals of the last window; networkFaults counts the network faults between
	// routers and the target, the last of which ended at networkFaultEnd.
	calls           []time.Time
	networkFaults   int
	networkFaultEnd time.Time
}

// BeginColdStart returns the check of a target that is about to be listed and stays cold for a time.
// Routers learn its address together with its state, so that the bound applies from the start,
// whichever faults there are.
func (r *Recorder) BeginColdStart(target string, bound float64, coldTime time.Duration) *ColdPeriod {
	now := time.Now()
	return &ColdPeriod{recorder: r, target: target, bound: bound, since: now, learned: now, until: now.Add(coldTime)}
}

// BeginCold returns the check of a listed target that has turned cold for a time. The bound applies
// when routers must have learned of it, if the fleet has had no faults since then.
func (r *Recorder) BeginCold(target string, bound float64, coldTime, learnTime time.Duration) *ColdPeriod {
	p := r.BeginColdStart(target, bound, coldTime)
	p.learned, p.needsNews = p.since.Add(learnTime+coldMargin), true
	return p
}

// Left returns how long the target stays cold; zero if it is not cold any more.
func (p *ColdPeriod) Left() time.Duration { return max(time.Until(p.until), 0) }

// BeginNetworkFault records the start of a network fault between routers and the target; the returned
// function records its end. Calls that it delays arrive together.
func (p *ColdPeriod) BeginNetworkFault() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.networkFaults++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.networkFaults--
		p.networkFaultEnd = time.Now()
	})
}

// RecordCall records that a call has reached the target, and a violation if there were more than the
// bound in the last second.
func (p *ColdPeriod) RecordCall(call string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	isDelayed := p.networkFaults > 0 || now.Sub(p.networkFaultEnd) < coldWindow
	if now.Before(p.learned) || !now.Before(p.until) || isDelayed {
		return
	}
	p.calls = append(notBefore(p.calls, now.Add(-coldWindow)), now)
	if float64(len(p.calls)) <= p.bound || (p.needsNews && !p.recorder.SettledFor(now.Sub(p.since))) {
		return
	}
	p.recorder.RecordViolation(TooManyToCold, "%d calls to %s within %v, of which %g are allowed, %v after it turned cold; the last is %s",
		len(p.calls), p.target, coldWindow, p.bound, now.Sub(p.since), call)
}
