package eligibility_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/eligibility"
)

var now = time.Unix(1000, 0)

// rules returns a checker with one rule that gives the verdicts of targets by their hash.
func rules(verdicts map[uint64]eligibility.Verdict) *eligibility.Checker {
	return eligibility.New(func(t *state.Target, _ time.Time) eligibility.Verdict { return verdicts[t.Hash] })
}

// Guards against calls to a target that the view excludes, whatever the other rules say.
func TestWhatTheViewSaysGoesFirst(t *testing.T) {
	limited := eligibility.Verdict{Reason: eligibility.Limited, Wait: time.Second}
	checker := rules(map[uint64]eligibility.Verdict{1: limited})
	for _, tc := range []struct {
		target state.Target
		want   eligibility.Reason
	}{
		{state.Target{}, eligibility.Eligible},
		{state.Target{Hash: 1}, eligibility.Limited},
		{state.Target{Hash: 1, Draining: true}, eligibility.Draining},
		{state.Target{Hash: 1, Draining: true, Leaving: true, Evacuated: true}, eligibility.Leaving},
		{state.Target{Hash: 1, Evacuated: true}, eligibility.Evacuated},
	} {
		t.Run("reason "+tc.want.String(), func(t *testing.T) {
			qt.Assert(t, checker.Check(&tc.target, now).Reason, qt.Equals, tc.want)
		})
	}
	t.Run("a fetch asks only the rules", func(t *testing.T) {
		qt.Assert(t, checker.CheckRules(&state.Target{Hash: 1, Evacuated: true}, now), qt.Equals, limited)
		qt.Assert(t, checker.CheckRules(&state.Target{Evacuated: true}, now).Reason, qt.Equals, eligibility.Eligible)
	})
}

// Guards against callers that are told to return too early, too late, or for a reason that does
// not apply to all targets.
func TestRefusalNamesTheReasonThatEndsFirst(t *testing.T) {
	const second = time.Second
	backoff := func(d time.Duration) eligibility.Verdict {
		return eligibility.Verdict{Reason: eligibility.Backoff, Wait: d}
	}
	limited := func(d time.Duration) eligibility.Verdict {
		return eligibility.Verdict{Reason: eligibility.Limited, Wait: d}
	}
	target := func(hash uint64) *state.Target { return &state.Target{Hash: hash} }
	evacuated := &state.Target{Hash: 9, Evacuated: true}
	for name, tc := range map[string]struct {
		targets  []*state.Target
		verdicts map[uint64]eligibility.Verdict
		tried    map[uint64]bool
		want     eligibility.Verdict
	}{
		"no targets":                  {want: eligibility.Verdict{Reason: eligibility.None}},
		"all evacuated":               {targets: []*state.Target{evacuated}, want: eligibility.Verdict{Reason: eligibility.Evacuated}},
		"evacuated beside a free one": {targets: []*state.Target{evacuated, target(1)}, tried: map[uint64]bool{1: true}, want: eligibility.Verdict{Reason: eligibility.None}},
		"evacuated beside a limited one": {
			targets:  []*state.Target{evacuated, target(1)},
			verdicts: map[uint64]eligibility.Verdict{1: limited(second)}, want: limited(second),
		},
		"the shorter backoff": {
			targets:  []*state.Target{target(1), target(2)},
			verdicts: map[uint64]eligibility.Verdict{1: backoff(2 * second), 2: backoff(second)}, want: backoff(second),
		},
		"a limit before a backoff": {
			targets:  []*state.Target{target(1), target(2)},
			verdicts: map[uint64]eligibility.Verdict{1: backoff(second), 2: limited(2 * second)}, want: limited(second),
		},
		"backoff after an attempt": {
			targets:  []*state.Target{target(1)},
			verdicts: map[uint64]eligibility.Verdict{1: backoff(second)}, tried: map[uint64]bool{1: true}, want: backoff(second),
		},
		"a limited target that was tried": {
			targets:  []*state.Target{target(1)},
			verdicts: map[uint64]eligibility.Verdict{1: limited(second)}, tried: map[uint64]bool{1: true},
			want: eligibility.Verdict{Reason: eligibility.None},
		},
		"draining ones do not count": {
			targets: []*state.Target{{Hash: 1, Draining: true}}, want: eligibility.Verdict{Reason: eligibility.None},
		},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, rules(tc.verdicts).Refusal(tc.targets, tc.tried, now), qt.Equals, tc.want)
		})
	}
}
