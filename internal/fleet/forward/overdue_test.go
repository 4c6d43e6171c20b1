package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/affinity"
)

// In the first seconds after a start, engines process every prompt for the first
// time. An engine that is busy with prefill must not count as failing.
func TestOverdueAfterAllowsForPrefill(t *testing.T) {
	tests := []struct {
		name      string
		objective time.Duration
		choice    affinity.Choice
		least     time.Duration
		most      time.Duration
	}{
		{"a call without a prompt", 100 * time.Millisecond, affinity.Choice{}, 100 * time.Millisecond, 100 * time.Millisecond},
		{"a route without an objective", 0, affinity.Choice{}, 100 * time.Millisecond, 100 * time.Millisecond},
		{
			// An engine processes 30,000 tokens in about 0.9 s.
			"a prompt queued behind long ones", 600 * time.Millisecond, affinity.Choice{PendingTokens: 20000, PrefillTokens: 10000},
			1500 * time.Millisecond, 3 * time.Second,
		},
		{
			"a mostly cached prompt", 600 * time.Millisecond, affinity.Choice{PrefillTokens: 500},
			600 * time.Millisecond, 700 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := overdueAfter(test.objective, test.choice)
			qt.Assert(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
