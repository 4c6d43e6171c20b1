package permit

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
)

// server implements the permit service on top of a table.
type server struct {
	table          Table
	recentReleases recentReleases
}

// NewHandler returns the path and handler that serve a table to other routers.
func NewHandler(t Table) (string, http.Handler) {
	return peerv1connect.NewPermitServiceHandler(&server{table: t})
}

// Acquire implements peerv1connect.PermitServiceHandler.
func (s *server) Acquire(_ context.Context, r *connect.Request[peerv1.AcquireRequest]) (*connect.Response[peerv1.AcquireResponse], error) {
	v := s.acquire(Request{
		Service:  r.Msg.GetService(),
		Target:   r.Msg.GetTarget(),
		Holder:   r.Msg.GetHolder(),
		PermitID: r.Msg.GetPermit(),
		Weight:   r.Msg.GetWeight(),
	})
	return connect.NewResponse(&peerv1.AcquireResponse{Verdict: v.toProto()}), nil
}

// acquire refuses permits that were released before the acquire arrived or while the
// table granted it.
func (s *server) acquire(r Request) Verdict {
	if s.recentReleases.contains(r.PermitID) {
		return Unreachable
	}
	v := s.table.Acquire(r)
	if v == Granted && s.recentReleases.contains(r.PermitID) {
		s.table.Release(Release{Target: r.Target, Holder: r.Holder, PermitIDs: []string{r.PermitID}})
		return Unreachable
	}
	return v
}

// Release implements peerv1connect.PermitServiceHandler.
func (s *server) Release(_ context.Context, r *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	s.recentReleases.add(time.Now(), r.Msg.GetPermits())
	s.table.Release(Release{Target: r.Msg.GetTarget(), Holder: r.Msg.GetHolder(), PermitIDs: r.Msg.GetPermits()})
	return connect.NewResponse(&peerv1.ReleaseResponse{}), nil
}

// Announce implements peerv1connect.PermitServiceHandler.
func (s *server) Announce(_ context.Context, r *connect.Request[peerv1.AnnounceRequest]) (*connect.Response[peerv1.AnnounceResponse], error) {
	a := Announcement{Service: r.Msg.GetService(), Target: r.Msg.GetTarget(), Holder: r.Msg.GetHolder()}
	for _, p := range r.Msg.GetPermits() {
		a.Permits = append(a.Permits, HeldPermit{ID: p.GetId(), Weight: p.GetWeight()})
	}
	s.table.Announce(a)
	return connect.NewResponse(&peerv1.AnnounceResponse{}), nil
}
