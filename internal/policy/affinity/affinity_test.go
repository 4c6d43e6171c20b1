package affinity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Settings{}) }

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func candidates(n int) []affinity.Candidate {
	out := make([]affinity.Candidate, n)
	for i := range out {
		out[i] = affinity.Candidate{Target: uint64(i+1) * 0x9e3779b97f4a7c15, SameDomain: true}
	}
	return out
}

func prompt(group, chat uint64) affinity.Request {
	return affinity.Request{Factor: 2, Fetch: true, Parts: []affinity.Part{
		{Hash: group, Tokens: 2500}, {Hash: chat, Tokens: 6000}, {Hash: rand.Uint64(), Tokens: 500},
	}}
}

// assign chooses a candidate and carries out the choice.
func assign(x *affinity.CacheIndex, r affinity.Request, all []affinity.Candidate, now time.Time) affinity.Choice {
	choice := x.Choose(r, all, now)
	if choice.Index >= 0 {
		x.Assign(affinity.Shared(r.Parts), all[choice.Index].Target, choice.PrefillTokens, now)
	}
	return choice
}

// Guards against other routers that are told of a choice which is not carried out.
func TestChoiceIsRecordedOnlyWhenAssigned(t *testing.T) {
	c := qt.New(t)
	x := affinity.NewCacheIndex()
	all, r := candidates(6), prompt(1, 2)
	first := x.Choose(r, all, start)
	c.Assert(x.Holdings(start), qt.HasLen, 0)
	c.Assert(x.TakeUpdates(30), qt.HasLen, 0)
	c.Assert(x.Choose(r, all, start), qt.Equals, first)
	c.Assert(assign(x, r, all, start), qt.Equals, first)
	target := all[first.Index].Target
	c.Assert(x.TakeUpdates(30), qt.DeepEquals, []affinity.Holding{
		{Part: 1, Target: target}, {Part: 2, Target: target, PrefillTokens: first.PrefillTokens},
	})
	c.Assert(x.Choose(r, all, start).Reason, qt.Equals, affinity.ReasonHeld)
}

func TestChooseReturnsToCachedTarget(t *testing.T) {
	c := qt.New(t)
	x := affinity.NewCacheIndex()
	all := candidates(18)
	first := assign(x, prompt(1, 2), all, start)
	c.Assert(first.Reason, qt.Equals, affinity.ReasonNew)
	c.Assert(first.PrefillTokens, qt.Equals, 9000)
	again := assign(x, prompt(1, 2), all, start.Add(time.Second))
	c.Assert(again.Index, qt.Equals, first.Index)
	c.Assert(again.Reason, qt.Equals, affinity.ReasonHeld)
	c.Assert(again.PrefillTokens, qt.Equals, 500)
	all[first.Index].PendingTokens = 300
	c.Assert(assign(x, prompt(1, 2), all, start.Add(time.Second)).PendingTokens, qt.Equals, 300)
}

func TestEmptyIndexesChooseSameTarget(t *testing.T) {
	c := qt.New(t)
	all := candidates(18)
	for chat := range uint64(50) {
		one := affinity.NewCacheIndex().Choose(prompt(1, chat), all, start)
		other := affinity.NewCacheIndex().Choose(prompt(1, chat), all, start)
		c.Assert(one.Index, qt.Equals, other.Index)
	}
}

func TestDrainingTargetIsFetchSource(t *testing.T) {
	c := qt.New(t)
	x := affinity.NewCacheIndex()
	all := candidates(18)
	home := assign(x, prompt(1, 2), all, start).Index
	x.MarkPrefilled(affinity.Shared(prompt(1, 2).Parts), all[home].Target, start.Add(300*time.Millisecond))
	all[home].Draining = true
	moved := assign(x, prompt(1, 2), all, start.Add(time.Second))
	c.Assert(moved.Index, qt.Not(qt.Equals), home)
	c.Assert(moved.Source, qt.Equals, home)
	c.Assert(moved.FetchedTokens, qt.Equals, 8500)
	c.Assert(moved.PrefillTokens, qt.Equals, 500)
	c.Assert(moved.Reason, qt.Equals, affinity.ReasonMoved)
}

// A transfer between failure domains takes twice as long as one within a
// domain.
func TestFetchPrefersSameFailureDomain(t *testing.T) {
	x := affinity.NewCacheIndex()
	all := candidates(4)
	for i, domain := range []string{"a", "b", "a"} {
		all[i].FailureDomain, all[i].Draining = domain, true
		x.Restore([]affinity.Holding{
			{Part: 1, Target: all[i].Target, Prefilled: true}, {Part: 2, Target: all[i].Target, Prefilled: true},
		}, start)
	}
	for _, domain := range []string{"a", "b"} {
		t.Run("in "+domain, func(t *testing.T) {
			c := qt.New(t)
			all[3].FailureDomain = domain
			choice := assign(x, prompt(1, 2), all, start.Add(time.Second))
			c.Assert(choice.Index, qt.Equals, 3)
			c.Assert(choice.FetchedTokens, qt.Equals, 8500)
			c.Assert(all[choice.Source].FailureDomain, qt.Equals, domain)
			x.Expire(map[uint64]bool{all[0].Target: true, all[1].Target: true, all[2].Target: true}, start)
		})
	}
}

