package targetpace

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

type (
	// Pace says how a target is held back.
	Pace struct {
		// Cold is set if the bound for cold targets applies.
		Cold bool
		// Window is the fleet's window of calls in flight, or zero for a settled target.
		Window int
	}

	// Warming describes a target that is not settled or cold.
	Warming struct {
		Target  uint64
		Service string
		Pace
		// Limited is set if the window applies: the service has other targets for the load.
		Limited bool
		// Share is the part of the window that this router may use, InFlight what it uses.
		Share, InFlight int
		Epoch           uint32
		ColdLeft        time.Duration
		// Why is the reason of the last change in kebab case, Since its time.
		Why   string
		Since time.Time
	}
)

// String returns the pace in kebab case.
func (p Pace) String() string {
	switch {
	case p.Cold && p.Window == 0:
		return "cold"
	case p.Cold:
		return "cold-window-" + strconv.Itoa(p.Window)
	case p.Window > 0:
		return "window-" + strconv.Itoa(p.Window)
	}
	return "settled"
}

// Warming returns the targets that are cold or not settled, by hash.
func (t *Tracker) Warming(now time.Time) []Warming {
	t.lock(now)
	defer t.unlock()
	var out []Warming
	for _, known := range t.targets {
		t.advance(known, now)
		pace := known.pace()
		if pace == (Pace{}) {
			continue
		}
		w := Warming{
			Target: known.hash, Service: known.service, Pace: pace, Limited: t.isLimited(known, now), Epoch: known.window.epoch,
			InFlight: t.inFlight[known.hash], Why: known.why, Since: known.changedAt,
		}
		if w.Limited {
			w.Share = t.share(known)
		}
		if pace.Cold {
			w.ColdLeft = known.cold.until.Sub(now)
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b Warming) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

func (k *target) pace() Pace {
	p := Pace{Cold: k.cold.active}
	if k.window.open {
		p.Window = k.window.size()
	}
	return p
}
