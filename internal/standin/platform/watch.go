package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hickoryrock/internal/platform/objects"
)

// bookmarkInterval is how often an idle watch receives a bookmark and is charged one read.
const bookmarkInterval = time.Second

// watch streams the changes of the requested kinds as JSON lines until the client disconnects,
// a fault ends it, or the history no longer reaches back far enough.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	kinds := query["kind"]
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil || !validKinds(kinds) {
		writeError(w, http.StatusBadRequest, codeInvalid, "query parameters kind and after are required")
		return
	}
	if _, _, _, err := s.store.changesSince(kinds, after); err != nil {
		writeError(w, http.StatusGone, codeTooOld, "version is not in the history, list again")
		return
	}
	client := r.Header.Get(objects.ClientNameHeader)
	gap := s.faults.watchGap()
	w.Header().Set("Content-Type", "application/jsonl")
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for {
		changes, version, changed, err := s.store.changesSince(kinds, after)
		if err != nil || s.faults.get().Down {
			return
		}
		after = version
		if !s.faults.get().partitions(client) && !sendEvents(w, changes, version) {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-gap:
			return
		case <-changed:
		case <-ticker.C:
			s.reads.AllowN(s.opts.Now(), 1)
		}
	}
}

// sendEvents writes the changes followed by a bookmark, and reports whether the connection
// still works.
func sendEvents(w http.ResponseWriter, changes []objects.Object, version uint64) bool {
	enc := json.NewEncoder(w)
	for _, obj := range changes {
		if enc.Encode(objects.Event{Object: obj}) != nil {
			return false
		}
	}
	bookmark := objects.Event{Object: objects.Object{Version: version}, Bookmark: true}
	if enc.Encode(bookmark) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

func validKinds(kinds []string) bool {
	for _, kind := range kinds {
		if !validNamePattern.MatchString(kind) {
			return false
		}
	}
	return len(kinds) > 0
}
