// Package platform is a strict in-memory stand-in for the object API of the
// platform, with fault injection, for tests and demos.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"hickoryrock/internal/platform/objects"
)

const (
	codeInvalid      = "invalid"
	codeNotFound     = "not-found"
	codeConflict     = "conflict"
	codeTooLarge     = "too-large"
	codeTooOld       = "too-old"
	codeLimited      = "limited"
	codePrecondition = "precondition-required"
)

// Server is the stand-in. It implements http.Handler.
type Server struct {
	opts   Options
	store  *objectStore
	faults *faultState
	vmList *delayedVMList
	writes *rate.Limiter
	reads  *rate.Limiter
	mux    *http.ServeMux
}

// New returns a Server without objects and VMs.
func New(opts ...Option) *Server {
	o := newOptions(opts)
	s := &Server{
		opts:   o,
		store:  newObjectStore(o.HistoryLimit),
		faults: newFaultState(),
		vmList: newDelayedVMList(o.VMLag),
		writes: rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.limitReads(s.getObject))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.limitWrites(s.putObject))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.limitWrites(s.deleteObject))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.limitReads(s.listObjects))
	s.mux.HandleFunc("GET /v1/watch", s.limitReads(s.watch))
	s.mux.HandleFunc("GET /v1/vms", s.limitReads(s.listVMs))
	s.mux.HandleFunc("PUT /v1/vms", s.putVM)
	s.mux.HandleFunc("DELETE /v1/vms/{name}", s.deleteVM)
	s.mux.HandleFunc("GET /faults", s.handleFaults)
	s.mux.HandleFunc("PUT /faults", s.handleFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// limitReads wraps a handler without side effects.
func (s *Server) limitReads(next http.HandlerFunc) http.HandlerFunc {
	return s.withFaultsAndLimit(s.reads, next)
}

// limitWrites wraps a handler with side effects.
func (s *Server) limitWrites(next http.HandlerFunc) http.HandlerFunc {
	return s.withFaultsAndLimit(s.writes, next)
}

// withFaultsAndLimit applies the injected faults and the rate limit before a call has any effect.
func (s *Server) withFaultsAndLimit(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.get()
		if f.partitions(r.Header.Get(objects.ClientNameHeader)) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if d := f.latency(); d > 0 && !sleepOrDone(r, d) {
			return
		}
		if f.Down {
			writeError(w, http.StatusServiceUnavailable, objects.UnavailableCode, "platform is switched off by an injected fault")
			return
		}
		if !limiter.AllowN(s.opts.Now(), 1) {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, codeLimited, "rate limit exceeded")
			return
		}
		next(w, r)
	}
}

// sleepOrDone waits for d and returns false if the client disconnects first.
func sleepOrDone(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	}
}

// requestKey returns the key in the path. If it is invalid, it writes the error response and
// returns false.
func requestKey(w http.ResponseWriter, r *http.Request) (objects.Key, bool) {
	k := objects.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	if !validKey(k) {
		writeError(w, http.StatusBadRequest, codeInvalid, "invalid kind or name")
		return k, false
	}
	return k, true
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	k, ok := requestKey(w, r)
	if !ok {
		return
	}
	obj, err := s.store.get(k)
	if err != nil {
		writeError(w, http.StatusNotFound, codeNotFound, "object not found")
		return
	}
	w.Header().Set("ETag", objects.ETag(obj.Version))
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if !validNamePattern.MatchString(kind) {
		writeError(w, http.StatusBadRequest, codeInvalid, "invalid kind")
		return
	}
	writeJSON(w, http.StatusOK, s.store.list(kind))
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	k, ok := requestKey(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objects.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, codeTooLarge, "value exceeds the size limit")
		return
	case err != nil || !json.Valid(data):
		writeError(w, http.StatusBadRequest, codeInvalid, "value is not valid JSON")
		return
	}
	version, ok := parsePrecondition(w, r)
	if !ok {
		return
	}
	obj, err := s.store.put(k, version, data)
	if err != nil {
		writeError(w, http.StatusPreconditionFailed, codeConflict, "version does not match")
		return
	}
	s.respondToWrite(w, obj)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	k, ok := requestKey(w, r)
	if !ok {
		return
	}
	version, ok := parsePrecondition(w, r)
	if !ok {
		return
	}
	if version == 0 {
		writeError(w, http.StatusPreconditionRequired, codePrecondition, "If-Match is required")
		return
	}
	obj, err := s.store.remove(k, version)
	if err != nil {
		writeError(w, http.StatusPreconditionFailed, codeConflict, "version does not match")
		return
	}
	s.respondToWrite(w, obj)
}

// respondToWrite responds to a write that has taken effect, unless a fault drops the response.
func (s *Server) respondToWrite(w http.ResponseWriter, obj objects.Object) {
	if s.faults.consumeLostReply() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", objects.ETag(obj.Version))
	// The client already has the value; the response carries only the new version.
	obj.Data = nil
	writeJSON(w, http.StatusOK, obj)
}

// parsePrecondition returns the version that If-Match requires, or 0 for If-None-Match: *,
// which means that the object must not exist. If the headers are missing or malformed, it
// writes the error response and returns false.
func parsePrecondition(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	if match == "" && noneMatch == "*" {
		return 0, true
	}
	if match == "" || noneMatch != "" {
		writeError(w, http.StatusPreconditionRequired, codePrecondition, "exactly one of If-Match and If-None-Match: * is required")
		return 0, false
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 || match != objects.ETag(version) {
		writeError(w, http.StatusBadRequest, codeInvalid, "If-Match is not a valid entity tag of this store")
		return 0, false
	}
	return version, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, detail string) {
	writeJSON(w, status, objects.ErrorResponse{Code: code, Detail: detail})
}
