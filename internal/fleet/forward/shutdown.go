package forward

import (
	"time"

	"github.com/rs/zerolog"
)

const reasonStopped = "router-stopped"

// Shutdown is the planned stop of a router.
type Shutdown struct {
	// Since is when the router was told to stop, End when it ends the calls that are still in
	// progress.
	Since, End time.Time
}

// logShutdown adds to a call's log line when it arrived and ended in a planned stop.
func (c *call) logShutdown(line *zerolog.Event, now time.Time) *zerolog.Event {
	if c.h.Shutdown == nil {
		return line
	}
	s := c.h.Shutdown()
	if s == nil {
		return line
	}
	return line.Int64("arrived-in-drain-ms", c.start.Sub(s.Since).Milliseconds()).
		Int64("drain-left-ms", s.End.Sub(now).Milliseconds())
}
