// Package claims ensures that a call with an idempotency key runs at most once. It
// records claims and outcomes as objects of the platform.
//
// A router must hold the committed claim on a call's key before it dispatches the call,
// and dispatches the call at most once per claim.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
)

const (
	// Run means that this call alone holds the claim and may be dispatched once.
	Run Verdict = "run"
	// Recorded means that the call with this key is done and that its outcome is in
	// Decision.Record.
	Recorded Verdict = "recorded"
	// Refused means that the call must not be dispatched, and that its request has not
	// run under its key.
	Refused Verdict = "refused"
	// Unknown means that the call must not be dispatched, and that another call with
	// its key may have run or may still be running.
	Unknown Verdict = "unknown"
)

const (
	// MaxBodyBytes is the maximum size of a recorded response body. A larger response
	// is recorded without its body.
	MaxBodyBytes = 2048

	keyVersion       = 7
	fingerprintBytes = 16
)

type (
	// Store decides which call with a key may run.
	Store interface {
		// Claim requests the right to dispatch a call once. It returns within the claim
		// timeout, or when ctx ends.
		Claim(ctx context.Context, c Call) Decision
		// Finish records the outcome of a claimed call: done, not-run (only if it provably
		// did not run; the key can then be claimed again) or unknown. It returns when
		// the outcome is committed. If ctx ends first, it returns the error of ctx
		// while the commit is retried in the background until the finish timeout. A
		// router can therefore answer its caller before Finish returns; closing the
		// claim store waits for pending outcomes.
		Finish(ctx context.Context, c Claim, r Record) error
	}

	// Call identifies one attempt of a call that may run at most once.
	Call struct {
		Workspace string
		// Key is the caller's Idempotency-Key, a UUIDv7.
		Key uuid.UUID
		// Fingerprint is a hash of the request. It detects a key that is reused for a
		// different request.
		Fingerprint string
		// First is set if the caller states that no earlier attempt used the key. Only
		// then can a router that cannot read the claims say that the key has not run.
		First bool
		// Nonce identifies the claim. If it is empty, the claim store chooses one and
		// may release the claim when the caller has stopped waiting for it. A caller that
		// sets it owns the claim: the claim store then never releases it by itself.
		Nonce string
	}

	// Claim is the right to dispatch one call once.
	Claim struct {
		Workspace string
		Key       uuid.UUID
		Nonce     string
	}

	// Record is the outcome of a call and the response that its caller received.
	Record struct {
		Status outcome.Status `json:"status"`
		Reason outcome.Reason `json:"reason,omitempty"`
		// Code is the HTTP status of the target's response.
		Code        int    `json:"code,omitempty"`
		ContentType string `json:"content-type,omitempty"`
		Body        []byte `json:"body,omitempty"`
		// BodyOmitted is set if the body was too large to be recorded.
		BodyOmitted bool `json:"body-omitted,omitempty"`
	}

	// Decision is the result of Claim.
	Decision struct {
		Verdict Verdict
		// Claim is set if Verdict is Run.
		Claim Claim
		// Record is set if Verdict is Recorded.
		Record Record
		// Failure is set if Verdict is Refused or Unknown.
		Failure *outcome.Failure
	}

	// Verdict states whether a router may dispatch a call and, if not, why.
	Verdict string
)

// ParseKey parses an Idempotency-Key header, which must be a UUIDv7.
func ParseKey(s string) (uuid.UUID, *outcome.Failure) {
	if s == "" {
		return uuid.Nil, outcome.NewNotRun(outcome.ReasonKeyRequired, "an Idempotency-Key is required")
	}
	key, err := uuid.Parse(s)
	if err != nil || key.Version() != keyVersion {
		return uuid.Nil, outcome.NewNotRun(outcome.ReasonInvalidRequest, "the Idempotency-Key is not a UUIDv7")
	}
	return key, nil
}

// KeyTime returns the timestamp of a UUIDv7.
func KeyTime(key uuid.UUID) time.Time {
	var ms [8]byte
	copy(ms[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
}

// NewFingerprint returns the fingerprint of a request. Each part is hashed with its
// length, so that parts cannot run into each other.
func NewFingerprint(parts ...[]byte) string {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

func newNonce() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

func (c Call) claim() Claim {
	return Claim{Workspace: c.Workspace, Key: c.Key, Nonce: c.Nonce}
}

// omitLargeBody returns the record without its body if that exceeds MaxBodyBytes.
func (r Record) omitLargeBody() Record {
	if len(r.Body) > MaxBodyBytes {
		r.Body, r.BodyOmitted = nil, true
	}
	return r
}

func unknownDecision(r outcome.Reason, detail string) Decision {
	return Decision{Verdict: Unknown, Failure: outcome.NewUnknown(r, "%s", detail)}
}

func refusedDecision(r outcome.Reason, detail string) Decision {
	return Decision{Verdict: Refused, Failure: outcome.NewNotRun(r, "%s", detail)}
}
