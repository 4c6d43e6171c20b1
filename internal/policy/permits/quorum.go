package permits

// Quorum decides what a router may do by the number of listed routers that it
// reaches. Two sides of a partition cannot both have more than half.
type Quorum struct {
	// Listed is the number of routers on the platform's list.
	Listed int
	// Reached is the number of those that respond, this router included.
	Reached int
}

// MayHold returns whether the router may keep the targets it owns: it reaches
// at least half of the listed routers, so no other side of a partition can
// reach more than half.
func (q Quorum) MayHold() bool {
	return 2*q.Reached >= q.Listed
}

// MayAdopt returns whether the router may adopt another router's targets, which
// takes more than half of the listed routers.
func (q Quorum) MayAdopt() bool {
	return 2*q.Reached > q.Listed
}
