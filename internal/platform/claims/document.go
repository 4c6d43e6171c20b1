package claims

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
)

const (
	stateClaimed  entryState = "claimed"
	stateDone     entryState = "done"
	stateReleased entryState = "released"
	stateUnknown  entryState = "unknown"
)

const (
	// maxBytesForClaims is the object size above which no more claims are accepted,
	// which leaves room for the records of the existing claims.
	maxBytesForClaims = objects.MaxValueBytes / 4
	// maxBytesForBodies is the object size above which records are stored without
	// bodies.
	maxBytesForBodies = objects.MaxValueBytes * 3 / 4
)

type (
	// document is the value of one claims object: the entries of one bucket and shard.
	document struct {
		// Incarnation distinguishes an object from one that was created under the same
		// name after the first was deleted.
		Incarnation string           `json:"incarnation"`
		Entries     map[string]entry `json:"entries"`
		// size is the encoded size in bytes when the document was last read or written.
		size int
	}

	entry struct {
		Nonce       string     `json:"nonce"`
		Fingerprint string     `json:"fingerprint"`
		State       entryState `json:"state"`
		// ClaimedAt is the time of the claim by the claiming router's clock, in
		// milliseconds since the Unix epoch.
		ClaimedAt int64   `json:"claimed-at"`
		Record    *Record `json:"record,omitempty"`
	}

	entryState string
)

func newDocument() *document {
	return &document{Incarnation: newNonce(), Entries: make(map[string]entry)}
}

func decodeDocument(data json.RawMessage) (*document, error) {
	d := &document{size: len(data)}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, eris.Wrap(err, "decode claims")
	}
	if d.Entries == nil {
		d.Entries = make(map[string]entry)
	}
	return d, nil
}

func (d *document) clone() *document {
	c := *d
	c.Entries = maps.Clone(d.Entries)
	return &c
}

func (d *document) encode() (json.RawMessage, error) {
	data, err := json.Marshal(d)
	d.size = len(data)
	return data, eris.Wrap(err, "encode claims")
}

// claim assigns a free key to the call and reports whether it changed the document. It
// is idempotent: if the entry already has the call's nonce, the claim is held and
// nothing changes.
func (d *document) claim(c Call, now time.Time, inProgressTimeout time.Duration, abandoned map[string]bool) (Decision, bool) {
	id := entryID(c.Workspace, c.Key)
	e, ok := d.Entries[id]
	switch {
	case ok && e.Nonce == c.Nonce && e.State == stateClaimed:
		return Decision{Verdict: Run, Claim: c.claim()}, false
	case !ok || e.State == stateReleased || e.State == stateClaimed && abandoned[e.Nonce]:
		if d.size > maxBytesForClaims {
			return refusedDecision(outcome.ReasonOverloaded, "too many keys in this time bucket"), false
		}
		d.Entries[id] = entry{
			Nonce: c.Nonce, Fingerprint: c.Fingerprint, State: stateClaimed, ClaimedAt: now.UnixMilli(),
		}
		return Decision{Verdict: Run, Claim: c.claim()}, true
	case e.Fingerprint != c.Fingerprint:
		return refusedDecision(outcome.ReasonKeyReused, "the key was already used for a different request"), false
	}
	return e.decision(now, inProgressTimeout), false
}

// decision returns the decision for another call with the key of an entry that is not
// free.
func (e entry) decision(now time.Time, inProgressTimeout time.Duration) Decision {
	switch {
	case e.State == stateDone && e.Record != nil:
		return Decision{Verdict: Recorded, Record: *e.Record}
	case e.State == stateUnknown && e.Record != nil && e.Record.Reason != "":
		return unknownDecision(e.Record.Reason, "the call with this key may have run")
	case e.State == stateClaimed && now.Sub(time.UnixMilli(e.ClaimedAt)) < inProgressTimeout:
		d := unknownDecision(outcome.ReasonInProgress, "the call with this key is still in progress")
		d.Failure.RetryAfter = defaultRetryAfter
		return d
	}
	return unknownDecision(outcome.ReasonClaimLost, "the router that held the claim may have run the call")
}

// finish records the outcome of a claimed call and reports whether it changed the
// document. Only the nonce of the claim can finish it, and only once.
func (d *document) finish(c Claim, r Record) bool {
	id := entryID(c.Workspace, c.Key)
	e, ok := d.Entries[id]
	if !ok || e.Nonce != c.Nonce || e.State != stateClaimed {
		return false
	}
	if d.size > maxBytesForBodies && len(r.Body) > 0 {
		r.Body, r.BodyOmitted = nil, true
	}
	switch r.Status {
	case outcome.Done:
		e.State, e.Record = stateDone, &r
	case outcome.NotRun:
		e.State, e.Record = stateReleased, nil
	default:
		e.State, e.Record = stateUnknown, &r
	}
	d.Entries[id] = e
	return true
}
