package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

type (
	// Faults selects the faults to inject, as read and written with GET and PUT /faults.
	Faults struct {
		// Down makes every call fail with 503.
		Down bool `json:"down"`
		// LatencySeconds is added to every call.
		LatencySeconds float64 `json:"latency-seconds"`
		// LoseReplies is the number of subsequent writes that take effect but get no response;
		// a negative value means all.
		LoseReplies int `json:"lose-replies"`
		// WatchGap ends the open watches and drops the history, once per PUT.
		WatchGap bool `json:"watch-gap,omitempty"`
		// PartitionedClients names the clients that are partitioned from the platform: their
		// calls never get a response.
		PartitionedClients []string `json:"split-clients,omitempty"`
	}

	faultState struct {
		mu     sync.Mutex
		faults Faults
		// gap is closed when the open watches have to end.
		gap chan struct{}
	}
)

func newFaultState() *faultState {
	return &faultState{gap: make(chan struct{})}
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultState) set(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.WatchGap {
		close(f.gap)
		f.gap = make(chan struct{})
		v.WatchGap = false
	}
	f.faults = v
}

// watchGap returns the channel that is closed when the open watches have to end.
func (f *faultState) watchGap() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gap
}

// consumeLostReply reports whether the response of the current write is dropped, and counts it.
func (f *faultState) consumeLostReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
		return true
	}
	return f.faults.LoseReplies < 0
}

func (f Faults) partitions(client string) bool {
	return client != "" && slices.Contains(f.PartitionedClients, client)
}

func (f Faults) latency() time.Duration {
	return time.Duration(f.LatencySeconds * float64(time.Second))
}

// handleFaults returns the current faults, after setting them if the method is PUT.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var v Faults
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			writeError(w, http.StatusBadRequest, codeInvalid, err.Error())
			return
		}
		s.SetFaults(v)
	}
	writeJSON(w, http.StatusOK, s.faults.get())
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(v Faults) {
	if v.WatchGap {
		s.store.compact()
	}
	s.faults.set(v)
}
