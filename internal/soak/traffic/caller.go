package traffic

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
)

const (
	// connectTimeout bounds dialing and short requests; deadlineMS is the deadline,
	// in milliseconds, that callers send with a call.
	connectTimeout = time.Second
	deadlineMS     = 4000
	// responseMargin is how long after the deadline a caller waits for the complete response
	// to a call.
	responseMargin = 500 * time.Millisecond
	// refusalTime is the time in which a stopping router should refuse a call.
	refusalTime = 500 * time.Millisecond
	// maxThinkTime is the longest pause of a caller between two calls.
	maxThinkTime = 60 * time.Millisecond
	// disconnectRate is the share of streams that callers abandon by disconnecting.
	disconnectRate = 0.05
	// connectionReuseRate is the share of calls that reuse an open connection.
	connectionReuseRate = 0.8
	maxHeaderBytes      = 64 << 10
	// maxRetryWait bounds how long callers wait after a refusal.
	maxRetryWait = time.Second
)

// IgnoredOutcome begins the outcomes of attempts that are not the outcomes of calls.
const IgnoredOutcome = "attempt: "

var errLeft = errors.New("the caller disconnected")

type (
	// Fleet gives callers access to the routers.
	Fleet interface {
		// LookupURLs returns URLs at which callers look up router addresses, in random order.
		LookupURLs() []string
		// ProxyAddress returns the address of the fault proxy in front of a router's
		// address.
		ProxyAddress(address string) string
		// Stopping reports whether a planned stop of the router at an address
		// started so recently that calls sent before it may still be in flight.
		Stopping(address string) bool
		// PlannedStop returns the first planned stop of the router at an address whose process
		// had not exited at a time; false if none has started.
		PlannedStop(address string, at time.Time) (oracle.Stop, bool)
	}

	// Caller is a client that makes one call at a time.
	Caller struct {
		name      string
		fleet     Fleet
		recorder  *oracle.Recorder
		behavior  Behavior
		callCount int

		addresses       []string
		addressesExpire time.Time
		// failed are the addresses that have failed the current call.
		failed []string
		conn   *callerConn
	}

	callerConn struct {
		net.Conn
		reader  *bufio.Reader
		address string
		opened  time.Time
	}

	// attempt is one sending of a call.
	attempt struct {
		id, path string
		plan     plan
		// began and sent are when the first and the last byte of the call were sent.
		began, sent time.Time
		// repeatable is set when the caller may send the call again after this attempt.
		repeatable bool
	}
)

// NewCaller returns a caller. Its name must be unique, because call ids are
// derived from it.
func NewCaller(name string, fleet Fleet, recorder *oracle.Recorder, behavior Behavior) *Caller {
	return &Caller{name: name, fleet: fleet, recorder: recorder, behavior: behavior}
}

// Run makes calls until ctx is done.
func (c *Caller) Run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.call()
		c.behavior.pause(c.conn != nil)
	}
}

// call makes a call; real callers send it again, with a new ID, while it is refused, and look
// up addresses again when it is refused in the end.
func (c *Caller) call() {
	path, retries := c.behavior.drawPath(), 0
	c.failed = nil
	if c.behavior.real {
		retries = retryLimit
	}
	for n := range retries + 1 {
		c.callCount++
		a := &attempt{id: fmt.Sprintf("%s-%d", c.name, c.callCount), path: path, plan: planOf(path), repeatable: n < retries}
		wait, again := c.try(a)
		if !again {
			return
		}
		time.Sleep(wait)
	}
}

// try sends a call once. It reports whether, and after which time, the call is sent again.
func (c *Caller) try(a *attempt) (wait time.Duration, again bool) {
	if !c.connect() {
		return rand.N(maxThinkTime), c.recordOutcome(a, "no connection")
	}
	c.recorder.RecordSent()
	a.began = time.Now()
	_ = c.conn.SetDeadline(a.began.Add(a.plan.responseTimeout()))
	err := c.send(a.id, a.path, a.plan.deadlineMS())
	if err != nil && !errors.Is(err, errAnsweredEarly) {
		c.closeConn()
		return 0, c.recordOutcome(a, "not sent")
	}
	a.sent = time.Now()
	_ = c.conn.SetDeadline(a.sent.Add(a.plan.responseTimeout()))
	head, body, readErr := c.readResponse(a.id, a.path)
	if errors.Is(readErr, errLeft) {
		c.closeConn()
		c.recorder.RecordOutcome("left")
		return 0, false
	}
	if readErr != nil {
		return 0, c.recordInterrupted(a, readErr)
	}
	wait, again = c.checkResponse(a, head, body)
	if head.Close || err != nil || again {
		c.closeConn()
	}
	return wait, again
}

