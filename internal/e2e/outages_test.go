package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/order"
	"hickoryrock/internal/standin/platform"
)

const (
	bookingBody   = `{"coats":12}`
	pauseDuration = 8 * time.Second
	reportTimeout = 12 * time.Second
	// bookingsPerHeldRequest is the number of bookings after which one more request is held open.
	bookingsPerHeldRequest = 20
)

// bookFirstAttempt makes the first attempt of a booking. It returns the outcome, which is empty
// if the request failed, and the problem details if the booking was refused.
func (f *fleet) bookFirstAttempt(router, key string) (outcome.Status, callerapi.Problem) {
	resp, err := f.send("POST", "http://"+router+"/v1/services/bookings/methods/book", bookingBody,
		map[string]string{order.HeaderIdempotencyKey: key, "Idempotency-Attempt": "1"})
	if err != nil {
		return "", callerapi.Problem{}
	}
	defer func() { _ = resp.Body.Close() }()
	var p callerapi.Problem
	if resp.StatusCode == http.StatusOK {
		return outcome.Done, p
	}
	f.Assert(json.NewDecoder(resp.Body).Decode(&p), qt.IsNil)
	return outcome.Status(p.Outcome), p
}

func (f *fleet) setPlatformFaults(v platform.Faults) {
	data, err := json.Marshal(v)
	f.Assert(err, qt.IsNil)
	f.Assert(f.sendForStatus("PUT", f.platform+"/faults", string(data)), qt.Equals, http.StatusOK)
}

// runsPerBooking returns the number of times that the order server ran each booking, by
// idempotency key.
func (f *fleet) runsPerBooking() map[string]int {
	var runs []order.RunRecord
	f.getJSON(f.order, "/runs", &runs)
	n := map[string]int{}
	for _, r := range runs {
		if r.Method == "book" {
			n[r.Key]++
		}
	}
	return n
}

// reportText returns the report of the workspace as text, or an empty string if it cannot be read.
func (f *fleet) reportText() string {
	out, err := exec.Command(filepath.Join(binDir, "hickoryrock"), "report", "-platform", f.platform, "-workspace", "w1", "-o", "text").Output()
	if err != nil {
		return ""
	}
	return string(out)
}

func (f *fleet) router1() *exec.Cmd { return f.processes["router-1"] }

// TestReportSurvivesRouterCrash kills a router once the report agrees with the order server.
// The report must still have all bookings.
func TestReportSurvivesRouterCrash(t *testing.T) {
	f := newFleet(t)
	const bookingsPerRouter = 3
	for range bookingsPerRouter {
		for _, router := range f.routers {
			f.waitFor("a booking is done", func() bool {
				status, _ := f.bookFirstAttempt(router, newKey(f.C))
				return status == outcome.Done
			})
		}
	}
	booked := fmt.Sprintf("%d bookings were made, each once.", len(f.runsPerBooking()))
	f.Assert(f.runsPerBooking(), qt.HasLen, len(f.routers)*bookingsPerRouter)
	f.waitWithin(reportTimeout, "the report has all bookings", func() bool { return strings.Contains(f.reportText(), booked) })
	f.Assert(f.router1().Process.Kill(), qt.IsNil)
	f.Assert(f.reportText(), qt.Contains, booked)
	f.Assert(f.reportText(), qt.Not(qt.Contains), "cannot say whether")
}

// terminateRouter1 sends SIGTERM to the first router and makes bookings there until it refuses
// new work or has exited. It returns the number of bookings by outcome, and the refusal.
func (f *fleet) terminateRouter1() (map[outcome.Status]int, callerapi.Problem) {
	f.Assert(f.router1().Process.Signal(syscall.SIGTERM), qt.IsNil)
	outcomes := map[outcome.Status]int{}
	var refusal callerapi.Problem
	attempts := 0
	f.waitFor("new work is refused or the router has exited", func() bool {
		status, p := f.bookFirstAttempt(f.routers[0], newKey(f.C))
		if p.Reason == string(outcome.ReasonLeaving) {
			f.Assert(status, qt.Equals, outcome.NotRun)
			refusal = p
			return true
		}
		if attempts++; attempts%bookingsPerHeldRequest == 0 {
			f.holdRequest(f.routers[0])
		}
		if status != "" {
			outcomes[status]++
		}
		return status == ""
	})
	return outcomes, refusal
}

