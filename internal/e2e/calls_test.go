package e2e

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/caller/stream"
	"hickoryrock/internal/standin/engine"
	"hickoryrock/internal/standin/order"
)

const (
	prompt = "length=60 how do I reproof an oilskin?"
	// recordTimeout is the default of platform.timeout in a router's settings: the time for one write.
	recordTimeout = 2 * time.Second
)

// streamedResponse is what a caller has received of a streamed response.
type streamedResponse struct {
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

func (f *fleet) startChat(router string) *streamedResponse {
	s := &streamedResponse{fleet: f}
	s.openStream("POST", "http://"+router+"/v1/chat/completions", chatBody(prompt, true))
	s.Assert(s.refused, qt.IsFalse)
	s.token = s.resp.Header.Get(stream.HeaderStream)
	return s
}

func (s *streamedResponse) resume(router string) {
	s.openStream("GET", "http://"+router+"/v1/streams/"+s.token, "")
}

func (s *streamedResponse) openStream(method, url, body string) {
	resp, err := s.send(method, url, body, map[string]string{sse.HeaderLastEventID: strconv.Itoa(s.lastEventID)})
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = resp.Body.Close() })
	reader, release := sse.NewReader(resp.Body)
	s.Cleanup(release)
	s.resp, s.reader, s.refused = resp, reader, resp.StatusCode != http.StatusOK
}

// readUntil reads events up to the one with the given ID, the end of the stream, or a broken
// connection. It checks after each event that the text is a prefix of the expected one.
func (s *streamedResponse) readUntil(eventID int) {
	s.Helper()
	want := strings.Join(engine.Answer("care", []engine.Message{{Role: "user", Content: prompt}}), "")
	for s.lastEventID < eventID && !s.refused {
		e, err := s.reader.Next()
		if err != nil {
			return
		}
		if e.Kind == sse.Done {
			s.complete = true
			s.Assert(s.text, qt.Equals, want)
			return
		}
		if e.ID == 0 {
			continue
		}
		s.Assert(e.ID, qt.Equals, s.lastEventID+1)
		var chunk struct {
			Choices []struct{ Delta engine.Message }
		}
		s.Assert(json.Unmarshal(e.Data, &chunk), qt.IsNil)
		s.text += chunk.Choices[0].Delta.Content
		s.lastEventID = e.ID
		s.Assert(strings.HasPrefix(want, s.text), qt.IsTrue)
	}
}

// engineRuns returns the number of times that engines ran the request, and the address of the
// last engine that did.
func (s *streamedResponse) engineRuns() (n int, address string) {
	id, failure := stream.ParseID(s.token)
	s.Assert(failure == nil, qt.IsTrue)
	for _, e := range s.engines {
		var list []engine.RunRecord
		s.getJSON(e, "/runs", &list)
		for _, r := range list {
			if r.ID == id.EngineRequestID("w1") {
				n, address = n+1, e
			}
		}
	}
	return n, address
}

// TestStreamResumesAfterRouterCrash kills the router that serves a stream. The stream must
// resume at another router and complete without a second run on an engine.
func TestStreamResumesAfterRouterCrash(t *testing.T) {
	f := newFleet(t)
	s := f.startChat(f.routers[0])
	s.readUntil(10)
	f.Assert(f.processes["router-1"].Process.Kill(), qt.IsNil)
	s.readUntil(1000)
	f.Assert(s.complete, qt.IsFalse)
	f.Assert(s.lastEventID < 60, qt.IsTrue)

	s.resume(f.routers[1])
	s.readUntil(1000)
	f.Assert(s.complete, qt.IsTrue)
	runs, _ := s.engineRuns()
	f.Assert(runs, qt.Equals, 1)
}

// TestTerminatedRouterCompletesStreams sends SIGTERM to a router with a stream in progress,
// which must complete.
func TestTerminatedRouterCompletesStreams(t *testing.T) {
	f := newFleet(t)
	s := f.startChat(f.routers[0])
	s.readUntil(5)
	f.Assert(f.processes["router-1"].Process.Signal(syscall.SIGTERM), qt.IsNil)
	s.readUntil(1000)
	f.Assert(s.complete, qt.IsTrue)
}

// TestEngineCrashEndsStream kills the engine that generates a stream. The stream must end
// without the event that marks it as complete, and resuming it must be refused.
func TestEngineCrashEndsStream(t *testing.T) {
	f := newFleet(t)
	s := f.startChat(f.routers[0])
	s.readUntil(10)
	_, address := s.engineRuns()
	for i, e := range f.engines {
		if e == address {
			f.Assert(f.processes["engine-"+strconv.Itoa(i+1)].Process.Kill(), qt.IsNil)
		}
	}
	s.readUntil(1000)
	f.Assert(s.complete, qt.IsFalse)
	s.resume(f.routers[1])
	f.Assert(s.refused, qt.IsTrue)
}

// callMethod calls a method of the bookings service and returns the outcome, or an empty status
// if the request failed.
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

// TestBookingRunsAtMostOnce injects a fault into the order server and repeats the call with the
// same key at another router. The outcome must match what the order server ran, and the call
// must never run twice.
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
				// The outcome is recorded in the background. Until then it is unknown for a repeated key.
				for end := time.Now().Add(recordTimeout); again != c.want && again == outcome.Unknown && time.Now().Before(end); {
					again = f.callMethod(f.routers[1], "book", key, `{"coats":12}`)
				}
				qt.Assert(t, again, qt.Equals, c.want)
			}
			qt.Assert(t, f.runCount(key) <= 1, qt.IsTrue)
		})
	}
}
