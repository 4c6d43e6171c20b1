package edge

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
)

// Guards against owners of memory that operators do not see.
func TestMemoryIsExportedByOwner(t *testing.T) {
	f := newFixture(t)
	f.configure()
	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	for _, name := range []string{
		`hickoryrock_memory_bytes{owner="request-bodies"}`, `hickoryrock_memory_peak_bytes{owner="request-bodies"}`,
		`hickoryrock_memory_bytes{owner="responses"}`, `hickoryrock_memory_peak_bytes{owner="responses"}`,
		`hickoryrock_memory_bytes{owner="slow-callers"}`, `hickoryrock_memory_peak_bytes{owner="slow-callers"}`,
		`hickoryrock_entries{owner="cache-index"}`, `hickoryrock_entries{owner="cache-announcements"}`,
		`hickoryrock_entries{owner="peer-reports"}`,
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, out.String(), qt.Contains, name+" ") })
	}
}
