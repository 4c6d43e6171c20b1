package scenario

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// soakPageSize makes lists of targets take several calls.
	soakPageSize = 3
	// maxPageAge is how old the pages of cached lists are at most.
	maxPageAge = 3 * time.Second
	// pageSequence is the sequence of the random source of the ages.
	pageSequence = 3
)

// serveOldPages makes the store split lists into pages, and answer calls for each page of a cached
// one from another earlier state.
func (tb *testbed) serveOldPages() {
	var mu sync.Mutex // Routers list at the same time.
	rng := rand.New(rand.NewPCG(tb.options.Seed, pageSequence))
	tb.store.SetPageSize(soakPageSize)
	tb.store.AgeCachedPages(func(_ string, past []time.Time) int {
		mu.Lock()
		at := time.Now().Add(-time.Duration(rng.Int64N(int64(maxPageAge))))
		mu.Unlock()
		i, _ := slices.BinarySearchFunc(past, at, time.Time.Compare)
		return max(0, i-1)
	})
}
