package router

import (
	"context"
	"net/http"
	"time"

	"hickoryrock/internal/node/ownership"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/peer/claim"
	"hickoryrock/internal/peer/handover"
	"hickoryrock/internal/peer/transport"
	"hickoryrock/internal/target/engine"
	"hickoryrock/internal/target/orders"
)

// peerPingDelay is how long a connection to another router may be silent before it is
// pinged. It is long because pings on many connections cost more than the traffic on them.
const peerPingDelay = 3 * time.Second

// engineLoads reads the load of engines. It implements ownership.Loads.
type engineLoads struct {
	engines *engine.Client
}

// Load implements ownership.Loads.
func (l *engineLoads) Load(ctx context.Context, s *catalog.Service, t catalog.Target) (ownership.Report, error) {
	report, f := l.engines.Load(ctx, t.Address)
	if f != nil {
		return ownership.Report{}, f
	}
	desired := orders.DesiredState{Model: s.Model, Version: t.Version}
	return ownership.Report{
		InFlight: report.InFlight + report.Queued,
		Leaving:  report.Draining,
		Serves:   s.Protocol != resource.ProtocolChat || desired.SatisfiedBy(orders.Report{Models: report.Models}),
	}, nil
}

// buildPeerClient creates the HTTP client for connections to other routers.
func (r *Router) buildPeerClient() {
	client, stop := transport.NewClient(transport.SendPingTimeout(peerPingDelay))
	r.peerHTTP = client
	r.addCleanup(stop)
}

// peerHandler serves the peer protocol.
func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(r.replica.Handler())
	mux.Handle(r.permitHandler())
	mux.Handle(handover.NewHandler(r.owner))
	mux.Handle(r.reportHandler())
	mux.Handle(r.quotaHandler())
	mux.Handle(claim.NewHandler(r.localClaims))
	return mux
}

// stopReplica tells the other routers that this one accepts no new work.
func (r *Router) stopReplica() {
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Platform.Timeout)
	defer cancel()
	r.replica.Stop(ctx)
}
