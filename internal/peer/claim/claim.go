// Package claim forwards claims for at-most-once calls to the router that commits
// claims for their shard.
package claim

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/platform/claims"
)

type (
	// Remote forwards claims to another router's claim store. It implements claims.Remote.
	Remote struct {
		client peerv1connect.ClaimServiceClient
	}

	server struct {
		store claims.Store
	}
)

// NewRemote returns a Remote for the router at an address.
func NewRemote(c *http.Client, address string) *Remote {
	return &Remote{client: peerv1connect.NewClaimServiceClient(c, "http://"+address)}
}

// NewHandler returns the path and handler that serve this router's claim store to
// other routers.
func NewHandler(s claims.Store) (string, http.Handler) {
	return peerv1connect.NewClaimServiceHandler(&server{store: s})
}

// Claim implements claims.Remote.
func (r *Remote) Claim(ctx context.Context, c claims.Call) (claims.Decision, error) {
	resp, err := r.client.Claim(ctx, connect.NewRequest(&peerv1.ClaimRequest{
		Workspace: c.Workspace, Key: c.Key[:], Fingerprint: c.Fingerprint, First: c.First, Nonce: c.Nonce,
	}))
	if err != nil {
		return claims.Decision{}, eris.Wrap(err, "claim at the shard's router")
	}
	var d claims.Decision
	if err := json.Unmarshal(resp.Msg.GetDecision(), &d); err != nil {
		return claims.Decision{}, eris.Wrap(err, "decode the decision")
	}
	return d, nil
}

// Finish implements claims.Remote.
func (r *Remote) Finish(ctx context.Context, c claims.Claim, record claims.Record) error {
	data, err := json.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode the record")
	}
	_, err = r.client.Finish(ctx, connect.NewRequest(&peerv1.FinishRequest{
		Workspace: c.Workspace, Key: c.Key[:], Nonce: c.Nonce, Record: data,
	}))
	return eris.Wrap(err, "finish at the shard's router")
}

// Claim implements peerv1connect.ClaimServiceHandler.
func (s *server) Claim(ctx context.Context, req *connect.Request[peerv1.ClaimRequest]) (*connect.Response[peerv1.ClaimResponse], error) {
	m := req.Msg
	key, err := uuid.FromBytes(m.GetKey())
	if err != nil || m.GetNonce() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New("a key and a nonce are required"))
	}
	d := s.store.Claim(ctx, claims.Call{
		Workspace: m.GetWorkspace(), Key: key, Fingerprint: m.GetFingerprint(), First: m.GetFirst(), Nonce: m.GetNonce(),
	})
	data, err := json.Marshal(d)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.ClaimResponse{Decision: data}), nil
}

// Finish implements peerv1connect.ClaimServiceHandler.
func (s *server) Finish(ctx context.Context, req *connect.Request[peerv1.FinishRequest]) (*connect.Response[peerv1.FinishResponse], error) {
	m := req.Msg
	key, err := uuid.FromBytes(m.GetKey())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	var record claims.Record
	if err := json.Unmarshal(m.GetRecord(), &record); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	c := claims.Claim{Workspace: m.GetWorkspace(), Key: key, Nonce: m.GetNonce()}
	if err := s.store.Finish(ctx, c, record); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.FinishResponse{}), nil
}
