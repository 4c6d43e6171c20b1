package e2e

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/caller/stream"
	"hickoryrock/internal/standin/engine"
	"hickoryrock/internal/standin/order"
)

const prompt = "length=60 how do I reproof an oilskin?"

// streamedAnswer is what a caller has received of a streamed answer.
type streamedAnswer struct {
	*fleet
	resp        *http.Response
	reader      *sse.Reader
	token       string
	text        string
	lastEventID int
	complete    bool
	refused     bool
}

func chatBody(content string, streamed bool) string {
	body, _ := json.Marshal(engine.ChatRequest{
		Model: "care", Stream: streamed, Messages: []engine.Message{{Role: "user", Content: content}},
	})
	return string(body)
}

func (f *fleet) startChat(router string) *streamedAnswer {
	a := &streamedAnswer{fleet: f}
	a.openStream("POST", "http://"+router+"/v1/chat/completions", chatBody(prompt, true))
	a.Assert(a.refused, qt.IsFalse)
	a.token = a.resp.Header.Get(stream.HeaderStream)
	return a
}

func (a *streamedAnswer) resume(router string) {
	a.openStream("GET", "http://"+router+"/v1/streams/"+a.token, "")
}

func (a *streamedAnswer) openStream(method, url, body string) {
	resp, err := a.send(method, url, body, map[string]string{sse.HeaderLastEventID: strconv.Itoa(a.lastEventID)})
	a.Assert(err, qt.IsNil)
	a.Cleanup(func() { _ = resp.Body.Close() })
	reader, release := sse.NewReader(resp.Body)
	a.Cleanup(release)
	a.resp, a.reader, a.refused = resp, reader, resp.StatusCode != http.StatusOK
}

// readUntil reads events up to the one with the given ID, the end of the answer, or a broken connection.
// It checks after each event that the text is a prefix of the expected answer.
func (a *streamedAnswer) readUntil(eventID int) {
	a.Helper()
	want := strings.Join(engine.Answer("care", []engine.Message{{Role: "user", Content: prompt}}), "")
	for a.lastEventID < eventID && !a.refused {
		e, err := a.reader.Next()
		if err != nil {
			return
		}
		if e.Kind == sse.Done {
			a.complete = true
			a.Assert(a.text, qt.Equals, want)
			return
		}
		if e.ID == 0 {
			continue
		}
		a.Assert(e.ID, qt.Equals, a.lastEventID+1)
		var chunk struct {
			Choices []struct{ Delta engine.Message }
		}
		a.Assert(json.Unmarshal(e.Data, &chunk), qt.IsNil)
		a.text += chunk.Choices[0].Delta.Content
		a.lastEventID = e.ID
		a.Assert(strings.HasPrefix(want, a.text), qt.IsTrue)
	}
}

// engineRuns returns the number of times that engines ran the answer, and the address of the last engine that did.
func (a *streamedAnswer) engineRuns() (n int, address string) {
	id, failure := stream.ParseID(a.token)
	a.Assert(failure == nil, qt.IsTrue)
	for _, e := range a.engines {
		var list []engine.RunRecord
		a.getJSON(e, "/runs", &list)
		for _, r := range list {
			if r.ID == id.EngineRequestID("w1") {
				n, address = n+1, e
			}
		}
	}
	return n, address
}

// TestAnswerResumesAfterRouterCrash kills the router that serves a stream. The answer must resume at another
// router and complete without a second run on an engine.
func TestAnswerResumesAfterRouterCrash(t *testing.T) {
	f := newFleet(t)
	a := f.startChat(f.routers[0])
	a.readUntil(10)
	f.Assert(f.processes["router-1"].Process.Kill(), qt.IsNil)
	a.readUntil(1000)
	f.Assert(a.complete, qt.IsFalse)
	f.Assert(a.lastEventID < 60, qt.IsTrue)

	a.resume(f.routers[1])
	a.readUntil(1000)
	f.Assert(a.complete, qt.IsTrue)
	runs, _ := a.engineRuns()
	f.Assert(runs, qt.Equals, 1)
}

