package engine

import (
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/standin/server"
)

type (
	// Faults selects the faults to inject, set over HTTP at /faults.
	Faults struct {
		// Refuse rejects requests with 503 and X-Not-Run without running them.
		Refuse bool `json:"refuse,omitempty"`
		// Silence accepts requests but neither runs them nor responds to them.
		Silence bool `json:"silence,omitempty"`
		// SilenceOpen makes the currently open connections silent; new connections work.
		SilenceOpen bool `json:"silence-open,omitempty"`
		// StallAfter stops sending on a stream after this many events and leaves the connection
		// open; 0 means never.
		StallAfter int `json:"stall-after,omitempty"`
		// BreakAfter closes the connection of a stream after this many events; 0 means never.
		BreakAfter int `json:"break-after,omitempty"`
		// Times is the number of requests that Silence, StallAfter and BreakAfter apply to; 0
		// means no limit.
		Times int `json:"times,omitempty"`
		// SlowFactor multiplies the time per token.
		SlowFactor int `json:"slow-factor,omitempty"`
		// FlapMillis makes the engine alternate between refusing and accepting requests, with
		// this many milliseconds of each, starting with refusing.
		FlapMillis int `json:"flap-millis,omitempty"`
		// LoadLagMillis is the minimum age of the values in load reports, in milliseconds.
		LoadLagMillis int `json:"load-lag-millis,omitempty"`
	}

	faultState struct {
		mu      sync.Mutex
		current Faults
		setAt   time.Time
	}
)

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.setAt = f, time.Now()
}

// consume returns the faults for one request and counts it towards Times.
func (s *faultState) consume() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.current
	if s.current.Times > 0 {
		s.current.Times--
		if s.current.Times == 0 {
			s.current.Silence, s.current.StallAfter, s.current.BreakAfter = false, 0, 0
		}
	}
	return f
}

// consumeSilence reports whether a request gets no response. If so, it is counted towards Times.
func (s *faultState) consumeSilence() bool {
	return s.get().Silence && s.consume().Silence
}

func (s *faultState) isRefusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.FlapMillis > 0 {
		period := time.Duration(s.current.FlapMillis) * time.Millisecond
		return time.Since(s.setAt)/period%2 == 0
	}
	return s.current.Refuse
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		server.WriteJSON(w, http.StatusOK, e.faults.get())
		return
	}
	var f Faults
	if err := server.ReadJSON(w, r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.SilenceOpen {
		e.conns.SilenceOpen()
		f.SilenceOpen = false
	}
	e.faults.set(f)
	server.WriteJSON(w, http.StatusOK, f)
}
