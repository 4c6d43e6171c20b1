// Package permit implements the protocol between the holders of permits and the
// owners of targets, which grant them.
package permit

import (
	peerv1 "hickoryrock/api/peer/v1"
)

const (
	// Granted means that the request may be sent.
	Granted Verdict = "granted"
	// Full means that the target has reached its load bound.
	Full Verdict = "full"
	// Leaving means that the target is draining and takes no new work.
	Leaving Verdict = "leaving"
	// NotOwner means that the router does not own the target.
	NotOwner Verdict = "not-owner"
	// UnknownTarget means that the owner does not know the target.
	UnknownTarget Verdict = "unknown-target"
	// Contested means that a previous owner may still be granting permits for the
	// target.
	Contested Verdict = "contested"
	// Unreachable means that the owner did not respond in time. The holder tries the
	// next target and never grants itself a permit.
	Unreachable Verdict = "unreachable"
)

type (
	// Table is the owner's table of granted permits. Its methods are idempotent by
	// permit ID and safe for concurrent use.
	Table interface {
		// Acquire grants or refuses one permit.
		Acquire(r Request) Verdict
		// Release releases permits.
		Release(r Release)
		// Announce adds permits that another owner granted.
		Announce(a Announcement)
	}

	// Verdict is the response to a request for a permit.
	Verdict string

	// Request asks for a permit to send one request to a target.
	Request struct {
		Service string
		Target  string
		// Holder is the router that sends the request.
		Holder string
		// PermitID is unique in the fleet.
		PermitID string
		// Weight is in load units.
		Weight uint32
	}

	// Release releases permits of one holder on one target.
	Release struct {
		Target    string
		Holder    string
		PermitIDs []string
	}

	// Announcement lists all permits of one holder on one target.
	Announcement struct {
		Service string
		Target  string
		Holder  string
		Permits []HeldPermit
	}

	// HeldPermit is one permit with its weight in load units.
	HeldPermit struct {
		ID     string
		Weight uint32
	}
)

func (v Verdict) toProto() peerv1.Verdict {
	switch v {
	case Granted:
		return peerv1.Verdict_VERDICT_GRANTED
	case Full:
		return peerv1.Verdict_VERDICT_FULL
	case Leaving:
		return peerv1.Verdict_VERDICT_LEAVING
	case NotOwner:
		return peerv1.Verdict_VERDICT_NOT_OWNER
	case UnknownTarget:
		return peerv1.Verdict_VERDICT_UNKNOWN_TARGET
	case Contested:
		return peerv1.Verdict_VERDICT_CONTESTED
	case Unreachable:
	}
	return peerv1.Verdict_VERDICT_UNSPECIFIED
}

// verdictFromProto converts a verdict from its wire format. A verdict unknown to this
// version is never treated as a grant.
func verdictFromProto(v peerv1.Verdict) Verdict {
	switch v {
	case peerv1.Verdict_VERDICT_GRANTED:
		return Granted
	case peerv1.Verdict_VERDICT_FULL:
		return Full
	case peerv1.Verdict_VERDICT_LEAVING:
		return Leaving
	case peerv1.Verdict_VERDICT_NOT_OWNER:
		return NotOwner
	case peerv1.Verdict_VERDICT_UNKNOWN_TARGET:
		return UnknownTarget
	case peerv1.Verdict_VERDICT_CONTESTED:
		return Contested
	case peerv1.Verdict_VERDICT_UNSPECIFIED:
	}
	return Unreachable
}
