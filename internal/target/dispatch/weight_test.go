package dispatch_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/policy/permits"
	"hickoryrock/internal/target/dispatch"
)

const megabyte = 1 << 20

// TestChatWeight checks that an idle target accepts the longest prompt at every load floor.
func TestChatWeight(t *testing.T) {
	c := qt.New(t)
	for _, floor := range []int{1, 4, 8, 100} {
		start := time.Unix(0, 0)
		ledger := permits.NewLedger()
		ledger.SetBound("care", permits.Bound{Factor: 1.25, Floor: floor})
		ledger.Confirm(start)
		ledger.Adopt(start, permits.Target{Name: "e1", Service: "care"})
		now := start
		for range 60 {
			now = now.Add(time.Second)
			ledger.Confirm(now)
			ledger.ReportLoad("e1", permits.Report{SampledAt: now})
		}
		p := permits.Permit{Holder: "r", ID: "1", Weight: uint32(dispatch.ChatWeight(megabyte, floor))}
		c.Check(ledger.Acquire(now, "e1", p), qt.Equals, permits.Granted, qt.Commentf("floor %d", floor))
	}
}
