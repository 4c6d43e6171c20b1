package forward

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/quarantine"
	"hickoryrock/internal/wire/http1"
)

// reasonCallerGone is the reason of calls whose caller has disconnected.
const reasonCallerGone = "caller-gone"

// hasSuccess reports whether the target returned a successful response.
func (c *call) hasSuccess() bool { return c.status/100 == 2 && c.progress.Outcome == Responded }

// isDone reports whether a successful response was written to the caller to its end.
func (c *call) isDone() bool { return c.hasSuccess() && !c.writer.WriteFailed() }

// record updates the metrics and writes the call's log line.
func (c *call) record() {
	elapsed := time.Since(c.start)
	if c.hasKeptUp() {
		c.recordTime(elapsed)
	}
	route, configuration := "", int64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.view.Configuration != nil {
		configuration = c.view.Configuration.Version
	}
	reason := c.reason
	switch {
	case c.isDone():
		reason = "done"
	case c.slow.ended.Load() != nil:
		reason = reasonSlowCaller
	case c.hasSuccess():
		reason = reasonCallerGone
	}
	metrics.GetOrCreateCounter(`hickoryrock_calls_total{reason="` + reason + `",status="` +
		strconv.Itoa(c.status) + `"}`).Inc()
	metrics.GetOrCreateHistogram(`hickoryrock_call_duration_seconds{service="` + c.service + `"}`).
		Update(elapsed.Seconds())
	line := c.h.Log.Info()
	if c.hasLoad {
		line = line.Int("target-running", c.load.Running).Int("target-waiting", c.load.Waiting)
	}
	if c.targetStatus != c.status && c.targetStatus != 0 {
		line = line.Int("target-status", c.targetStatus)
	}
	if c.slotWait > 0 {
		line = line.Dur("slot-wait-ms", c.slotWait).Str("coordinator", c.slotCoordinator)
	}
	if c.quarantined.Crashes > 0 {
		line = line.Str("quarantined", quarantine.PartName(c.quarantined.Part)).Int("crashes", c.quarantined.Crashes).
			Dur("last-crash-ago-ms", time.Since(c.quarantined.LastCrash))
	}
	if newest, behind := c.h.NewestConfiguration(); newest > configuration {
		line = line.Int64("newer-configuration", newest).Dur("behind-ms", behind)
	}
	c.logShutdown(line, time.Now()).Str("call", c.headers.ID).Int("connection-call", c.writer.Sequence()).Str("route", route).Str("service", c.service).
		Str("workspace", c.workspace.Name).Int64("configuration", configuration).
		Uint64("store-era", c.targets.Revision.Era).Uint64("targets-revision", c.targets.Revision.Number).Strs("targets", c.sentTo).
		Str("placement", string(c.placement.Reason)).Int("unread", c.placement.PrefillTokens).Int("reread", c.placement.RecomputedTokens).
		Int("fetched", c.placement.FetchedTokens).Strs("parts", partNames(c.sharedParts)).
		Dur("caller-waits-ms", c.headers.Deadline).Int("sends", c.progress.Attempts).Int("runs", c.progress.PossibleExecutions).
		Int("status", c.status).Str("framing", c.framing).Str("reason", reason).Bool("begun", c.writer.Started()).Dur("first-event-ms", c.timeToFirstEvent()).
		Dur("took-ms", elapsed).Msg("call")
}

// timeToFirstEvent returns the time to a stream's first event, or zero.
func (c *call) timeToFirstEvent() time.Duration {
	if c.firstEvent.IsZero() {
		return 0
	}
	return c.firstEvent.Sub(c.start)
}

// answerAge returns the time since the head of the last attempt's response.
func (c *call) answerAge(now time.Time) time.Duration { return now.Sub(c.attemptStart) - c.headAt }

// framingName returns the name of what ends a response's body.
func framingName(head *http1.Response) string {
	switch head.Length {
	case http1.Chunked:
		return "chunked"
	case http1.UntilClose:
		return "until-close"
	}
	return "length"
}

// logIncomplete logs and counts a response that is not complete because of err.
func (c *call) logIncomplete(target *state.Target, err error) {
	metrics.GetOrCreateCounter(`hickoryrock_incomplete_answers_total{framing="` + c.framing + `"}`).Inc()
	c.h.Log.Warn().Str("call", c.headers.ID).Str("target", target.ID).Str("framing", c.framing).
		Str("last-event", c.stream.lastID).Int("bytes-after-last-event", len(c.stream.pending)).
		Bool("begun", c.writer.Started()).Int64("answer-age-ms", c.answerAge(time.Now()).Milliseconds()).
		AnErr("cause", err).Msg("answer incomplete")
}
