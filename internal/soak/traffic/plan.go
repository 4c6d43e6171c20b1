package traffic

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	// minLongWork and maxLongWork bound how long targets work on long calls.
	minLongWork = 500 * time.Millisecond
	maxLongWork = 7 * time.Second
	// minLongGap and maxLongGap bound the pauses between the events of long streams.
	minLongGap = 100 * time.Millisecond
	maxLongGap = 250 * time.Millisecond
	// longDeadlineMS is the deadline, in milliseconds, that callers send with long calls.
	longDeadlineMS = 12000
	// routeTimeout is the timeout of the routes of other calls.
	routeTimeout = 3 * time.Second
)

// longPrefixes are the path prefixes of calls whose paths say how long targets work on them.
var longPrefixes = []string{platformtest.PathLong, platformtest.PathLongResume, platformtest.PathWork}

// plan is the work of a target on a call: a stream's events and the pause after each, or
// one whole answer after the pause.
type plan struct {
	events int
	gap    time.Duration
	long   bool
}

// drawLongPath returns the path of a random long call, from which planOf derives its work.
func drawLongPath() string {
	total := minLongWork + rand.N(maxLongWork-minLongWork)
	prefix := longPrefixes[rand.IntN(len(longPrefixes))]
	if prefix == platformtest.PathWork {
		return fmt.Sprintf("%s1-%d", prefix, total.Milliseconds())
	}
	gap := minLongGap + rand.N(maxLongGap-minLongGap)
	return fmt.Sprintf("%s%d-%d", prefix, 1+total/gap, gap.Milliseconds())
}

// planOf returns the work that a call's path asks for.
func planOf(path string) plan {
	for _, prefix := range longPrefixes {
		rest, ok := strings.CutPrefix(path, prefix)
		var events, ms int
		if n, _ := fmt.Sscanf(rest, "%d-%d", &events, &ms); ok && n == 2 {
			return plan{events: events, gap: time.Duration(ms) * time.Millisecond, long: true}
		}
	}
	return plan{events: eventsPerStream, gap: eventGap}
}

// body returns the whole body of the answer to a call.
func (p plan) body(id, path string) string {
	if !isStream(path) {
		return WholeBody(id)
	}
	var whole strings.Builder
	for n := 1; n <= p.events; n++ {
		whole.WriteString(p.event(id, n))
	}
	return whole.String()
}

// event returns event n, from 1, of a call's stream.
func (p plan) event(call string, n int) string {
	end := ""
	if n == p.events {
		end = " end"
	}
	return fmt.Sprintf("id: %d\ndata: %s %d%s\n\n", n, call, n, end)
}

// deadlineMS returns the deadline that callers send, in milliseconds.
func (p plan) deadlineMS() int {
	if p.long {
		return longDeadlineMS
	}
	return deadlineMS
}

// limit returns the call's deadline or its route's timeout, whichever is shorter.
func (p plan) limit() time.Duration {
	if p.long {
		return min(longDeadlineMS, platformtest.LongTimeoutMS) * time.Millisecond
	}
	return routeTimeout
}

// responseTimeout is how long a caller waits for the whole answer.
func (p plan) responseTimeout() time.Duration {
	return time.Duration(p.deadlineMS())*time.Millisecond + responseMargin
}

// WholeBody returns the complete body of the response to a call that is no stream.
func WholeBody(call string) string { return "whole answer to " + call }

func isStream(path string) bool {
	return hasAnyPrefix(path, platformtest.PathStream, platformtest.PathResume, platformtest.PathLong, platformtest.PathLongResume)
}

// maxTargets returns the number of targets on which the configuration allows a
// call to run.
func maxTargets(path string) int {
	if hasAnyPrefix(path, platformtest.PathSafe, platformtest.PathResume, platformtest.PathLongResume) {
		return 2
	}
	return 1
}

func isAtMostOnce(path string) bool {
	return hasAnyPrefix(path, platformtest.PathStream, platformtest.PathOnce, platformtest.PathLong, platformtest.PathWork)
}

func hasAnyPrefix(path string, prefixes ...string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}
