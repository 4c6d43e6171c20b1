package stream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/sse"
	"hickoryrock/internal/target/engine"
)

type (
	// discardWriter is a ResponseWriter that discards everything.
	discardWriter struct{ header http.Header }

	// loopSource yields events until next returns false.
	loopSource struct {
		id   int
		next func() bool
	}
)

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) Write(b []byte) (int, error)      { return len(b), nil }
func (w *discardWriter) WriteHeader(int)                  {}
func (w *discardWriter) Flush()                           {}
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

var chunkData = []byte(`{"id":"w1.0123456789abcdef","object":"chat.completion.chunk","model":"care",` +
	`"choices":[{"index":0,"delta":{"role":"assistant","content":" word17"},"finish_reason":null}]}`)

func (s *loopSource) Next() bool {
	s.id++
	return s.next()
}

func (s *loopSource) Event() sse.Event          { return sse.Event{ID: s.id, Data: chunkData} }
func (s *loopSource) Failure() *outcome.Failure { return nil }
func (s *loopSource) Complete() bool            { return true }
func (s *loopSource) Close()                    {}
func (s *loopSource) Detach()                   {}

// BenchmarkRelayEvent measures the cost of one event without a connection to a caller.
func BenchmarkRelayEvent(b *testing.B) {
	_, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	f := newTestRelay().Serve(&discardWriter{header: http.Header{}}, Response{Source: &loopSource{next: b.Loop}, Cancel: cancel})
	if f != nil {
		b.Fatal(f)
	}
}

// BenchmarkPathEvent measures the CPU time of one event from an engine through a router to a caller,
// with one write per event. It includes the engine's and the caller's share.
func BenchmarkPathEvent(b *testing.B) {
	engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		var buf []byte
		for id := 1; r.Context().Err() == nil; id++ {
			buf = sse.AppendEvent(buf[:0], id, chunkData)
			_, _ = w.Write(buf)
			_ = control.Flush()
		}
	}))
	defer engineServer.Close()
	client, stop := engine.New(engine.WithMetrics(metrics.NewSet()))
	defer stop()
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := engine.Request{Address: engineServer.Listener.Addr().String(), ID: "s1", Body: []byte("{}")}
		src, f := client.Stream(r.Context(), req)
		if f == nil {
			_ = newTestRelay().Serve(w, Response{Source: src})
		}
	}))
	defer router.Close()
	resp, err := http.Get(router.URL)
	if err != nil {
		b.Fatal(err)
	}
	reader, release := sse.NewReader(resp.Body)
	defer release()
	start, events := cpuTime(b), 0
	for b.Loop() {
		if _, err := reader.Next(); err != nil {
			b.Fatal(err)
		}
		events++
	}
	b.ReportMetric(float64(cpuTime(b)-start)/float64(events), "cpu-ns/event")
	_ = resp.Body.Close()
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
