package dispatch

import (
	"context"

	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/platform/claims"
)

// callAtMostOnce carries out an at-most-once call: it is sent only under a committed
// claim on its key, and only once for each claim.
func (p *plainCall) callAtMostOnce(ctx context.Context, tracker *callTracker, s *catalog.Service) *outcome.Failure {
	key, f := claims.ParseKey(p.call.Key)
	if f != nil {
		return f
	}
	claimStore := p.dispatcher.opts.Claims
	decision := claimStore.Claim(ctx, claims.Call{
		Workspace:   tracker.workspace.Name,
		Key:         key,
		Fingerprint: claims.NewFingerprint([]byte(s.Name), []byte(p.method.Name), p.call.Body),
		First:       p.call.FirstAttempt,
	})
	switch decision.Verdict {
	case claims.Run:
		return p.sendWithClaim(ctx, tracker, s, key, decision.Claim)
	case claims.Recorded:
		tracker.replayed = true
		return p.replay(decision.Record)
	default:
		return decision.Failure
	}
}

// sendWithClaim sends the call and records its outcome in the background, so that
// the response does not wait for the write. Until the record is committed, or if
// this router crashes first, a repeated key gets an unknown outcome and the call
// is never sent again.
func (p *plainCall) sendWithClaim(ctx context.Context, tracker *callTracker, s *catalog.Service, key uuid.UUID, c claims.Claim) *outcome.Failure {
	f := p.dispatcher.dispatch(ctx, request{
		workspace: tracker.workspace,
		service:   s,
		key:       key.String(),
		weight:    callWeight,
		send:      p.send,
	})
	record := p.claimRecord(f)
	go func() {
		if err := p.dispatcher.opts.Claims.Finish(context.WithoutCancel(ctx), c, record); err != nil {
			p.dispatcher.log.Warn().Err(err).Str("key", key.String()).Msg("failed to record the outcome of an at-most-once call")
		}
	}()
	return f
}

func (p *plainCall) claimRecord(f *outcome.Failure) claims.Record {
	if f != nil {
		return claims.Record{Status: f.Status, Reason: f.Reason}
	}
	return claims.Record{Status: outcome.Done, ContentType: "application/json", Body: p.result.Body}
}

func (p *plainCall) replay(record claims.Record) *outcome.Failure {
	if record.BodyOmitted {
		return &outcome.Failure{
			Status: outcome.Done,
			Reason: outcome.ReasonResultNotKept,
			Detail: "the call completed, but its response was too large to store for replay",
		}
	}
	p.result.Replayed = true
	p.result.Body = record.Body
	return nil
}
