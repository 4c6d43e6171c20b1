package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/soak/oracle"
	"hickoryrock/platform/platformtest"
)

const (
	// Slots is the number of calls that a scarce target works on at a time, and queueLimit the number
	// that wait for a slot, as on the users' platform.
	Slots      = 32
	queueLimit = 24
	// ColdPerSecond is the number of calls a second that a cold target can take. The bound that follows
	// is below what a target gets from the usual callers in a second.
	ColdPerSecond = 4
	// ColdTime is how long a target is cold after its start.
	ColdTime = 3 * time.Second
	// LearnTime is the time after which routers must know the latest entry of a target: drain_ms in
	// their settings, which bounds it for the state in the same entry.
	LearnTime = 2 * time.Second
	// EntryInterval is the interval at which the entry of a target is renewed.
	EntryInterval = 1200 * time.Millisecond
	// CallTime is the time in which a call has ended that is not long.
	CallTime = deadlineMS*time.Millisecond + responseMargin
	// crowdPath ends the paths of a crowd's calls, on which targets work for crowdWorkTime.
	crowdPath     = "crowd"
	crowdWorkTime = time.Second
	// normalPace is the fourth figure of the load of a target on which work takes the usual time.
	normalPace = 100
	coldBound  = ColdPerSecond*platformtest.ColdOvershoot + platformtest.ColdSlack
)

const (
	admitted admission = iota
	queueFull
	crashed
)

type (
	// admission is what happens to a call that has reached a target.
	admission int

	// scarce is the state of a target with slots, which may be slow or cold.
	scarce struct {
		slots chan struct{}
		ended chan struct{}

		mu               sync.Mutex
		running, waiting int
		// pace is how long work takes, in percent.
		pace int
		// cold is the latest cold period, or nil.
		cold *oracle.ColdPeriod
		// networkFaults counts the network faults between routers and the target.
		networkFaults int
	}
)

// MakeScarce lets the target have Slots, and state them and its load in its answers. It is called
// before the target is listed.
func (t *Target) MakeScarce() {
	t.scarce = &scarce{slots: make(chan struct{}, Slots), ended: make(chan struct{}), pace: normalPace}
}

// IsScarce reports whether the target states slots and load.
func (t *Target) IsScarce() bool { return t.scarce != nil }

// StartCold makes a target cold that is not listed yet.
func (t *Target) StartCold(coldTime time.Duration) {
	if coldTime > 0 {
		t.scarce.cold = t.recorder.BeginColdStart(t.ID, coldBound, coldTime)
	}
}

// TurnCold makes a listed target cold, whose entry must be renewed at once. It reports false if the
// target is cold already.
func (t *Target) TurnCold(coldTime time.Duration) bool {
	s := t.scarce
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold != nil && s.cold.Left() > 0 || s.networkFaults > 0 {
		return false
	}
	s.cold = t.recorder.BeginCold(t.ID, coldBound, coldTime, LearnTime)
	return true
}

// ColdLeftMS returns how long the target stays cold, in milliseconds, rounded up.
func (t *Target) ColdLeftMS() int {
	t.scarce.mu.Lock()
	defer t.scarce.mu.Unlock()
	if t.scarce.cold == nil {
		return 0
	}
	return int(math.Ceil(t.scarce.cold.Left().Seconds() * 1000))
}

// SetPace sets how long work takes on the target, in percent.
func (t *Target) SetPace(pace int) {
	t.scarce.mu.Lock()
	defer t.scarce.mu.Unlock()
	t.scarce.pace = pace
}

// BeginNetworkFault records the start of a network fault between routers and the target; the returned
// function records its end.
func (t *Target) BeginNetworkFault() func() {
	s := t.scarce
	if s == nil {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.networkFaults++
	endCold := func() {}
	if s.cold != nil {
		endCold = s.cold.BeginNetworkFault()
	}
	return func() {
		endCold()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.networkFaults--
	}
}

// HasEnded reports whether the target has crashed or was stopped.
func (t *Target) HasEnded() bool {
	select {
	case <-t.scarce.ended:
		return true
	default:
		return false
	}
}

// endScarce lets no waiting call run any more.
func (t *Target) endScarce() {
	if t.scarce != nil {
		close(t.scarce.ended)
	}
}

// countCold counts a call that a router has sent to this target.
func (t *Target) countCold(forwarded platformtest.ForwardedCall) {
	if t.scarce == nil || forwarded.ExpectedTarget == "" {
		return
	}
	t.scarce.mu.Lock()
	cold := t.scarce.cold
	t.scarce.mu.Unlock()
	if cold != nil {
		cold.RecordCall(forwarded.Call)
	}
}

// admit waits for a slot, unless too many calls wait already. Admitted calls must be released.
func (t *Target) admit() admission {
	s := t.scarce
	if s == nil {
		return admitted
	}
	s.mu.Lock()
	if s.running >= Slots && s.waiting >= queueLimit {
		s.mu.Unlock()
		return queueFull
	}
	s.waiting++
	s.mu.Unlock()
	result := admitted
	select {
	case s.slots <- struct{}{}:
		if t.HasEnded() { // Work that ends in a crash frees its slot at the same time.
			<-s.slots
			result = crashed
		}
	case <-s.ended:
		result = crashed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if result == admitted {
		s.running++
	}
	return result
}

// release ends an admitted call.
func (t *Target) release() {
	s := t.scarce
	if s == nil {
		return
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}

// stateLines returns the header lines with the target's load and how long it stays cold.
func (t *Target) stateLines() string {
	s := t.scarce
	if s == nil {
		return ""
	}
	left := t.ColdLeftMS()
	s.mu.Lock()
	defer s.mu.Unlock()
	return platformtest.LoadLine(fmt.Sprintf("%d,%d,%d,%d", s.running, s.waiting, Slots, s.pace)) + platformtest.ColdLine(left)
}

// lengthen returns how long work takes at the target's pace.
func (t *Target) lengthen(d time.Duration) time.Duration {
	s := t.scarce
	if s == nil {
		return d
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return d * time.Duration(s.pace) / normalPace
}

// workTime returns how long a target works on a call before it answers.
func workTime(path string) time.Duration {
	if strings.HasSuffix(path, "/"+crowdPath) {
		return crowdWorkTime
	}
	return rand.N(maxWorkTime)
}
