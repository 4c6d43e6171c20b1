package state

import (
	"cmp"
	"strconv"
)

// FirstEra is the era of a store that has never come back from an earlier state.
const FirstEra = 1

// Revision is a position in the store's history. A store that comes back from an earlier
// state loses the changes since then and gives their numbers out again, in a new era.
type Revision struct {
	// Era increases each time the store comes back from an earlier state.
	Era uint64
	// Number increases with each change within an era.
	Number uint64
}

// Compare returns -1, 0 or 1 if r is before, at or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// NeedsSnapshot reports whether the state as of r does not lead to the one as of later by
// changes alone, because the store has come back from an earlier state in between.
func (r Revision) NeedsSnapshot(later Revision) bool {
	return r.Era < later.Era && later.Era > FirstEra
}

// String returns the era and the number as they appear in logs.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "/" + strconv.FormatUint(r.Number, 10)
}
