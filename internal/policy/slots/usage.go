package slots

import "time"

const (
	// unknownDuration is the duration of calls that is assumed before the first one ends.
	unknownDuration = 50 * time.Millisecond
	// durationHalfLife is the age at which a call's duration counts half.
	durationHalfLife = 5 * time.Second
	// minDurations is the number of calls of a kind from which a target's pace is measured by
	// them. Otherwise the target of the first call seems fast or slow.
	minDurations = 3
	// shareHalfLife is the age at which a grant to a workspace counts half.
	shareHalfLife = 2 * time.Second
	// rateHalfLife is the age at which releases and arrivals count half.
	rateHalfLife = time.Second
	// maxKinds bounds the priorities that are told apart in statistics.
	maxKinds = 16
	// maxWorkspaces bounds the workspaces whose recent grants are counted.
	maxWorkspaces = 4096
	// minGrants is the decayed number of grants below which a workspace is forgotten.
	minGrants = 0.05
)

type (
	// usage holds recent statistics of a service.
	usage struct {
		// durations and leases are the seconds that calls take at their target, and those for
		// which they occupy a place, by kind.
		durations, leases [maxKinds]average
		duration          average
		arrivals          [maxKinds]average
		// busy is the recent time in seconds in which requests waited, releases the number
		// of releases in it.
		busy, releases average
		workspaces     map[uint64]*average
	}
)

func newUsage() *usage { return &usage{workspaces: make(map[uint64]*average)} }

func kindOf(priority int) int { return min(priority, maxKinds-1) }

func (u *usage) recordRequest(priority int, now time.Time) {
	u.arrivals[kindOf(priority)].add(0, now, rateHalfLife)
}

func (u *usage) recordGrant(workspace uint64, now time.Time) {
	a := u.workspaces[workspace]
	if a == nil {
		if len(u.workspaces) >= maxWorkspaces {
			u.forgetWorkspaces(now)
		}
		a = &average{}
		u.workspaces[workspace] = a
	}
	a.add(0, now, shareHalfLife)
}

// forgetWorkspaces forgets the workspaces with few recent grants, or all if none has few.
func (u *usage) forgetWorkspaces(now time.Time) {
	for w, a := range u.workspaces {
		if a.decay(now, shareHalfLife); a.weight < minGrants {
			delete(u.workspaces, w)
		}
	}
	if len(u.workspaces) >= maxWorkspaces {
		clear(u.workspaces)
	}
}

// grants returns the decayed number of recent grants to a workspace.
func (u *usage) grants(workspace uint64, now time.Time) int {
	a := u.workspaces[workspace]
	if a == nil {
		return 0
	}
	a.decay(now, shareHalfLife)
	return int(a.weight)
}

func (u *usage) recordDurations(priority int, took, lease time.Duration, now time.Time) {
	kind := kindOf(priority)
	u.durations[kind].add(took.Seconds(), now, durationHalfLife)
	u.duration.add(took.Seconds(), now, durationHalfLife)
	u.leases[kind].add(lease.Seconds(), now, durationHalfLife)
}

// usual returns how long a call of a priority usually takes, above 0.
func (u *usage) usual(priority int) time.Duration {
	return u.durations[kindOf(priority)].duration(u.mean())
}

// known returns how long a call of a priority usually takes, if enough were measured.
func (u *usage) known(priority int) (time.Duration, bool) {
	return u.usual(priority), u.durations[kindOf(priority)].weight >= minDurations
}

// usualLease returns how long a call of a priority usually occupies a place, above 0.
func (u *usage) usualLease(priority int) time.Duration {
	return u.leases[kindOf(priority)].duration(u.mean())
}

// mean returns the mean duration of recent calls, above 0.
func (u *usage) mean() time.Duration { return u.duration.duration(unknownDuration) }

// duration returns the mean of an average of seconds, above 0, or a default if it is empty.
func (a *average) duration(whenEmpty time.Duration) time.Duration {
	if a.weight == 0 {
		return whenEmpty
	}
	return max(time.Duration(a.sum/a.weight*float64(time.Second)), time.Microsecond)
}

// recordTime records that requests have waited, or not, from one time to another.
func (u *usage) recordTime(from, to time.Time, isBusy bool) {
	if isBusy {
		u.busy.add(to.Sub(from).Seconds(), to, rateHalfLife)
	}
}

func (u *usage) recordRelease(isBusy bool, now time.Time) {
	if isBusy {
		u.releases.add(1, now, rateHalfLife)
	}
}
