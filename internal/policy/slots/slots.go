// Package slots assigns the slots of a plain service's targets to the calls of all routers. One
// router, the coordinator, keeps a Pool for the service. The package has no clock and no
// network; callers pass the current time to every function that needs it.
package slots

import "time"

const (
	// Granted means that the call may be sent to Reply.Target.
	Granted Kind = iota
	// Waiting means that the request waits; another reply follows.
	Waiting
	// Refused means that the call cannot be served before its deadline and must not be sent.
	Refused
)

type (
	// Kind is the kind of a reply.
	Kind uint8

	// Target is a target of the service.
	Target struct {
		Hash uint64
		// Slots is the number of calls that the target runs at once.
		Slots int
		// Window bounds the calls in flight of a target that has started or recovered; zero
		// means that there is no bound beyond its slots.
		Window int
		// IsEligible is set if the target may be sent calls now.
		IsEligible bool
	}

	// Key identifies a request: the process of a router and its number there.
	Key struct {
		Process, Serial uint64
	}

	// Request asks for a target for one attempt of a call.
	Request struct {
		Key
		Workspace uint64
		// Priority orders requests; 0 is the most urgent.
		Priority int
		// Objective is the end of the call's latency objective, Deadline that of its deadline.
		Objective, Deadline time.Time
		// Excluded holds the targets that must not be granted.
		Excluded []uint64
	}

	// Reply is the answer to a request.
	Reply struct {
		Key
		Kind Kind
		// Target is the hash of the granted target.
		Target uint64
		// RetryAfter is the time after which a refused call may be made again.
		RetryAfter time.Duration
	}

	// Result is what became of the attempt of a grant.
	Result struct {
		// Took is the duration of the attempt at the target.
		Took time.Duration
		// Succeeded is set after a successful answer, Refused if the target provably did not
		// execute the call.
		Succeeded, Refused bool
		// Running and Queued are the calls that the target stated in its answer; valid when
		// HasLoad is set.
		Running, Queued int
		HasLoad         bool
	}
)
