// Package traffic simulates the callers and the targets of a soak test and
// reports their observations to the oracle.
package traffic

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"hickoryrock/internal/soak/faultproxy"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	// Healthy targets respond to every call.
	Healthy Fault = iota
	// ResetAfterRun targets run some calls, but reset the connection instead of responding.
	ResetAfterRun
	// RefuseNotRun targets refuse some calls with a response that proves that they
	// have not run.
	RefuseNotRun
	// ExtraResponse targets send, after some responses, a response to another call.
	ExtraResponse
	// Hang targets run some calls and never respond to them.
	Hang
	// Respond500 targets run some calls and respond with status 500.
	Respond500
	// RefuseAfterRun targets run some calls and respond with a status that promises that they have
	// not run, without proof of it.
	RefuseAfterRun
)

const (
	// faultRate is the share of calls that a target's fault affects.
	faultRate = 0.3
	// eventsPerStream is the number of events in a stream, eventGap the pause between
	// them. One stream in slowStreamOdds uses slowEventGap, so that its caller may
	// disconnect before it ends.
	eventsPerStream = 10
	eventGap        = 20 * time.Millisecond
	slowEventGap    = 200 * time.Millisecond
	slowStreamOdds  = 10
	maxWorkTime     = 20 * time.Millisecond
	// earlyResetRate is the share of calls with long bodies that a target answers early.
	earlyResetRate = 0.8
	// earlyResetDelay is the time between an early response and the reset of its connection.
	earlyResetDelay = 10 * time.Millisecond
	// drainDeadline is the time after which a draining target must get no more calls:
	// 2 s, and a margin of 300 ms for late timers in busy processes.
	drainDeadline = 2*time.Second + 300*time.Millisecond
	// EvacuateTime is the time after which no call may reach the targets of an evacuated failure
	// domain, as in the routers' settings.
	EvacuateTime = 2500 * time.Millisecond
	// disconnectDeadline is the time after which a target must have noticed that a
	// caller has disconnected, with the same margin included.
	disconnectDeadline = 800 * time.Millisecond
)

type (
	// Fault is the way in which a target mishandles some of its calls.
	Fault int

	// Target is one incarnation of a target server behind a fault proxy.
	Target struct {
		ID    string
		Proxy *faultproxy.Proxy

		recorder *oracle.Recorder
		server   *rawserver.Server
		stop     func()

		mu            sync.Mutex
		fault         Fault
		resetsEarly   bool
		drainingSince time.Time
		conns         map[net.Conn]struct{}
		inProgress    map[string]time.Time
		// scarce is nil in runs whose targets state neither slots nor load.
		scarce *scarce
	}
)

// NewTarget starts a target. The returned function crashes it: all connections
// are reset.
func NewTarget(id string, recorder *oracle.Recorder) (*Target, func(), error) {
	t := &Target{ID: id, recorder: recorder, conns: make(map[net.Conn]struct{}), inProgress: make(map[string]time.Time)}
	server, stopServer, err := rawserver.New(t.serve, rawserver.WithUnreadBodies())
	if err != nil {
		return nil, nil, err
	}
	p, stopProxy, err := faultproxy.New(server.Address())
	if err != nil {
		stopServer()
		return nil, nil, err
	}
	t.server, t.Proxy = server, p
	t.stop = sync.OnceFunc(func() {
		t.endScarce()
		stopServer()
		recorder.RecordBreakOff(id)
		stopProxy()
		t.mu.Lock()
		defer t.mu.Unlock()
		for c := range t.conns {
			rawserver.Reset(c)
		}
	})
	return t, t.stop, nil
}

// SetFault changes the fault of the target.
func (t *Target) SetFault(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

// SetResetsEarly lets the target respond to some calls with long bodies before it has read them, without
// stating the length of the response, and reset the connection after a part of it.
func (t *Target) SetResetsEarly(resets bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetsEarly = resets
}

// MarkDraining records that the store has acknowledged that the target is draining.
func (t *Target) MarkDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainingSince = time.Now()
}

// drawFault returns the fault for one call.
func (t *Target) drawFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rand.Float64() < faultRate {
		return t.fault
	}
	return Healthy
}

// drawEarlyReset reports whether a call with a long body is one that the target answers early.
func (t *Target) drawEarlyReset(r rawserver.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resetsEarly && r.Length >= longBodyBytes && rand.Float64() < earlyResetRate
}

