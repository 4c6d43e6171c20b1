package router

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// adminHandler serves metrics, health and readiness.
func (r *Router) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", r.serveReady)
	return mux
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.lifecycle.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	reason := "leaving"
	if f := r.lifecycle.accepts(); f != nil {
		reason = f.Detail
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}