// checkResponse checks the invariants of a complete response. It reports whether, and after
// which time, the call is sent again.
func (c *Caller) checkResponse(a *attempt, head *http1.Response, body string) (wait time.Duration, again bool) {
	verdict := platform.DecodeResponseHeaders(head.Status, head.Fields)
	if verdict.CallID != "" && verdict.CallID != a.id {
		c.recorder.RecordViolation(oracle.WrongResponse, "call %s got the response to call %s", a.id, verdict.CallID)
	}
	isRefusal := outcome.PromisesNotRun(head.Status)
	if isRefusal && isAtMostOnce(a.path) {
		c.recorder.RecordRefusal(a.id, strconv.Itoa(head.Status)) // Whoever has written it.
	}
	switch {
	case head.Status == http.StatusOK:
		if !verdict.Sealed || body != a.plan.body(a.id, a.path) {
			c.recorder.RecordViolation(oracle.WrongResponse, "call %s on %s got %q", a.id, a.path, body)
		}
	case isRefusal && !verdict.Sealed:
		if taken := time.Since(a.sent); c.behavior.real && taken > refusalTime && c.stopping() {
			c.recorder.RecordOutcome(IgnoredOutcome + "slow refusal by a stopping router")
		}
		return retryAfter(head), c.recordOutcome(a, strconv.Itoa(head.Status))
	case head.Status == http.StatusNotFound, head.Status == http.StatusUnauthorized, head.Status == http.StatusForbidden:
		c.recorder.RecordViolation(oracle.ConfigurationReverted, "call %s on %s got %d", a.id, a.path, head.Status)
	}
	c.recorder.RecordOutcome(strconv.Itoa(head.Status))
	return 0, false
}

// recordOutcome records how an attempt ended and reports whether the call is sent again, in
// which case the outcome does not count as the call's.
func (c *Caller) recordOutcome(a *attempt, end string) bool {
	if a.repeatable {
		end = IgnoredOutcome + end
	} else if c.behavior.real {
		c.addressesExpire = time.Time{}
	}
	c.recorder.RecordOutcome(end)
	return a.repeatable
}

// recordInterrupted records a call without a complete response. It is a violation when the
// call has run and was interrupted by a planned stop of the router, unless its time limit was
// reached; a long call may be, for the reasons of oracle.Excuse. It reports whether the call is sent again.
func (c *Caller) recordInterrupted(a *attempt, err error) bool {
	now, conn := time.Now(), c.conn
	c.closeConn()
	ran, settled := c.recorder.RunCount(a.id) > 0, c.recorder.SettledFor(now.Sub(a.began))
	detail := fmt.Sprintf("call %s on %s at %s, %v after it was sent", a.id, a.path, conn.address, now.Sub(a.sent))
	stop, stopped := c.fleet.PlannedStop(conn.address, conn.opened)
	excuse := c.recorder.Excuse(oracle.Cut{Call: a.id, Sent: a.sent, At: now, Limit: a.plan.limit(), Stop: stop})
	switch {
	case !settled:
	case a.plan.long && stopped && excuse == oracle.Unexcused:
		c.recorder.RecordViolation(oracle.InterruptedByStop, "%s, which was %v after SIGTERM: %v", detail, a.sent.Sub(stop.Start), err)
	case !a.plan.long && ran && c.fleet.Stopping(conn.address) && excuse != oracle.AfterTimeLimit:
		c.recorder.RecordViolation(oracle.InterruptedByStop, "%s: %v", detail, err)
	case stopped && excuse == oracle.NotRun && now.Sub(a.sent) > refusalTime:
		c.recorder.RecordOutcome(IgnoredOutcome + "cut by a stop, not run, but not at once")
	case stopped:
		c.recorder.RecordOutcome(fmt.Sprintf("%scut by a stop, excused: %s", IgnoredOutcome, excuse))
	case excuse == oracle.Unexcused && c.recorder.CheckInterrupted(a.id):
	case ran && excuse != oracle.TargetBrokeOff:
		c.recorder.RecordOutcome(IgnoredOutcome + "cut without a fault or a stop")
	}
	if ran && isAtMostOnce(a.path) {
		a.repeatable = false
	}
	c.recordFailure(conn.address)
	return c.recordOutcome(a, "cut")
}

// stopping reports whether the caller's router is in a planned stop without other faults.
func (c *Caller) stopping() bool {
	return c.fleet.Stopping(c.conn.address) && c.recorder.SettledFor(refusalTime)
}

func (c *Caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
