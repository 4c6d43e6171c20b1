package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"hickoryrock/internal/standin/server"
)

type (
	// Load is the response body of GET /load.
	Load struct {
		Name          string            `json:"name"`
		InFlight      int               `json:"in-flight"`
		Queued        int               `json:"queued"`
		Slots         int               `json:"slots"`
		CachePressure float64           `json:"cache-pressure"`
		Draining      bool              `json:"draining"`
		Role          string            `json:"role"`
		Models        map[string]string `json:"models"`
		Fencing       uint64            `json:"fencing"`
		Cancelled     int               `json:"cancelled"`
	}

	loadSample struct {
		at       time.Time
		inFlight int
		queued   int
	}

	// loadHistory keeps recent load samples, from which delayed load reports are made.
	loadHistory struct {
		mu      sync.Mutex
		samples []loadSample
	}
)

const maxLoadSamples = 4096

func (l *loadHistory) add(inFlight, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{at: time.Now(), inFlight: inFlight, queued: queued})
	if len(l.samples) > maxLoadSamples {
		l.samples = append(l.samples[:0], l.samples[maxLoadSamples/2:]...)
	}
}

// at returns the newest sample that is at least lag old, or the zero sample if there is none.
func (l *loadHistory) at(lag time.Duration) loadSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.samples) - 1; i >= 0; i-- {
		if time.Since(l.samples[i].at) >= lag {
			return l.samples[i]
		}
	}
	return loadSample{}
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	f := e.faults.get()
	if f.Silence || e.conns.Silent(r.Context()) {
		server.HangUntilClosed(r.Context())
	}
	lag := max(e.opts.LoadLag, time.Duration(f.LoadLagMillis)*time.Millisecond)
	s := e.loadHistory.at(lag)
	l := Load{
		Name: e.opts.Name, InFlight: s.inFlight, Queued: s.queued, Slots: e.opts.Slots,
		CachePressure: e.cache.utilization(),
	}
	e.mu.Lock()
	l.Draining, l.Cancelled = e.draining, e.cancelled
	e.mu.Unlock()
	l.Role, l.Models, l.Fencing = e.orderState.snapshot()
	server.WriteJSON(w, http.StatusOK, l)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	server.WriteJSON(w, http.StatusOK, e.cache.eventsAfter(after, e.opts.EventLag, e.opts.EventGap))
}

func (e *Engine) handleCachedConversations(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, e.cache.cachedConversations())
}

func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	kv, ok := e.cache.export(r.PathValue("conversation"))
	if !ok {
		http.Error(w, "conversation is not cached", http.StatusNotFound)
		return
	}
	server.WriteJSON(w, http.StatusOK, kv)
}

func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	var kv KV
	if err := server.ReadJSON(w, r, &kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.cache.store(r.PathValue("conversation"), kv.Prefixes)
	w.WriteHeader(http.StatusNoContent)
}
