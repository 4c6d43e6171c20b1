package plain

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// BenchmarkCall compares calls on pooled connections with at-most-once calls, which open a
// connection each.
func BenchmarkCall(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	}))
	defer srv.Close()
	for name, atMostOnce := range map[string]bool{"repeatable": false, "at-most-once": true} {
		b.Run(name, func(b *testing.B) {
			client, stop := New(WithMetrics(metrics.NewSet()))
			defer stop()
			call := Call{Address: srv.Listener.Addr().String(), Method: "book", Key: key, Body: []byte("{}"), AtMostOnce: atMostOnce}
			for b.Loop() {
				if _, f := client.Call(context.Background(), call); f != nil {
					b.Fatal(f)
				}
			}
		})
	}
}
