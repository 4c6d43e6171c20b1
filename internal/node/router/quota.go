package router

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/node/quota"
	"hickoryrock/internal/policy/fairness"
)

type (
	// quotaServer answers the requests of other routers for shares of workspaces that this
	// router owns.
	quotaServer struct {
		quota *quota.Quota
	}

	// quotaPeers requests shares from the owners of other workspaces.
	quotaPeers struct {
		http *http.Client
	}
)

func (r *Router) buildQuota() {
	r.quota = quota.New(r.settings.Name, r.ownerOf, &quotaPeers{http: r.peerHTTP})
}

// ownerOf returns the peer address of the owner of a fleet-wide name.
func (r *Router) ownerOf(name string) (address string, self, ok bool) {
	owner, address, ok := r.owner.Of(name, "")
	return address, owner == r.settings.Name, ok
}

func (r *Router) quotaHandler() (string, http.Handler) {
	return peerv1connect.NewQuotaServiceHandler(&quotaServer{quota: r.quota})
}

// Renew implements peerv1connect.QuotaServiceHandler.
func (s *quotaServer) Renew(_ context.Context, req *connect.Request[peerv1.RenewRequest]) (*connect.Response[peerv1.RenewResponse], error) {
	m := req.Msg
	g, ok := s.quota.Renew(m.GetWorkspace(), fairness.Request{
		Holder: m.GetHolder(),
		InUse:  int(m.GetInUse()),
		Held:   int(m.GetHeld()),
		Wanted: int(m.GetWanted()),
		Serial: m.GetSerial(),
	})
	return connect.NewResponse(&peerv1.RenewResponse{Granted: ok, Allotted: uint32(g.Allotted), Serial: g.Serial}), nil
}

// Renew implements quota.Peers.
func (p *quotaPeers) Renew(ctx context.Context, address, workspace string, req fairness.Request) (fairness.Grant, bool) {
	resp, err := peerv1connect.NewQuotaServiceClient(p.http, "http://"+address).Renew(ctx, connect.NewRequest(&peerv1.RenewRequest{
		Workspace: workspace,
		Holder:    req.Holder,
		InUse:     uint32(req.InUse),
		Held:      uint32(req.Held),
		Wanted:    uint32(req.Wanted),
		Serial:    req.Serial,
	}))
	if err != nil || !resp.Msg.GetGranted() {
		return fairness.Grant{}, false
	}
	return fairness.Grant{Allotted: int(resp.Msg.GetAllotted()), Serial: resp.Msg.GetSerial()}, true
}