// TestLeavingRouterFinishesItsAnswers sends SIGTERM to a router with a stream in progress, which must complete.
func TestLeavingRouterFinishesItsAnswers(t *testing.T) {
	f := newFleet(t)
	a := f.startChat(f.routers[0])
	a.readUntil(5)
	f.Assert(f.processes["router-1"].Process.Signal(syscall.SIGTERM), qt.IsNil)
	a.readUntil(1000)
	f.Assert(a.complete, qt.IsTrue)
}

// TestEngineCrashEndsAnswer kills the engine that generates an answer. The stream must end without the mark of a
// complete answer, and resuming it must be refused.
func TestEngineCrashEndsAnswer(t *testing.T) {
	f := newFleet(t)
	a := f.startChat(f.routers[0])
	a.readUntil(10)
	_, address := a.engineRuns()
	for i, e := range f.engines {
		if e == address {
			f.Assert(f.processes["engine-"+strconv.Itoa(i+1)].Process.Kill(), qt.IsNil)
		}
	}
	a.readUntil(1000)
	f.Assert(a.complete, qt.IsFalse)
	a.resume(f.routers[1])
	f.Assert(a.refused, qt.IsTrue)
}

// callMethod calls a method of the bookings service and returns the outcome, or an empty status if the request failed.
func (f *fleet) callMethod(router, method, key, body string) outcome.Status {
	resp, err := f.send("POST", "http://"+router+"/v1/services/bookings/methods/"+method, body,
		map[string]string{order.HeaderIdempotencyKey: key})
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var result struct{ Outcome outcome.Status }
	f.Assert(json.NewDecoder(resp.Body).Decode(&result), qt.IsNil)
	return result.Outcome
}

func (f *fleet) setOrderFaults(v order.Faults) {
	data, err := json.Marshal(v)
	f.Assert(err, qt.IsNil)
	f.Assert(f.sendForStatus("POST", "http://"+f.order+"/faults", string(data)), qt.Equals, http.StatusOK)
}

func (f *fleet) runCount(key string) int {
	var runs []order.RunRecord
	f.getJSON(f.order, "/runs", &runs)
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

func newKey(c *qt.C) string {
	key, err := uuid.NewV7()
	c.Assert(err, qt.IsNil)
	return key.String()
}

// TestBookingRunsAtMostOnce injects a fault into the order server and repeats the call with the same key at another
// router. The outcome must match what the order server ran, and the call must never run twice.
func TestBookingRunsAtMostOnce(t *testing.T) {
	f := newFleet(t)
	for name, c := range map[string]struct {
		faults order.Faults
		want   outcome.Status
		runs   int
	}{
		"done":                            {order.Faults{}, outcome.Done, 1},
		"connection closed after the run": {order.Faults{RunThenBreak: true, Times: 1}, outcome.Unknown, 1},
		"no response after the run":       {order.Faults{SilenceAfter: true, Times: 1}, outcome.Unknown, 1},
		"open connections silent":         {order.Faults{SilenceOpen: true}, outcome.Done, 1},
		"refused":                         {order.Faults{Refuse: true, Times: 1}, outcome.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			key := newKey(f.C)
			qt.Assert(t, f.callMethod(f.routers[0], "stock", "", "{}"), qt.Equals, outcome.Done)
			f.setOrderFaults(c.faults)
			qt.Assert(t, f.callMethod(f.routers[0], "book", key, `{"coats":12}`), qt.Equals, c.want)
			qt.Assert(t, f.runCount(key), qt.Equals, c.runs)
			f.setOrderFaults(order.Faults{})
			again := f.callMethod(f.routers[1], "book", key, `{"coats":12}`)
			if c.runs > 0 {
				qt.Assert(t, again, qt.Equals, c.want)
			}
			qt.Assert(t, f.runCount(key) <= 1, qt.IsTrue)
		})
	}
}
