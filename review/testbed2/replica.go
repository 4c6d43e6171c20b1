package main

import (
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
	// replicaInterval is how often the state of the lagging replica advances.
	replicaInterval = 100 * time.Millisecond
)

type (
	// replicas answers the calls to the store. The first page of a cached list comes from a replica that
	// is up to date, the further ones from one that lags.
	replicas struct {
		store *platformtest.Store
		lag   time.Duration

		mu sync.Mutex
		// pages holds what a further page was at a time, by its URL.
		pages map[string][]pageAt
	}

	pageAt struct {
		at   time.Time
		body []byte
		head http.Header
	}
)

// newReplicas returns the replicas and a function that ends them. The URLs are those of the pages that the
// lagging replica serves.
func newReplicas(store *platformtest.Store, lag time.Duration, urls ...string) (*replicas, func()) {
	r := &replicas{store: store, lag: lag, pages: make(map[string][]pageAt)}
	end := make(chan struct{})
	go func() {
		ticker := time.NewTicker(replicaInterval)
		defer ticker.Stop()
		for {
			for _, url := range urls {
				r.save(url)
			}
			select {
			case <-end:
				return
			case <-ticker.C:
			}
		}
	}()
	return r, func() { close(end) }
}

// save keeps what a page is now, and forgets what it was long ago.
func (r *replicas) save(url string) {
	answer := httptest.NewRecorder()
	r.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, url, http.NoBody))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	list := append(r.pages[url], pageAt{now, answer.Body.Bytes(), answer.Header()})
	for len(list) > 1 && now.Sub(list[1].at) > r.lag {
		list = list[1:]
	}
	r.pages[url] = list
}

// ServeHTTP implements http.Handler.
func (r *replicas) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(storeTime)
	query := req.URL.Query()
	if query.Get("serializable") != "1" || !strings.HasSuffix(req.URL.Path, "/"+platformtest.KindTargets) || !query.Has("after") {
		r.store.ServeHTTP(w, req)
		return
	}
	r.mu.Lock()
	list := r.pages[pageURL(query.Get("after"))]
	r.mu.Unlock()
	if len(list) == 0 {
		r.store.ServeHTTP(w, req)
		return
	}
	for name, values := range list[0].head {
		w.Header()[name] = values
	}
	_, _ = w.Write(list[0].body)
}

// pageURL returns the URL of the page of targets that follows a name.
func pageURL(after string) string { return "/objects/" + platformtest.KindTargets + "?after=" + after }
