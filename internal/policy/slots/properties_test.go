package slots_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryrock/internal/policy/slots"
)

const (
	checkedCapacity = 6
	checkedTargets  = 3
)

// checked is a pool with what its clients know of it. Each step checks the replies.
type checked struct {
	*rapid.T
	pool    *slots.Pool
	now     time.Time
	targets []slots.Target
	// asked holds the requests by key, final the last reply to each, over those that were
	// released or cancelled, or whose deadline has passed.
	asked map[slots.Key]slots.Request
	final map[slots.Key]slots.Reply
	over  map[slots.Key]bool
}

func newChecked(t *rapid.T) *checked {
	c := &checked{
		T: t, pool: slots.NewPool(slots.WithCapacity(checkedCapacity)), now: start,
		asked: make(map[slots.Key]slots.Request), final: make(map[slots.Key]slots.Reply), over: make(map[slots.Key]bool),
	}
	c.setTargets()
	return c
}

func (c *checked) setTargets() {
	c.targets = nil
	for hash := range uint64(checkedTargets) {
		c.targets = append(c.targets, slots.Target{
			Hash: hash + 1, Slots: rapid.IntRange(1, 3).Draw(c.T, "slots"), Window: rapid.IntRange(0, 3).Draw(c.T, "window"),
			IsEligible: rapid.IntRange(0, 3).Draw(c.T, "eligible") > 0,
		})
	}
	c.take(c.pool.SetTargets(c.targets, c.now))
}

func (c *checked) key() slots.Key { return key(rapid.Uint64Range(0, 40).Draw(c.T, "serial")) }

// hasRoom reports whether a request may use a free place.
func (c *checked) hasRoom(r slots.Request) bool {
	return slices.ContainsFunc(c.pool.Summary(c.now).Targets, func(s slots.TargetSummary) bool {
		return s.InFlight < s.Places && !slices.Contains(r.Excluded, s.Hash)
	})
}

func (c *checked) request() {
	k := c.key()
	r, isRepeated := c.asked[k]
	if !isRepeated {
		left := time.Duration(rapid.IntRange(0, 2000).Draw(c.T, "left")) * ms
		r = slots.Request{
			Key: k, Workspace: rapid.Uint64Range(1, 3).Draw(c.T, "workspace"), Priority: rapid.IntRange(0, 2).Draw(c.T, "priority"),
			Objective: c.now.Add(left / 4), Deadline: c.now.Add(left),
			Excluded: rapid.SliceOfN(rapid.Uint64Range(1, checkedTargets), 0, 2).Draw(c.T, "excluded"),
		}
	}
	c.take(c.pool.Expire(c.now)) // What waits gets the places that time has freed.
	room := c.hasRoom(r)
	reply := c.pool.Request(r, c.now)
	c.asked[k] = r
	if reply.Kind == slots.Refused {
		if !isRepeated && !c.over[k] && room && r.Deadline.After(c.now) {
			c.Fatalf("%v refused although a place is free", k)
		}
	}
	if !isRepeated && !c.over[k] && room && r.Deadline.After(c.now) && reply.Kind != slots.Granted {
		c.Fatalf("%v not granted at once: %+v", k, reply)
	}
	c.check(reply)
	c.take(c.pool.Expire(c.now))
}

func (c *checked) release() {
	k := c.key()
	r := slots.Result{
		Took:      time.Duration(rapid.IntRange(0, 300).Draw(c.T, "took")) * ms,
		Succeeded: rapid.Bool().Draw(c.T, "succeeded"), HasLoad: rapid.Bool().Draw(c.T, "has load"),
		Running: rapid.IntRange(0, 4).Draw(c.T, "running"), Queued: rapid.IntRange(0, 2).Draw(c.T, "queued"),
	}
	r.Refused = !r.Succeeded && rapid.Bool().Draw(c.T, "refused")
	c.over[k] = true
	c.take(c.pool.Release(k, r, c.now))
}

func (c *checked) cancel() {
	k := c.key()
	c.over[k] = true
	c.take(c.pool.Cancel(k, c.now))
}

func (c *checked) take(replies []slots.Reply) {
	seen := make(map[slots.Key]bool)
	for _, r := range replies {
		if seen[r.Key] {
			c.Fatalf("two replies to %v", r.Key)
		}
		seen[r.Key] = true
		if _, ok := c.asked[r.Key]; !ok {
			c.Fatalf("reply to %v, which has not asked", r.Key)
		}
		c.check(r)
	}
}

