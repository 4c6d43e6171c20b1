// Package handover transfers the permits of a target from its previous owner to the
// new one. The new owner then does not have to wait until the previous owner can no
// longer grant permits.
package handover

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/policy/permits"
)

type (
	// Source provides the permits of targets that this router no longer owns.
	Source interface {
		// Handover returns the permits of a target that was ceded to owner. It
		// returns false if they may be incomplete.
		Handover(target, owner string, epoch uint64) (permits.Handover, bool)
	}

	server struct {
		source Source
	}
)

// NewHandler returns the path and handler that serve a previous owner's permits.
func NewHandler(s Source) (string, http.Handler) {
	return peerv1connect.NewHandoverServiceHandler(&server{source: s})
}

// Fetch requests the permits of a target from its previous owner at an address. It
// returns false if the call fails or the permits may be incomplete.
func Fetch(ctx context.Context, c *http.Client, address, target, owner string, epoch uint64) (permits.Handover, bool) {
	resp, err := peerv1connect.NewHandoverServiceClient(c, "http://"+address).Handover(ctx, connect.NewRequest(
		&peerv1.HandoverRequest{Target: target, Owner: owner, Epoch: epoch}))
	if err != nil || !resp.Msg.GetComplete() {
		return permits.Handover{}, false
	}
	h := permits.Handover{Epoch: epoch, Foreign: permits.Usage{
		Load: resp.Msg.GetForeignLoad(), InFlight: int(resp.Msg.GetForeignInFlight()),
	}}
	for _, p := range resp.Msg.GetPermits() {
		h.Permits = append(h.Permits, permits.Permit{Holder: p.GetHolder(), ID: p.GetId(), Weight: p.GetWeight()})
	}
	return h, true
}

// Handover implements peerv1connect.HandoverServiceHandler.
func (s *server) Handover(_ context.Context, req *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	m := req.Msg
	h, ok := s.source.Handover(m.GetTarget(), m.GetOwner(), m.GetEpoch())
	if !ok {
		return connect.NewResponse(&peerv1.HandoverResponse{}), nil
	}
	resp := &peerv1.HandoverResponse{
		Complete: true, ForeignLoad: h.Foreign.Load, ForeignInFlight: uint32(h.Foreign.InFlight),
	}
	for _, p := range h.Permits {
		resp.Permits = append(resp.Permits, &peerv1.HeldPermit{Holder: p.Holder, Id: p.ID, Weight: p.Weight})
	}
	return connect.NewResponse(resp), nil
}
