package permits

import "math"

// dispatch adds a request to the target and checks the bound: no request may
// take the target over the limit that holds without a mean, if there has been
// none, nor over the maximum in flight.
func (m *model) dispatch(r request) {
	m.running = append(m.running, r)
	m.counts.dispatched++
	owners := map[int]bool{}
	for _, r := range m.running {
		owners[r.owner] = true
	}
	m.counts.granters = max(m.counts.granters, len(owners))
	overLoad := !m.meanSet && m.load() > m.limit
	if overLoad || m.maxInFlight > 0 && len(m.running) > m.maxInFlight {
		m.counts.violations++
	}
}

// load returns the load that is in fact in flight.
func (m *model) load() uint64 {
	load := uint64(0)
	for _, r := range m.running {
		load += uint64(r.Weight)
	}
	return load
}

// limitOf returns the limit by the mean that an owner received last.
func (m *model) limitOf(r *modelRouter) uint64 {
	if m.now.Sub(r.meanAt) > defaultMeanTerm {
		return m.limit
	}
	return max(m.limit, uint64(math.Ceil(modelFactor*r.mean*modelWeight)))
}

// setMean sends one router a new mean, in about half of the runs.
func (m *model) setMean() {
	if !m.useMeans {
		return
	}
	m.meanSet = true
	r := m.routers[m.drawRouter()]
	r.mean, r.meanAt = float64(m.choose("mean", 6)), m.now
	r.ledger.SetMean(m.now, "chat", r.mean)
}
