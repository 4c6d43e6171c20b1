package forward

import (
	"sync"
	"time"

	"hickoryrock/internal/fleet/state"
)

const (
	// eventsPerPace is the number of events of a stream in one measurement of its
	// target's pace.
	eventsPerPace = 4
	// usualTimeWeight is the weight of a new measurement in a route's usual time.
	usualTimeWeight = 0.05
	// maxUsualRoutes bounds the routes whose usual time is kept; operators rename routes.
	// All are measured anew beyond it.
	maxUsualRoutes = 8192
	// minUsualSamples is the number of measurements after which the usual time is known.
	minUsualSamples = 3
)

type (
	// usualTimes holds the usual time of each route's calls, or of an event of its
	// streams, over all targets. It is safe for concurrent use.
	usualTimes struct {
		mu     sync.Mutex
		routes map[string]*usualTime
	}

	usualTime struct {
		// mean is in nanoseconds.
		mean    float64
		samples int
	}

	// streamPace measures the time between the events of a stream.
	streamPace struct {
		since  time.Time
		events int
	}
)

// ratio adds a measurement and returns it as a multiple of the route's usual time. It
// returns false until that is known.
func (u *usualTimes) ratio(route string, took time.Duration) (float64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.routes == nil || len(u.routes) > maxUsualRoutes {
		u.routes = make(map[string]*usualTime)
	}
	t := u.routes[route]
	if t == nil {
		t = new(usualTime)
		u.routes[route] = t
	}
	t.samples++
	weight := max(usualTimeWeight, 1/float64(t.samples))
	t.mean += weight * (float64(took) - t.mean)
	if t.samples < minUsualSamples || t.mean <= 0 {
		return 0, false
	}
	return float64(took) / t.mean, true
}

// mean returns the usual time of a route's calls, and false until it is known.
func (u *usualTimes) mean(route string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.routes[route]
	if t == nil || t.samples < minUsualSamples {
		return 0, false
	}
	return time.Duration(t.mean), true
}

// add counts events and returns the time that one took, once there are enough of them.
// The time before the first event is not counted: it depends on the prompt.
func (p *streamPace) add(events int, now time.Time) (perEvent time.Duration, ok bool) {
	if p.since.IsZero() {
		p.since = now
		return 0, false
	}
	p.events += events
	if p.events < eventsPerPace {
		return 0, false
	}
	perEvent = now.Sub(p.since) / time.Duration(p.events)
	p.since, p.events = now, 0
	return perEvent, true
}

// recordPace records how long a target took for a call or an event of it.
func (c *call) recordPace(target *state.Target, took time.Duration, now time.Time) {
	if ratio, ok := c.h.usual.ratio(c.route.Name, took); ok {
		c.h.TargetHealth.RecordPace(target.Hash, ratio, now)
		if c.h.Pace != nil && ratio >= slowAnswerFactor {
			c.h.Pace.RecordSlow(target.Hash, now)
		}
	}
}

// hasStaleCounts reports whether a call of this route usually takes less time than the
// routers' reports of their calls are old.
func (c *call) hasStaleCounts() bool {
	if c.h.ReportInterval == nil || c.route.Streaming {
		return false
	}
	usual, ok := c.h.usual.mean(c.route.Name)
	return ok && usual < c.h.ReportInterval()
}