// check checks a reply against earlier ones to the same request and against the rules.
func (c *checked) check(r slots.Reply) {
	req := c.asked[r.Key]
	if before, ok := c.final[r.Key]; ok && before != r {
		isOver := c.over[r.Key] || !req.Deadline.After(c.now)
		if !isOver || r.Kind != slots.Refused {
			c.Fatalf("%+v after %+v", r, before)
		}
	}
	switch r.Kind {
	case slots.Granted:
		_, isRepeated := c.final[r.Key]
		if (c.over[r.Key] || !req.Deadline.After(c.now)) && !isRepeated {
			c.Fatalf("%v granted after its end", r.Key)
		}
		if slices.Contains(req.Excluded, r.Target) {
			c.Fatalf("%v granted excluded target %d", r.Key, r.Target)
		}
		if t := c.targets[r.Target-1]; !t.IsEligible && !isRepeated {
			c.Fatalf("%v granted target %d, which is not eligible", r.Key, r.Target)
		}
		c.final[r.Key] = r
	case slots.Refused:
		if r.RetryAfter <= 0 || r.RetryAfter > time.Minute {
			c.Fatalf("%v refused with a Retry-After of %v", r.Key, r.RetryAfter)
		}
		c.final[r.Key] = r
	}
}

// checkState checks that places are kept and used, and that no request waits too long.
func (c *checked) checkState() {
	c.take(c.pool.Expire(c.now))
	s := c.pool.Summary(c.now)
	held, waiting := 0, 0
	for k, r := range c.asked {
		final, ok := c.final[k]
		switch {
		case ok && final.Kind == slots.Granted && !c.over[k] && r.Deadline.After(c.now):
			held++
		case !ok && !c.over[k]:
			waiting++
			if c.hasRoom(r) {
				c.Fatalf("%v waits although a place is free: %+v", k, s)
			}
			if !r.Deadline.After(c.now) {
				c.Fatalf("%v waits after its deadline", k)
			}
		}
	}
	lost := 0
	for _, t := range s.Targets {
		lost += t.Lost
	}
	if s.InFlight+lost != held || s.Waiting != waiting || waiting > checkedCapacity {
		c.Fatalf("%+v, want %d in flight and %d waiting", s, held, waiting)
	}
}

// Guards against calls that are granted twice, after their end or beyond the places of a
// target; against requests that wait or are refused although a place is free, that are
// forgotten, or that get different replies; whatever is requested, repeated, released,
// cancelled and lost in whatever order.
func TestRepliesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChecked(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { c.checkState() },
			"request":  func(*rapid.T) { c.request() },
			"request2": func(*rapid.T) { c.request() },
			"request3": func(*rapid.T) { c.request() },
			"release":  func(*rapid.T) { c.release() },
			"cancel":   func(*rapid.T) { c.cancel() },
			"targets":  func(*rapid.T) { c.setTargets() },
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "ms")) * ms)
			},
		})
	})
}

// Guards against more calls at a target than its slots and one, or its window, while calls are
// granted, released in any order and lost.
func TestTargetsKeepTheirPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := []slots.Target{target(1, 2), target(2, 1), {Hash: 3, Slots: 4, Window: 2, IsEligible: true}}
		limits := []int{3, 2, 2}
		p, now := newPool(targets...), start
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i, s := range p.Summary(now).Targets {
					if s.InFlight > limits[i] || s.Places > limits[i] {
						t.Fatalf("target %+v, at most %d", s, limits[i])
					}
				}
			},
			"request": func(t *rapid.T) {
				p.Request(request(rapid.Uint64Range(0, 60).Draw(t, "serial"), now), now)
			},
			"release": func(t *rapid.T) {
				r := slots.Result{Took: 10 * ms, Succeeded: true, HasLoad: true, Running: rapid.IntRange(0, 5).Draw(t, "running")}
				p.Release(key(rapid.Uint64Range(0, 60).Draw(t, "serial")), r, now)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * ms)
			},
		})
	})
}

// Guards against an order in which a request stays behind others, whatever their urgency and
// workspace: with one place that is used again and again, none that waits is overtaken once
// it has waited for half of its deadline.
func TestNoneWaitsBehindOthersForLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now, serial := newPool(target(1, 1)), start, uint64(0)
		asked := make(map[slots.Key]slots.Request)
		half := func(k slots.Key) time.Time {
			r := asked[k]
			return r.Objective.Add(r.Deadline.Sub(r.Objective) / 3) // The objective ends after a quarter.
		}
		var held []slots.Key
		granted := func(replies []slots.Reply) {
			for _, r := range replies {
				if r.Kind == slots.Granted {
					for k := range asked {
						if k != r.Key && !now.Before(half(k)) && now.Before(asked[k].Deadline) && half(k).Before(half(r.Key)) {
							t.Fatalf("%v granted before %v, which has waited for half of its deadline", r.Key, k)
						}
					}
					held = append(held, r.Key)
				}
				delete(asked, r.Key)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * ms)
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				granted(p.Expire(now))
				serial++
				left := time.Duration(rapid.IntRange(1, 10).Draw(t, "left")) * 200 * ms
				r := slots.Request{
					Key: key(serial), Workspace: rapid.Uint64Range(1, 3).Draw(t, "workspace"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Objective: now.Add(left / 4), Deadline: now.Add(left),
				}
				asked[r.Key] = r
				if reply := p.Request(r, now); reply.Kind != slots.Waiting {
					granted([]slots.Reply{reply})
				}
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				k := held[0]
				held = held[1:]
				granted(p.Release(k, slots.Result{Took: 20 * ms, Succeeded: true}, now))
			}
		}
	})
}
