package permits

import "time"

type (
	// entry is the ledger of one target. The lock of its shard guards it.
	entry struct {
		target Target
		// leaseGeneration is the generation of the lease in which the entry was
		// last contested.
		leaseGeneration uint64
		epoch           uint64
		contestedAt     time.Time
		// settled means that the entry cannot be missing permits of another
		// owner.
		settled bool
		// cededTo is the router that owns the target now, or empty if this one
		// does.
		cededTo string
		cededAt time.Time
		grants  map[grantKey]grant
		load    uint64
		// report is the latest report; its time is zero if there was none.
		report Report
		// foreign is an upper bound on what is in flight without a permit in
		// grants, because a former owner granted the permit or because it
		// expired. It is valid until foreignEnd.
		foreign    Usage
		foreignEnd time.Time
		// peaks are the highest usage by grants since the last report, and in
		// the interval before that report.
		peaks [2]Usage
	}

	grantKey struct {
		holder, id string
	}

	grant struct {
		weight    uint32
		grantedAt time.Time
		renewedAt time.Time
	}
)

func (e *entry) put(k grantKey, g grant) {
	e.remove(k)
	e.grants[k] = g
	e.load += uint64(g.weight)
	e.peaks[0] = e.peaks[0].max(Usage{Load: e.load, InFlight: len(e.grants)})
}

func (e *entry) remove(k grantKey) {
	if g, ok := e.grants[k]; ok {
		e.load -= uint64(g.weight)
		delete(e.grants, k)
	}
}

// observe applies a report if it is later than the last one. Usage above the
// peaks of the grants in the last two intervals must be foreign, even if this
// router should be the only owner.
func (e *entry) observe(r Report, o *Options) {
	if !r.SampledAt.After(e.report.SampledAt) {
		return
	}
	granted := e.peaks[0].max(e.peaks[1])
	e.report = r
	e.foreign = e.foreign.min(r.Usage)
	if r.Load > granted.Load || r.InFlight > granted.InFlight {
		excess := Usage{Load: r.Load - min(granted.Load, r.Load), InFlight: max(0, r.InFlight-granted.InFlight)}
		e.foreign = e.foreign.max(excess)
		e.foreignEnd = r.SampledAt.Add(o.RequestTerm)
	}
	e.peaks = [2]Usage{{Load: e.load, InFlight: len(e.grants)}, e.peaks[0]}
}

// trySettle ends the contest once the lease of any former owner has lapsed, its
// last grants have been used, and the target has reported since. If the target
// never reports, only the permits that holders announce are known by then.
func (e *entry) trySettle(now time.Time, o *Options) bool {
	end := e.contestedAt.Add(o.ContestTerm)
	if e.settled || now.Before(end) {
		return e.settled
	}
	e.settled = e.target.NoReports || e.report.SampledAt.After(end)
	if e.settled {
		e.foreign = e.report.Usage
		e.foreignEnd = now.Add(o.RequestTerm)
	}
	return e.settled
}

// usage returns the smaller of two upper bounds: the grants plus the foreign
// usage, or the target's report plus the grants that the report may not
// include.
func (e *entry) usage(now time.Time, o *Options) Usage {
	accounted := Usage{Load: e.load, InFlight: len(e.grants)}
	if now.Before(e.foreignEnd) {
		accounted = accounted.add(e.foreign)
	}
	if e.report.SampledAt.IsZero() {
		return accounted
	}
	reported := e.report.Usage
	includedBefore := e.report.SampledAt.Add(-o.GrantTerm)
	for _, g := range e.grants {
		if !g.grantedAt.Before(includedBefore) {
			reported = reported.add(Usage{Load: uint64(g.weight), InFlight: 1})
		}
	}
	// The grants are a lower bound for both, as a report may be out of date by
	// its delay.
	return accounted.min(reported.max(Usage{Load: e.load, InFlight: len(e.grants)}))
}

// expire removes permits that were not announced again, but only those granted
// early enough for a report to include them. Their requests may outlive the
// holder on the target and are counted as foreign.
func (e *entry) expire(now time.Time, o *Options) {
	for k, g := range e.grants {
		inReport := e.report.SampledAt.After(g.grantedAt.Add(o.GrantTerm))
		if inReport && now.Sub(g.renewedAt) > o.PermitTerm {
			e.remove(k)
			e.foreign = e.foreign.add(Usage{Load: uint64(g.weight), InFlight: 1})
			e.foreignEnd = now.Add(o.RequestTerm)
		}
	}
}
