package client

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/caller/stream"
)

// fakeRouter handles the first call and every chat with fail. Calls arrive on a
// connection that the address lookup has used before.
type fakeRouter struct {
	*httptest.Server
	fail func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	attempts []string
	resumes  int
}

func newFakeRouter(t *testing.T, fail func(http.ResponseWriter, *http.Request)) *fakeRouter {
	f := &fakeRouter{fail: fail}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/address", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"address":"`+r.Host+`","keep-seconds":60,"alternatives":[]}`)
	})
	mux.HandleFunc("POST /v1/services/{service}/methods/{method}", f.serveCall)
	mux.HandleFunc("POST /v1/chat/completions", f.fail)
	mux.HandleFunc("GET /v1/streams/{stream}", f.serveResume)
	f.Server = httptest.NewServer(mux)
	t.Cleanup(func() {
		f.CloseClientConnections()
		f.Close()
	})
	return f
}

func (f *fakeRouter) serveCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	f.attempts = append(f.attempts, r.Header.Get("Idempotency-Attempt"))
	first := len(f.attempts) == 1
	f.mu.Unlock()
	if first {
		f.fail(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"outcome":"done","result":{},"replayed":true}`)
}

func (f *fakeRouter) serveResume(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	f.resumes++
	f.mu.Unlock()
	_, _ = w.Write(sse.AppendEvent(nil, 2, []byte(`{"choices":[{"delta":{"content":"there"}}]}`)))
	_, _ = w.Write(sse.AppendDone(nil, 3))
}

func newTestClient(t *testing.T, f *fakeRouter, opts ...Option) *Client {
	c, stop := New(append(opts, WithRouters(f.Listener.Addr().String()), WithToken("x"))...)
	t.Cleanup(stop)
	return c
}

// TestRetryIncrementsAttempt checks the attempt number when a reused connection breaks after the
// router has received the call: the retry must not claim to be the key's first attempt.
func TestRetryIncrementsAttempt(t *testing.T) {
	f := newFakeRouter(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := newTestClient(t, f)
	key, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	result, err := c.Call(context.Background(), "bookings", "book", key.String(), []byte("{}"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Replayed, qt.IsTrue)
	qt.Assert(t, f.attempts, qt.DeepEquals, []string{"1", "2"})
}

// TestChatResumesAfterIdleTimeout checks that a chat resumes on a new connection when the router's
// connection stalls in the middle of the response.
func TestChatResumesAfterIdleTimeout(t *testing.T) {
	f := newFakeRouter(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(stream.HeaderStream, "s1")
		_, _ = w.Write(sse.AppendEvent(nil, 1, []byte(`{"choices":[{"delta":{"content":"hello "}}]}`)))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c := newTestClient(t, f, WithIdleTimeout(100*time.Millisecond))
	completion, err := c.Chat(context.Background(), ChatRequest{Model: "care"}, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, completion.Text, qt.Equals, "hello there")
	qt.Assert(t, f.resumes, qt.Equals, 1)
}
