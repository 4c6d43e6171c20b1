package forward_test

import (
	"io"
	"net"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

// Guards against calls beyond the limits of all targets that are sent all the same, or
// that wait for what cannot come.
func TestLimitsOfAllTargets(t *testing.T) {
	limited := always("200 OK", platformtest.LimitLine("0.5"), "x")
	t.Run("calls beyond them are refused with the time to return", func(t *testing.T) {
		f := newFixture(t, 1, limited)
		f.assertResponse(f.call("/once/a"), 200, "x") // Its answer names the limit.
		refused := 0
		for range 5 {
			got := f.call("/once/a")
			if got.Status == 200 {
				continue
			}
			refused++
			f.Assert(got.Status, qt.Equals, 503)
			after, err := strconv.ParseFloat(got.Field("retry-after"), 64)
			f.Assert(err, qt.IsNil)
			f.Assert(after > 0 && after <= 4.2, qt.IsTrue, qt.Commentf("Retry-After %v", after))
		}
		f.Assert(refused >= 4, qt.IsTrue, qt.Commentf("%d of 5 refused", refused))
		f.Assert(f.targetRequests() <= 2, qt.IsTrue)
	})
	t.Run("a target without a limit takes the rest", func(t *testing.T) {
		var f *fixture
		f = newFixture(t, 2, func(c net.Conn, r rawserver.Request) bool {
			line := ""
			if c.LocalAddr().String() == f.targets[0].Address() {
				line = platformtest.LimitLine("0.5")
			}
			_, err := io.WriteString(c, platformtest.Response(r, "200 OK", line, "x"))
			return err == nil
		})
		for range 20 {
			f.assertResponse(f.call("/once/a"), 200, "x")
		}
		f.Assert(len(f.targets[0].Requests()) <= 2, qt.IsTrue, qt.Commentf("%d calls", len(f.targets[0].Requests())))
	})
	t.Run("a limit in an answer that is an error counts", func(t *testing.T) {
		f := newFixture(t, 1, always("500 Error", platformtest.LimitLine("0.5"), "x"))
		for range 5 {
			_ = f.call("/once/a")
		}
		f.Assert(f.targetRequests() <= 2, qt.IsTrue)
	})
	for _, value := range []string{"-1", "NaN", "", "1e300", "inf", "0x1p3", "two"} {
		t.Run("an absurd limit is none: "+value, func(t *testing.T) {
			f := newFixture(t, 1, always("200 OK", platformtest.LimitLine(value), "x"))
			for range 5 {
				f.assertResponse(f.call("/once/a"), 200, "x")
			}
		})
	}
	t.Run("of two limits the lower one counts", func(t *testing.T) {
		f := newFixture(t, 1, always("200 OK", platformtest.LimitLine("1000")+platformtest.LimitLine("0.5"), "x"))
		for range 5 {
			_ = f.call("/once/a")
		}
		f.Assert(f.targetRequests() <= 2, qt.IsTrue)
	})
}