// Guards against fetching from an engine that was assigned a prompt but has not
// prefilled it yet, which happens while engines have long prefill queues. Both
// engines would then prefill the prompt.
func TestPrefillingTargetIsNotFetchSource(t *testing.T) {
	setup := func() (one, other *affinity.CacheIndex, all []affinity.Candidate, home uint64) {
		one, other, all = affinity.NewCacheIndex(), affinity.NewCacheIndex(), candidates(18)
		choice := assign(one, prompt(1, 2), all, start)
		other.ApplyUpdates(one.TakeUpdates(30), start)
		all[choice.Index].Draining = true
		return one, other, all, all[choice.Index].Target
	}
	late := start.Add(900 * time.Millisecond)
	assertNoSource := func(c *qt.C, x *affinity.CacheIndex, all []affinity.Candidate) {
		c.Helper()
		moved := assign(x, prompt(1, 2), all, late)
		c.Assert(moved.Source, qt.Equals, -1)
		c.Assert(moved.RecomputedTokens, qt.Equals, 8500)
	}
	assertSource := func(c *qt.C, x *affinity.CacheIndex, all []affinity.Candidate) {
		c.Helper()
		moved := assign(x, prompt(1, 2), all, late)
		c.Assert(moved.FetchedTokens, qt.Equals, 8500)
		c.Assert(moved.RecomputedTokens, qt.Equals, 0)
	}
	t.Run("for the router that sent the call", func(t *testing.T) {
		c := qt.New(t)
		one, _, all, _ := setup()
		assertNoSource(c, one, all)
	})
	t.Run("for a router that received the announcement", func(t *testing.T) {
		c := qt.New(t)
		_, other, all, _ := setup()
		assertNoSource(c, other, all)
	})
	t.Run("until its first event, also for the others", func(t *testing.T) {
		c := qt.New(t)
		one, other, all, home := setup()
		one.MarkPrefilled(affinity.Shared(prompt(1, 2).Parts), home, late)
		other.ApplyUpdates(one.TakeUpdates(30), late)
		assertSource(c, one, all)
		assertSource(c, other, all)
	})
	t.Run("until prefillTimeout has passed", func(t *testing.T) {
		c := qt.New(t)
		_, other, all, _ := setup()
		moved := assign(other, prompt(1, 2), all, start.Add(3*time.Second))
		c.Assert(moved.FetchedTokens, qt.Equals, 8500)
	})
}

func TestEjectedAndTriedTargets(t *testing.T) {
	t.Run("an ejected target is avoided", func(t *testing.T) {
		c := qt.New(t)
		x := affinity.NewCacheIndex()
		all := candidates(3)
		home := assign(x, prompt(1, 2), all, start).Index
		all[home].Ejected = true
		c.Assert(assign(x, prompt(1, 2), all, start).Index, qt.Not(qt.Equals), home)
	})
	t.Run("when all are ejected one of them is chosen", func(t *testing.T) {
		all := candidates(3)
		for i := range all {
			all[i].Ejected = true
		}
		qt.Assert(t, affinity.NewCacheIndex().Choose(prompt(1, 2), all, start).Index >= 0, qt.IsTrue)
	})
	t.Run("a tried target is not chosen again", func(t *testing.T) {
		all := candidates(2)
		all[0].Tried, all[1].Tried = true, true
		qt.Assert(t, affinity.NewCacheIndex().Choose(prompt(1, 2), all, start).Index, qt.Equals, -1)
	})
}

// Guards against overload of the target that has a popular prompt cached. It
// takes calls up to the bound; the remaining calls go to targets that fetch the
// prompt from its cache.
func TestHotPromptStaysWithinBound(t *testing.T) {
	c := qt.New(t)
	x := affinity.NewCacheIndex()
	all := candidates(18)
	for i := range all {
		all[i].Calls = 5
	}
	total := 5 * len(all)
	recomputed := 0
	var chosen []uint64
	for i := range 100 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if i >= 3 {
			// A call has its first event 300 ms after it was sent.
			x.MarkPrefilled(affinity.Shared(prompt(1, 2).Parts), chosen[i-3], now)
		}
		choice := assign(x, prompt(1, 2), all, now)
		chosen = append(chosen, all[choice.Index].Target)
		all[choice.Index].Calls++
		recomputed += choice.RecomputedTokens
		total++
		mean := float64(total) / float64(len(all))
		c.Assert(float64(all[choice.Index].Calls) <= 2*mean+3, qt.IsTrue,
			qt.Commentf("%d calls at a mean of %.1f", all[choice.Index].Calls, mean))
	}
	c.Assert(recomputed, qt.Equals, 0)
}

