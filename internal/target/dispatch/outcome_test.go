package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/caller/outcome"
)

// Guards against a call reported as not run because its last target refused it, although an
// earlier one may have run it.
func TestRefusalDoesNotSpeakForEarlierAttempts(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		t.Run(lost, func(t *testing.T) {
			fx := newCallFixture("a", "b", "c")
			for _, name := range []string{"a", "b", "c"} {
				fx.failures[name] = outcome.NewNotRun(outcome.ReasonTargetRefused, "refused")
			}
			fx.failures[lost] = outcome.NewUnknown(outcome.ReasonConnectionLost, "lost")
			f := fx.get()
			qt.Assert(t, fx.sent, qt.HasLen, 3)
			qt.Assert(t, f.Status, qt.Equals, outcome.Unknown, qt.Commentf("%v", f))
			qt.Assert(t, f.Reason, qt.Equals, outcome.ReasonConnectionLost)
		})
	}
}
