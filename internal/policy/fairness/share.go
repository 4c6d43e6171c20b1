package fairness

import "time"

type (
	// Share is a router's part of a workspace's limit. It is not safe for
	// concurrent use.
	Share struct {
		options      Options
		holder       string
		serial       uint64
		inUse        int
		refused      int
		allotted     int
		validUntil   time.Time
		requestedAt  time.Time
		hasRequested bool
	}
)

// NewShare returns a router's share, which has no allotment yet.
func NewShare(holder string, opts ...Option) *Share {
	return &Share{options: newOptions(opts), holder: holder}
}

// Admit counts one request as in flight, or returns false if the allotment is
// used up. After false the caller should ask the owner once and try again.
func (s *Share) Admit(now time.Time) bool {
	if s.inUse < s.currentAllotment(now) {
		s.inUse++
		return true
	}
	s.refused++
	return false
}

// Release ends one request.
func (s *Share) Release() {
	s.inUse = max(0, s.inUse-1)
}

// RenewalDue returns whether to ask the owner: the allotment has to be renewed, or a
// request was refused before the owner was asked for the first time.
func (s *Share) RenewalDue(now time.Time) bool {
	if !s.hasRequested {
		return s.refused > 0 || s.inUse > 0
	}
	return now.Sub(s.requestedAt) >= s.options.RenewInterval && (s.inUse > 0 || s.allotted > 0)
}

// Request returns the message to send to the workspace's owner.
func (s *Share) Request(now time.Time) Request {
	s.serial++
	r := Request{Holder: s.holder, InUse: s.inUse, Held: s.currentAllotment(now), Serial: s.serial}
	if s.inUse > 0 || s.refused > 0 {
		r.Wanted = s.inUse + s.refused + s.options.Headroom
	}
	s.refused, s.requestedAt, s.hasRequested = 0, now, true
	return r
}

// ApplyGrant applies the owner's grant for the latest request and ignores older
// grants. Requests in flight continue if the allotment has shrunk below their
// number.
func (s *Share) ApplyGrant(g Grant) {
	if g.Serial != s.serial {
		return
	}
	s.allotted, s.validUntil = g.Allotted, s.requestedAt.Add(s.options.Term)
}

// currentAllotment returns the allotment, or 0 if it has expired.
func (s *Share) currentAllotment(now time.Time) int {
	if now.After(s.validUntil) {
		return 0
	}
	return s.allotted
}