func (t *Target) serve(c net.Conn, r rawserver.Request) bool {
	isEarly := t.drawEarlyReset(r)
	if !isEarly {
		if _, err := io.Copy(io.Discard, r.Unread); err != nil {
			return false
		}
	}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	drainingSince := t.drainingSince
	t.mu.Unlock()
	forwarded := platformtest.DecodeForwarded(r)
	if forwarded.ExpectedTarget != "" && forwarded.ExpectedTarget != t.ID {
		return t.write(c, platformtest.Misdirected(r))
	}
	t.checkDrained(forwarded, drainingSince)
	if forwarded.ExpectedTarget != "" {
		t.recorder.CheckEvacuated(forwarded.Call, t.ID, EvacuateTime)
	}
	t.recorder.RecordArrival(forwarded.Call)
	t.countCold(forwarded)
	fault := t.drawFault()
	if fault == RefuseNotRun {
		return t.write(c, platformtest.NotExecutedWith(r, t.stateLines()))
	}
	switch t.admit() {
	case queueFull:
		return t.write(c, platformtest.NotExecutedWith(r, t.stateLines()))
	case crashed:
		return false
	case admitted:
	}
	defer t.release()
	t.recorder.RecordRun(forwarded.Call, maxTargets(r.Target), t.ID)
	defer t.recorder.RecordRunEnd(forwarded.Call, t.ID)
	time.Sleep(t.lengthen(workTime(r.Target)))
	if isEarly {
		t.resetEarly(c, r, forwarded.Call)
		return false
	}
	if keeps, hasFailed := t.failAfterRun(c, r, fault); hasFailed {
		return keeps
	}
	if isStream(r.Target) {
		return t.stream(c, r, forwarded)
	}
	if p := planOf(r.Target); p.long {
		time.Sleep(t.lengthen(p.gap))
	}
	extra := ""
	if fault == ExtraResponse {
		extra = platformtest.ResponseToOtherCall()
	}
	return t.write(c, platformtest.Response(r, "200 OK", t.stateLines(), WholeBody(forwarded.Call))+extra)
}

// resetEarly responds with a part that ends where a whole response could end, and resets the connection
// once the router has received it.
func (t *Target) resetEarly(c net.Conn, r rawserver.Request, call string) {
	if isStream(r.Target) {
		t.write(c, platformtest.UnframedStreamHead(r)+planOf(r.Target).event(call, 1))
	} else {
		part := WholeBody(call)[:len(WholeBody(""))]
		t.write(c, platformtest.Unframed(platformtest.Response(r, "200 OK", t.stateLines(), part)))
	}
	time.Sleep(earlyResetDelay)
	rawserver.Reset(c)
}

// failAfterRun responds as a target with a fault does. It reports whether the connection stays open and
// whether the fault is one that shows after the call has run.
func (t *Target) failAfterRun(c net.Conn, r rawserver.Request, fault Fault) (keeps, hasFailed bool) {
	switch fault {
	case ResetAfterRun:
		rawserver.Reset(c)
		return false, true
	case Hang:
		_, _ = io.Copy(io.Discard, c) // Until the router closes the connection.
		return false, true
	case Respond500:
		return t.write(c, platformtest.Response(r, "500 Failed", t.stateLines(), "failed")), true
	case RefuseAfterRun:
		return t.refuseAfterRun(c, r), true
	}
	return false, false
}

// refuseAfterRun responds with one of the statuses that promise that a call has not run. Some of the
// responses end with their connection.
func (t *Target) refuseAfterRun(c net.Conn, r rawserver.Request) bool {
	status := []string{"408 Late", "429 Busy", "503 Unavailable"}[rand.IntN(3)]
	response := platformtest.Response(r, status, t.stateLines(), "failed")
	if rand.IntN(4) == 0 {
		t.write(c, platformtest.Unframed(response))
		return false
	}
	return t.write(c, response)
}

// checkDrained records a violation if a call reaches the target more than drainDeadline
// after it was marked as draining, and the fleet has had no faults since.
func (t *Target) checkDrained(forwarded platformtest.ForwardedCall, drainingSince time.Time) {
	if drainingSince.IsZero() || forwarded.ExpectedTarget == "" {
		return
	}
	elapsed := time.Since(drainingSince)
	if elapsed > drainDeadline && t.recorder.SettledFor(elapsed) {
		t.recorder.RecordViolation(oracle.CallToDrainingTarget, "call %s reached %s %v after it was marked as draining", forwarded.Call, t.ID, elapsed)
	}
}

// stream writes the events after the last one that the caller has received.
func (t *Target) stream(c net.Conn, r rawserver.Request, forwarded platformtest.ForwardedCall) bool {
	if !t.write(c, platformtest.StreamHeadWith(r, t.stateLines())) {
		return false
	}
	p := planOf(r.Target)
	if !p.long && rand.IntN(slowStreamOdds) == 0 {
		p.gap = slowEventGap
	}
	last, _ := strconv.Atoi(forwarded.LastEventID) // Empty for a new stream, which starts at the first event.
	for n := last + 1; n <= p.events; n++ {
		event := p.event(forwarded.Call, n)
		if !t.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		if elapsed, ok := t.recorder.DisconnectedFor(forwarded.Call); ok && elapsed > disconnectDeadline && t.recorder.SettledFor(elapsed) {
			t.recorder.RecordViolation(oracle.WorkAfterDisconnect, "%s still writes the response to call %s %v after its caller disconnected", t.ID, forwarded.Call, elapsed)
		}
		time.Sleep(t.lengthen(p.gap))
	}
	return t.write(c, "0\r\n\r\n")
}

func (t *Target) write(c net.Conn, data string) bool {
	_, err := io.WriteString(c, data)
	return err == nil
}
