package storewatch_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// heldWatch is a store whose answer to a watch of targets can be held. Its other answers are not.
type heldWatch struct {
	*platformtest.Store
	// holds is set to hold the next watch that has events, which closes isHeld until release is
	// closed.
	holds           atomic.Bool
	isHeld, release chan struct{}
}

func (h *heldWatch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/"+platformtest.KindTargets) || !r.URL.Query().Has("watch") {
		h.Store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	h.Store.ServeHTTP(answer, r)
	if !strings.Contains(answer.Body.String(), `"events":[]`) && h.holds.CompareAndSwap(true, false) {
		close(h.isHeld)
		<-h.release
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// Guards against calls to a target that drains (DRAIN, issue 55): an answer to a watch that arrived
// after later changes from another router made the target ready again, and the router told others so.
func TestLateWatchDoesNotUndoLaterChanges(t *testing.T) {
	for name, change := range map[string]func(s *platformtest.Store){
		"drained": func(s *platformtest.Store) { s.Set(platformtest.KindTargets, "i-1", target("draining")) },
		"removed": func(s *platformtest.Store) { s.Remove(platformtest.KindTargets, "i-1") },
	} {
		t.Run(name, func(t *testing.T) {
			store := &heldWatch{Store: platformtest.NewStore(), isHeld: make(chan struct{}), release: make(chan struct{})}
			f := newFixtureWithHandler(t, func() bool { return true }, store.Store, store)
			other := newFixtureWithStore(t, true, store.Store)
			f.store.Set(platformtest.KindTargets, "i-0", target("draining"))
			f.eventually("the store's revision is known", func() bool {
				return f.View().Targets.Revision.Number == store.Revision()
			})
			before := f.View().Targets.Revision
			store.holds.Store(true)
			f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
			<-store.isHeld
			change(f.store)
			f.eventually("another router knows the change", func() bool {
				return other.View().Targets.Revision.Number == store.Revision()
			})
			f.Assert(f.ApplyTargets(other.Snapshot(0, before).Targets, false, "other"), qt.IsTrue)
			f.Assert(f.ready(), qt.Equals, 0)
			f.store.Fail(http.StatusServiceUnavailable)
			close(store.release)
			f.assertReadyFor(0, time.Second)
			third := newFollower(t)
			third.ApplyTargets(f.Snapshot(0, before).Targets, false, "other")
			f.Assert(third.ready(), qt.Equals, 0)
		})
	}
}
