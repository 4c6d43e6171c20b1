package permits

// Usage is what is in flight on a target.
type Usage struct {
	// Load is in load units.
	Load     uint64
	InFlight int
}

func (u Usage) add(v Usage) Usage {
	return Usage{Load: u.Load + v.Load, InFlight: u.InFlight + v.InFlight}
}

func (u Usage) min(v Usage) Usage {
	return Usage{Load: min(u.Load, v.Load), InFlight: min(u.InFlight, v.InFlight)}
}

func (u Usage) max(v Usage) Usage {
	return Usage{Load: max(u.Load, v.Load), InFlight: max(u.InFlight, v.InFlight)}
}
