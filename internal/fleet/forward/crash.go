package forward

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/target/http1client"
)

const (
	// crashWait is how long a call waits to learn what has become of its target.
	crashWait = 150 * time.Millisecond
	// crashProbeTimeout bounds one probe. A lost packet is sent again after a second.
	crashProbeTimeout = 1500 * time.Millisecond
	// inquiryTime is how long a router follows a target that did not refuse a probe: it may have
	// started again before, or its VM may respond later.
	inquiryTime = 3 * time.Second
	// inquiryInterval is the time between two looks at the list of targets.
	inquiryInterval = 100 * time.Millisecond
	// reprobeInterval is the time between two probes of a target that does not respond.
	reprobeInterval = 500 * time.Millisecond
	// crashMemory is how long a crash is remembered for calls that notice it later.
	crashMemory = 10 * time.Second
	// maxInquiries bounds the targets that are followed at once, maxWaitingEnds the ends of
	// attempts at one of them that wait for the result.
	maxInquiries   = 512
	maxWaitingEnds = 256
)

const (
	// sightRefused means that no process listens on the target's address.
	sightRefused sight = "refused"
	// sightRestarted means that a later incarnation of the target is listed.
	sightRestarted sight = "restarted"
	// sightAccepted means that the target accepts connections.
	sightAccepted sight = "accepted"
	// sightNone means that the target does not respond, or not yet.
	sightNone sight = "no-response"
	// sightLeft means that the target drains or is no longer listed.
	sightLeft sight = "left"
)

type (
	// sight is what a router sees of a target that has left a call without a whole response.
	sight string

	// crashInquiries finds out which targets have crashed. It is safe for concurrent use.
	crashInquiries struct {
		view func() *state.View
		pool *http1client.Pool

		mu       sync.Mutex
		byTarget map[uint64]*inquiry
		running  int
	}

	// inquiry finds out whether one incarnation of a target has crashed. All calls that it leaves
	// without a whole response at about the same time share it.
	inquiry struct {
		target *state.Target
		// looked is closed after the first look.
		looked chan struct{}
		// lookedAt is the time of the first look, zero before, and seen what was seen last. Both
		// are guarded by the lock of crashInquiries, as is onCrash.
		lookedAt time.Time
		seen     sight
		// onCrash is called for each end that waits for the result.
		onCrash []func()
	}
)

func newCrashInquiries(view func() *state.View, pool *http1client.Pool) *crashInquiries {
	return &crashInquiries{view: view, pool: pool, byTarget: make(map[uint64]*inquiry)}
}

// hasCrashed reports whether what is seen of a target shows that it has ended without notice.
func (s sight) hasCrashed() bool { return s == sightRefused || s == sightRestarted }

// inquire finds out whether a target has crashed, or joins an inquiry whose first look is not older
// than maxAge. It returns what is seen of the target within crashWait. onCrash is called if the target
// turns out later to have crashed.
func (c *crashInquiries) inquire(ctx context.Context, target *state.Target, maxAge time.Duration, onCrash func()) sight {
	i := c.join(target, maxAge, onCrash)
	if i == nil {
		return sightNone
	}
	ctx, cancel := context.WithTimeout(ctx, crashWait)
	defer cancel()
	select {
	case <-i.looked:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return i.seen
}

// join returns the inquiry that onCrash has joined, or one that has found a crash. It returns nil
// if there are too many inquiries.
func (c *crashInquiries) join(target *state.Target, maxAge time.Duration, onCrash func()) *inquiry {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.byTarget[target.Hash]
	if i != nil && i.seen.hasCrashed() {
		return i
	}
	if i == nil || (!i.lookedAt.IsZero() && time.Since(i.lookedAt) > maxAge) {
		if c.running >= maxInquiries {
			countDroppedEnd()
			return nil
		}
		i = &inquiry{target: target, looked: make(chan struct{}), seen: sightNone}
		c.byTarget[target.Hash] = i
		c.running++
		go c.run(i)
	}
	if len(i.onCrash) >= maxWaitingEnds {
		countDroppedEnd()
	} else {
		i.onCrash = append(i.onCrash, onCrash)
	}
	return i
}

func countDroppedEnd() { metrics.GetOrCreateCounter(`hickoryrock_crash_inquiries_dropped_total`).Inc() }

// run follows a target until it is known whether it has crashed, or for inquiryTime.
func (c *crashInquiries) run(i *inquiry) {
	s := c.look(i.target)
	end := time.Now().Add(inquiryTime)
	c.recordLook(i, s)
	for probedAt := time.Now(); !s.hasCrashed() && s != sightLeft && time.Now().Before(end); {
		time.Sleep(inquiryInterval)
		if listed := c.listed(i.target); listed != sightAccepted {
			s = listed
		} else if s == sightNone && time.Since(probedAt) > reprobeInterval {
			s, probedAt = c.look(i.target), time.Now()
		}
	}
	c.finish(i, s)
}

// recordLook records the result of the first look.
func (c *crashInquiries) recordLook(i *inquiry, s sight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i.seen, i.lookedAt = s, time.Now()
	close(i.looked)
}

// finish tells the ends that wait of a crash, and remembers it for others.
func (c *crashInquiries) finish(i *inquiry, s sight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	i.seen = s
	if s.hasCrashed() {
		for _, onCrash := range i.onCrash {
			go onCrash()
		}
	}
	i.onCrash = nil
	forget := func() {
		if c.byTarget[i.target.Hash] == i {
			delete(c.byTarget, i.target.Hash)
		}
	}
	if !s.hasCrashed() || i.target.StartUnixMilli == 0 { // The next incarnation may have the same hash.
		forget()
		return
	}
	c.byTarget[i.target.Hash] = i
	time.AfterFunc(crashMemory, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		forget()
	})
}

// look finds out what has become of a target from the list of targets and by a new connection.
func (c *crashInquiries) look(target *state.Target) sight {
	if s := c.listed(target); s != sightAccepted {
		return s
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	switch c.pool.Probe(ctx, endpoint(target)) {
	case http1client.ProbeRefused:
		// The target may have stopped as planned meanwhile, or may be back.
		if s := c.listed(target); s != sightAccepted {
			return s
		}
		return sightRefused
	case http1client.ProbeAccepted:
		return sightAccepted
	}
	return sightNone
}

// listed returns sightAccepted if this incarnation of a target is listed and not draining,
// sightRestarted if a later one is, and otherwise sightLeft.
func (c *crashInquiries) listed(target *state.Target) sight {
	for _, t := range c.view().Targets.ByService[target.Service] {
		switch {
		case t.Hash == target.Hash && !t.Draining:
			return sightAccepted
		case t.ID == target.ID && t.StartUnixMilli > target.StartUnixMilli:
			return sightRestarted
		}
	}
	return sightLeft
}
