package claims

import (
	"sync/atomic"
	"time"

	"hickoryrock/internal/caller/outcome"
)

const (
	requestPending int32 = iota
	requestDecided
	requestGivenUp
)

type (
	// claimRequest is one pending call of Claim. Either it is decided or the waiting
	// goroutine gives it up, never both.
	claimRequest struct {
		call Call
		// ownNonce means that the claim store chose the nonce and may release the
		// claim.
		ownNonce bool
		state    atomic.Int32
		decided  chan Decision
		// observedFree is set if the key was seen to be free after the call began.
		observedFree atomic.Bool
		// writeAttempted means that a write with the nonce may have taken effect.
		writeAttempted bool
	}

	// finishRequest is one outcome to be recorded.
	finishRequest struct {
		claim    Claim
		record   Record
		deadline time.Time
		done     chan error
	}

	// batch is the requests of one commit.
	batch struct {
		claims   []*claimRequest
		finishes []*finishRequest
	}
)

func newClaimRequest(c Call) *claimRequest {
	r := &claimRequest{call: c, ownNonce: c.Nonce == "", decided: make(chan Decision, 1)}
	if r.ownNonce {
		r.call.Nonce = newNonce()
	}
	return r
}

func newFinishRequest(c Claim, rec Record, deadline time.Time) *finishRequest {
	return &finishRequest{claim: c, record: rec.omitLargeBody(), deadline: deadline, done: make(chan error, 1)}
}

// decide delivers a decision and reports whether the caller was still waiting for it.
func (r *claimRequest) decide(d Decision) bool {
	if !r.state.CompareAndSwap(requestPending, requestDecided) {
		return false
	}
	r.decided <- d
	return true
}

// giveUp marks the request as given up. It reports false if the request is already
// decided.
func (r *claimRequest) giveUp() bool {
	return r.state.CompareAndSwap(requestPending, requestGivenUp)
}

// refusal returns the decision for a call that could not be decided. The call itself is
// never dispatched. That its key has not run can only be stated if the key was seen to
// be free since the call began, or if the caller states that no earlier call used it.
func (r *claimRequest) refusal(reason outcome.Reason, detail string, retryAfter time.Duration) Decision {
	d := unknownDecision(reason, detail)
	if r.call.First || r.observedFree.Load() {
		d = refusedDecision(reason, detail)
	}
	d.Failure.RetryAfter = retryAfter
	return d
}

func (b *batch) empty() bool { return len(b.claims)+len(b.finishes) == 0 }

func (b *batch) add(other batch) {
	b.claims = append(b.claims, other.claims...)
	b.finishes = append(b.finishes, other.finishes...)
}