// Guards against many routers choosing the same idle target because they learn
// of each other's calls only with a delay.
func TestManyRoutersSpreadOverTargets(t *testing.T) {
	c := qt.New(t)
	all := candidates(90)
	all[17].SameDomain = true
	for i := range all {
		all[i].PendingTokens = 5000
	}
	all[17].PendingTokens = 0
	got := make(map[int]int)
	for chat := range uint64(87) {
		got[affinity.NewCacheIndex().Choose(prompt(chat%4, chat), all, start).Index]++
	}
	c.Assert(got[17] < 15, qt.IsTrue, qt.Commentf("%d of 87 routers chose the idle target", got[17]))
}

func TestCallsWithoutPrompts(t *testing.T) {
	t.Run("go to the target with the fewest calls", func(t *testing.T) {
		all := candidates(4)
		all[0].Calls, all[1].Calls, all[3].Calls = 4, 4, 4
		qt.Assert(t, affinity.NewCacheIndex().Choose(affinity.Request{Factor: 2}, all, start).Index, qt.Equals, 2)
	})
	t.Run("stay in the failure domain at a similar load", func(t *testing.T) {
		all := candidates(4)
		for i := range all {
			all[i].SameDomain = i == 1
		}
		all[1].Calls = 1
		qt.Assert(t, affinity.NewCacheIndex().Choose(affinity.Request{Factor: 2}, all, start).Index, qt.Equals, 1)
	})
}

func TestUpdatesReachOtherRouters(t *testing.T) {
	c := qt.New(t)
	one, other := affinity.NewCacheIndex(), affinity.NewCacheIndex()
	all := candidates(18)
	home := assign(one, prompt(1, 2), all, start).Index
	updates := one.TakeUpdates(30)
	c.Assert(len(updates), qt.Equals, 2)
	c.Assert(updates[0].PrefillTokens+updates[1].PrefillTokens, qt.Equals, 9000)
	c.Assert(len(one.TakeUpdates(30)), qt.Equals, 0)
	assign(one, prompt(1, 2), all, start.Add(time.Second))
	c.Assert(len(one.TakeUpdates(30)), qt.Equals, 0)
	other.ApplyUpdates(updates, start)
	choice := assign(other, prompt(1, 2), all, start.Add(time.Second))
	c.Assert(choice.Index, qt.Equals, home)
	c.Assert(choice.Reason, qt.Equals, affinity.ReasonHeld)
	other.Expire(map[uint64]bool{}, start)
	c.Assert(len(other.Holdings(start)), qt.Equals, 0)
}

// Checks for random holdings and loads that a tried or draining target is never
// chosen, and that the token counts of a choice are consistent with the length
// of the prompt.
func TestChoiceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := affinity.NewCacheIndex()
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			all := candidates(rapid.IntRange(1, 6).Draw(t, "targets"))
			for i := range all {
				all[i].Calls = rapid.IntRange(0, 20).Draw(t, "load")
				all[i].PendingTokens = rapid.IntRange(0, 20000).Draw(t, "pending tokens")
				all[i].Ejected = rapid.Bool().Draw(t, "ejected")
				all[i].Tried = rapid.Bool().Draw(t, "tried")
				all[i].Draining = rapid.Bool().Draw(t, "draining")
			}
			r := prompt(rapid.Uint64Range(1, 3).Draw(t, "group"), rapid.Uint64Range(10, 15).Draw(t, "chat"))
			choice := assign(x, r, all, now)
			if choice.Index < 0 {
				continue
			}
			chosen := all[choice.Index]
			if chosen.Tried || chosen.Draining {
				t.Fatalf("chose %+v", chosen)
			}
			if choice.Source == choice.Index || (choice.Source < 0) != (choice.FetchedTokens == 0) {
				t.Fatalf("fetches %d tokens from %d for %d", choice.FetchedTokens, choice.Source, choice.Index)
			}
			if choice.PrefillTokens < 500 || choice.PrefillTokens+choice.FetchedTokens > 9000 || choice.RecomputedTokens > choice.PrefillTokens {
				t.Fatalf("%+v", choice)
			}
		}
	})
}

// Guards against a count of holdings that drifts away from them.
func TestCountOfHoldings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, all, now := affinity.NewCacheIndex(), candidates(4), start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			target := all[rapid.IntRange(0, 3).Draw(t, "target")].Target
			part := rapid.Uint64Range(1, 5).Draw(t, "part")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				x.Assign([]affinity.Part{{Hash: part}}, target, 0, now)
			case 1:
				x.ApplyUpdates([]affinity.Holding{{Part: part, Target: target, Prefilled: true}}, now)
			case 2:
				x.TakeUpdates(3)
			case 3:
				x.Expire(map[uint64]bool{target: true, all[0].Target: true}, now)
				if held, _ := x.Count(); held != len(x.Holdings(now)) {
					t.Fatalf("%d counted, %d held", held, len(x.Holdings(now)))
				}
			}
		}
		x.Expire(nil, now)
		if held, _ := x.Count(); held != 0 {
			t.Fatalf("%d counted, none held", held)
		}
	})
}
