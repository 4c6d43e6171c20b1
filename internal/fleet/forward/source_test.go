package forward_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/forward"
	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetbackoff"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// Guards against targets that are told to fetch from the cache of one that wants nothing.
func TestSourcesOfCachedParts(t *testing.T) {
	backoff := targetbackoff.NewTracker()
	name, value, _ := strings.Cut(strings.TrimSpace(platformtest.PromptLine), ": ")
	parts := platform.DecodeCallHeaders([]http1.Field{http1.NewField(name, value)}).Parts
	// fetches reports whether a target fetches from another one that has the prompt cached and
	// gets no calls for the reason that set gives.
	fetches := func(t *testing.T, set func(f *fixture, source *state.Target)) bool {
		f := newFixture(t, 2, always("200 OK", "", "x"), func(c *forward.Config) { c.Backoff = backoff })
		view := f.view.Load()
		view.Configuration.Services = map[string]state.Service{"s": {Name: "s", CacheTransfer: true}}
		source := view.Targets.ByService["s"][0]
		for _, p := range parts {
			f.cacheIndex.Restore([]affinity.Holding{{Part: p.Hash, Target: source.Hash, Prefilled: true}}, time.Now())
		}
		f.cacheIndex.MarkRestored()
		set(f, source)
		f.assertResponse(f.send(platformtest.Request("/chat/a", platformtest.AuthorizationLine+platformtest.PromptLine, "x")), 200, "x")
		f.Assert(f.targets[0].Requests(), qt.HasLen, 0)
		requests := f.targets[1].Requests()
		f.Assert(requests, qt.HasLen, 1)
		return platformtest.DecodeForwarded(requests[0]).CacheSource == source.Address
	}
	t.Run("one whose entry says draining is", func(t *testing.T) {
		qt.Assert(t, fetches(t, func(_ *fixture, source *state.Target) { source.Draining = true }), qt.IsTrue)
	})
	t.Run("one that has said that it leaves is not", func(t *testing.T) {
		qt.Assert(t, fetches(t, func(f *fixture, source *state.Target) { f.setLeaving(source.Hash) }), qt.IsFalse)
	})
	t.Run("one that wants no requests for a time is not", func(t *testing.T) {
		qt.Assert(t, fetches(t, func(_ *fixture, source *state.Target) {
			backoff.Observe(source.Hash, time.Minute, time.Now())
		}), qt.IsFalse)
	})
}
