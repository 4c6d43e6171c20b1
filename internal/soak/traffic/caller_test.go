package traffic

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

// Guards against refusals that the oracle does not judge because they bear a target's seal (issue 61): each
// of the four statuses promises that a call has not run and never will, whoever has written it.
func TestRefusalsOfCallsThatHaveRun(t *testing.T) {
	for path, isAtMostOnce := range map[string]bool{
		platformtest.PathOnce + "x": true, platformtest.PathStream + "x": true, platformtest.PathLong + "2-5": true, platformtest.PathWork + "1-5": true,
		platformtest.PathSafe + "x": false, platformtest.PathResume + "x": false, platformtest.PathLongResume + "2-5": false,
	} {
		for _, status := range []int{408, 421, 429, 500, 502, 503, 504} {
			for _, isSealed := range []bool{false, true} {
				for _, hasRun := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d on %s, seal %t, run %t", status, path, isSealed, hasRun), func(t *testing.T) {
						r := oracle.New()
						if hasRun {
							r.RecordRun("c-1", maxTargets(path), "t")
						}
						lines := ""
						if isSealed {
							lines = platformtest.SealLine
						}
						raw := platformtest.ResponseTo(fmt.Sprint(status, " Failure"), lines)
						head, err := http1.ReadResponse(bufio.NewReader(strings.NewReader(raw)), maxHeaderBytes, http.MethodPost)
						qt.Assert(t, err, qt.IsNil)
						caller := NewCaller("c", nil, r, Behavior{})
						caller.checkResponse(&attempt{id: "c-1", path: path, plan: planOf(path)}, head, "")
						want := 0
						if hasRun && isAtMostOnce && slices.Contains([]int{408, 421, 429, 503}, status) {
							want = 1
						}
						_, counts := r.Violations()
						qt.Assert(t, counts[oracle.RefusedButRan], qt.Equals, want)
					})
				}
			}
		}
	}
}
