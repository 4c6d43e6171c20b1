package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/sse"
)

const (
	failedText = "upstream failed"
	doneEvent  = "data: [DONE]\n\n"
)

// piece returns an event of a chat response.
func piece(id int, finish string) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d\"},\"finish_reason\":%s}]}\n\n", id, id, finish)
}

// hijacked writes raw bytes in place of a response and closes the connection.
func hijacked(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(raw))
		_ = c.Close()
	}
}

func withStatus(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// begun begins a stream with two events.
func begun(w http.ResponseWriter, r *http.Request) {
	withStatus(200, sse.ContentType, piece(1, "null")+piece(2, "null"))(w, r)
}

// assertCutAfter checks that a stream that was broken off after two events is not complete and
// has no other ones if each resumption runs next.
func assertCutAfter(t *testing.T, next http.HandlerFunc) {
	t.Helper()
	pieces, complete := readPieces(t, begun, next)
	qt.Assert(t, complete, qt.IsFalse)
	qt.Assert(t, pieces, qt.HasLen, 2, qt.Commentf("%q", pieces))
	qt.Assert(t, strings.Contains(strings.Join(pieces, ""), failedText), qt.IsFalse)
}

// readPieces reads a stream whose engine runs first for the chat and next for each
// resumption, and returns the data of its events.
func readPieces(t *testing.T, first, next http.HandlerFunc) (pieces []string, complete bool) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			first(w, r)
		case http.MethodGet:
			next(w, r)
		}
	}))
	client, closeClient := New(
		WithEventTimeouts(200*time.Millisecond, 200*time.Millisecond), WithMaxResumes(2, time.Millisecond), WithMetrics(metrics.NewSet()))
	t.Cleanup(func() {
		closeClient()
		srv.CloseClientConnections()
		srv.Close()
	})
	s, f := client.Stream(context.Background(), Request{Address: srv.Listener.Addr().String(), ID: "s1", Body: []byte("{}")})
	assertNoFailure(qt.New(t), f)
	defer s.Close()
	for s.Next() {
		pieces = append(pieces, string(s.Event().Data))
	}
	qt.Assert(t, s.Failure() == nil, qt.Equals, s.Complete())
	return pieces, s.Complete()
}

// Guards against an error's text that is delivered as a part of a response, and against a
// response that ends as complete without its last events.
func TestStreamsThatGoOnWithAnError(t *testing.T) {
	for name, next := range map[string]http.HandlerFunc{
		"a status":                    withStatus(500, sse.ContentType, piece(3, `"stop"`)+doneEvent),
		"another status of success":   withStatus(202, sse.ContentType, piece(3, `"stop"`)+doneEvent),
		"no body":                     withStatus(204, sse.ContentType, ""),
		"not found":                   withStatus(404, "text/plain", failedText),
		"no event":                    withStatus(200, sse.ContentType, ""),
		"the end":                     withStatus(200, sse.ContentType, doneEvent),
		"text":                        withStatus(200, "text/plain", failedText+"\n\n"),
		"a later event":               withStatus(200, sse.ContentType, piece(4, `"stop"`)+doneEvent),
		"earlier events":              withStatus(200, sse.ContentType, piece(1, "null")+piece(2, "null")),
		"a head in place of an event": withStatus(200, sse.ContentType, "HTTP/1.1 500 Oops\r\ncontent-type: text/plain\r\n\r\n"+failedText+"\n\n"),
		"a head only":                 hijacked("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"),
		"no response":                 hijacked(failedText),
	} {
		t.Run(name, func(t *testing.T) { assertCutAfter(t, next) })
	}
	t.Run("true events", func(t *testing.T) {
		pieces, complete := readPieces(t, begun, withStatus(200, sse.ContentType+"; charset=utf-8", piece(3, `"stop"`)+doneEvent))
		qt.Assert(t, complete, qt.IsTrue)
		qt.Assert(t, pieces, qt.HasLen, 3)
	})
	t.Run("events without IDs", func(t *testing.T) {
		unnumbered := strings.ReplaceAll(strings.ReplaceAll(piece(1, "null")+piece(2, `"stop"`), "id: 1\n", ""), "id: 2\n", "")
		pieces, complete := readPieces(t, withStatus(200, sse.ContentType, unnumbered+doneEvent), withStatus(404, "text/plain", ""))
		qt.Assert(t, complete, qt.IsTrue)
		qt.Assert(t, pieces, qt.HasLen, 2)
	})
}

// Guards against events that are taken from a response that is no event stream.
func TestStreamsThatGoOnAsAnotherType(t *testing.T) {
	for name, next := range map[string]http.HandlerFunc{
		"events as text": withStatus(200, "text/plain", piece(3, `"stop"`)+doneEvent),
		"events as JSON": withStatus(200, "application/json", piece(3, `"stop"`)+doneEvent),
	} {
		t.Run(name, func(t *testing.T) { assertCutAfter(t, next) })
	}
}

// Guards against an error that is delivered as the next event of a response.
func TestStreamsThatGoOnWithForeignEvents(t *testing.T) {
	for name, next := range map[string]http.HandlerFunc{
		"an error event":                   withStatus(200, sse.ContentType, "event: error\ndata: "+failedText+"\n\n"),
		"an error event with an ID":        withStatus(200, sse.ContentType, "id: 3\nevent: error\ndata: "+failedText+"\n\n"),
		"an error event without data":      withStatus(200, sse.ContentType, "event: error\n\n"+piece(3, `"stop"`)+doneEvent),
		"an event without an ID":           withStatus(200, sse.ContentType, "data: "+failedText+"\n\n"+doneEvent),
		"an end that an error event gives": withStatus(200, sse.ContentType, `data: {"finish_reason":"error"}`+"\n\n"+doneEvent),
	} {
		t.Run(name, func(t *testing.T) { assertCutAfter(t, next) })
	}
	t.Run("an error in the first connection", func(t *testing.T) {
		pieces, complete := readPieces(t, withStatus(200, sse.ContentType, piece(1, "null")+piece(2, "null")+"data: "+failedText+"\n\n"),
			withStatus(200, sse.ContentType, piece(3, `"stop"`)+doneEvent))
		qt.Assert(t, complete, qt.IsTrue)
		qt.Assert(t, pieces, qt.HasLen, 3)
	})
}

// Guards against a response head that is delivered in an event of a response.
func TestStreamsWithLinesOfNoEvent(t *testing.T) {
	for name, next := range map[string]http.HandlerFunc{
		"a head inside an event": withStatus(200, sse.ContentType, "id: 3\ndata: {"+failedText+"HTTP/1.1 500 Oops\r\ncontent-type: text/plain\r\n\r\n"),
		"text inside an event":   withStatus(200, sse.ContentType, "id: 3\n"+failedText+"\ndata: {}\n\n"),
	} {
		t.Run(name, func(t *testing.T) { assertCutAfter(t, next) })
	}
}
