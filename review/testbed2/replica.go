package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	// storeTime is how long the store takes for an answer.
	storeTime = 4 * time.Millisecond
	// pageEntries is the largest number of entries on a page.
	pageEntries = 50
	// replicaInterval is how often the state of the lagging replica advances.
	replicaInterval = 100 * time.Millisecond

	targetsURL = "/objects/" + platformtest.KindTargets
)

type (
	// replicas answers the calls to the store. Cached calls for the first page of the targets reach a
	// replica that is up to date, those for further pages one that lags.
	replicas struct {
		store *platformtest.Store
		lag   time.Duration

		mu sync.Mutex
		// lists holds what the whole list was, the oldest first.
		lists []listAt
	}

	listAt struct {
		at   time.Time
		body []byte
	}

	// list is the answer to a list call.
	list struct {
		Entries  []json.RawMessage `json:"entries"`
		HasMore  bool              `json:"has_more"`
		Revision uint64            `json:"current_rev"`
	}
)

// newReplicas returns the replicas and a function that ends them.
func newReplicas(store *platformtest.Store, lag time.Duration) (*replicas, func()) {
	r := &replicas{store: store, lag: lag}
	end := make(chan struct{})
	go func() {
		ticker := time.NewTicker(replicaInterval)
		defer ticker.Stop()
		for {
			r.save()
			select {
			case <-end:
				return
			case <-ticker.C:
			}
		}
	}()
	return r, func() { close(end) }
}

// current returns the whole list as it is now.
func (r *replicas) current() *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	r.store.ServeHTTP(answer, httptest.NewRequestWithContext(context.Background(), http.MethodGet, targetsURL, http.NoBody))
	return answer
}

// save keeps what the list is now, and forgets what it was before the time of the lagging replica.
func (r *replicas) save() {
	now, body := time.Now(), r.current().Body.Bytes()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, listAt{now, body})
	for len(r.lists) > 1 && now.Sub(r.lists[1].at) > r.lag {
		r.lists = r.lists[1:]
	}
}

// ServeHTTP implements http.Handler.
func (r *replicas) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(storeTime)
	query := req.URL.Query()
	if req.Method != http.MethodGet || req.URL.Path != targetsURL || query.Has("watch") {
		r.store.ServeHTTP(w, req)
		return
	}
	answer, after := r.current(), query.Get("after")
	body := answer.Body.Bytes()
	if query.Get("serializable") == "1" && after != "" {
		r.mu.Lock()
		body = r.lists[0].body
		r.mu.Unlock()
	}
	page, err := pageAfter(body, after)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	_, _ = w.Write(page)
}

// pageAfter returns the page of a list that follows a name.
func pageAfter(body []byte, after string) ([]byte, error) {
	var l list
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	for len(l.Entries) > 0 && strings.Compare(entryName(l.Entries[0]), after) <= 0 {
		l.Entries = l.Entries[1:]
	}
	if len(l.Entries) > pageEntries {
		l.Entries, l.HasMore = l.Entries[:pageEntries], true
	}
	return json.Marshal(l)
}

func entryName(entry json.RawMessage) string {
	var e struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
	}
	_ = json.Unmarshal(entry, &e) // The store has written it.
	return e.Metadata.Name
}