// holdRequest starts a chat and leaves the response unread, so that the router has a request in
// flight.
func (f *fleet) holdRequest(router string) {
	resp, err := f.send("POST", "http://"+router+"/v1/chat/completions", chatBody(prompt, true), nil)
	if err == nil {
		f.Cleanup(func() { _ = resp.Body.Close() })
	}
}

// TestTerminatedRouterRefusesAndDrains terminates a router with a stream in progress. The
// router must refuse new work with the address of another router, complete the stream and exit
// without an error.
func TestTerminatedRouterRefusesAndDrains(t *testing.T) {
	f := newFleet(t)
	s := f.startChat(f.routers[0])
	s.readUntil(3)
	outcomes, refusal := f.terminateRouter1()
	f.Assert(f.routers[1:], qt.Contains, refusal.Address.Or(""), qt.Commentf("%+v after %v", refusal, outcomes))
	f.Assert(outcomes[outcome.Done] > 0, qt.IsTrue)
	f.Assert(f.runsPerBooking(), qt.HasLen, outcomes[outcome.Done])
	s.readUntil(1000)
	f.Assert(s.complete, qt.IsTrue)
	f.Assert(f.router1().Wait(), qt.IsNil)
}

// TestTerminatedRouterServesUntilItRefuses checks that every booking before the refusal is done.
func TestTerminatedRouterServesUntilItRefuses(t *testing.T) {
	outcomes, _ := newFleet(t).terminateRouter1()
	qt.Assert(t, outcomes, qt.HasLen, 1, qt.Commentf("%v", outcomes))
	qt.Assert(t, outcomes[outcome.Done] > 0, qt.IsTrue)
}

// TestAtMostOnceWithPausedRouter pauses one router with SIGSTOP, makes bookings at another one,
// and repeats them at both after SIGCONT. Every booking must run at most once, and those
// answered as done exactly once.
func TestAtMostOnceWithPausedRouter(t *testing.T) {
	f := newFleet(t)
	process := f.router1().Process
	f.Assert(process.Signal(syscall.SIGSTOP), qt.IsNil)
	done, last := map[string]int{}, outcome.Status("")
	var keys []string
	for end := time.Now().Add(pauseDuration); time.Now().Before(end); time.Sleep(pollInterval) {
		key := newKey(f.C)
		keys = append(keys, key)
		if last, _ = f.bookFirstAttempt(f.routers[1], key); last == outcome.Done {
			done[key] = 1
		}
	}
	f.Assert(process.Signal(syscall.SIGCONT), qt.IsNil)
	for i, key := range keys {
		f.callMethod(f.routers[i%2], "book", key, bookingBody)
	}
	f.waitFor("both routers complete bookings", func() bool {
		first, _ := f.bookFirstAttempt(f.routers[0], newKey(f.C))
		second, _ := f.bookFirstAttempt(f.routers[1], newKey(f.C))
		return first == outcome.Done && second == outcome.Done
	})
	ran := f.runsPerBooking()
	for key, n := range ran {
		f.Assert(n, qt.Equals, 1, qt.Commentf("%s", key))
	}
	for key := range done {
		f.Assert(ran[key], qt.Equals, 1)
	}
}

// TestPlatformDown checks that chats and idempotent calls work without the platform, and that
// bookings are refused at once.
func TestPlatformDown(t *testing.T) {
	f := newFleet(t)
	f.setPlatformFaults(platform.Faults{Down: true})
	for _, router := range f.routers {
		s := f.startChat(router)
		s.readUntil(1000)
		f.Assert(s.complete, qt.IsTrue)
		f.Assert(f.callMethod(router, "stock", "", "{}"), qt.Equals, outcome.Done)
		started := time.Now()
		key := newKey(f.C)
		status, p := f.bookFirstAttempt(router, key)
		f.Assert(status, qt.Equals, outcome.NotRun, qt.Commentf("%s", p.Detail.Or("")))
		f.Assert(p.Reason, qt.Equals, string(outcome.ReasonPlatformUnavailable))
		f.Assert(time.Since(started) < 5*time.Second, qt.IsTrue)
		f.Assert(f.runCount(key), qt.Equals, 0)
	}
	f.setPlatformFaults(platform.Faults{})
	for _, router := range f.routers {
		f.waitFor("bookings are done again", func() bool {
			status, _ := f.bookFirstAttempt(router, newKey(f.C))
			return status == outcome.Done
		})
	}
}
