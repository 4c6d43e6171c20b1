package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/report/collect"
	"hickoryrock/internal/report/daily"
	"hickoryrock/internal/report/tally"
)

// finalCountsTimeout bounds the delivery of the last counts at shutdown.
const finalCountsTimeout = 20 * time.Second

// reportServer receives the counts of other routers.
type reportServer struct {
	aggregator *collect.Aggregator
}

func (r *Router) buildReport() {
	r.counts = tally.New()
	r.aggregator = collect.NewAggregator(r.store, collect.WithLog(r.log))
	process := r.settings.Name + "/" + strconv.FormatInt(time.Now().Unix(), 36)
	r.reporter = collect.NewReporter(process, r.counts, r.deliver, collect.WithLog(r.log))
}

// deliver sends counts to the aggregator of this router's failure domain.
func (r *Router) deliver(ctx context.Context, d tally.Delivery) error {
	domain := r.settings.FailureDomain
	name, address, ok := r.owner.Of("report/"+domain, domain)
	if !ok || name == r.settings.Name {
		return r.aggregator.Deliver(ctx, domain, d)
	}
	data, err := json.Marshal(d)
	if err != nil {
		return err
	}
	_, err = peerv1connect.NewReportServiceClient(r.peerHTTP, "http://"+address).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{
		Router: d.Router, Sequence: d.Sequence, FailureDomain: domain, Delivery: data,
	}))
	return err
}

func (r *Router) reportHandler() (string, http.Handler) {
	return peerv1connect.NewReportServiceHandler(&reportServer{aggregator: r.aggregator})
}

// Report implements peerv1connect.ReportServiceHandler. It returns after the delivery has
// been stored on the platform.
func (s *reportServer) Report(ctx context.Context, req *connect.Request[peerv1.ReportRequest]) (*connect.Response[peerv1.ReportResponse], error) {
	var d tally.Delivery
	if err := json.Unmarshal(req.Msg.GetDelivery(), &d); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.aggregator.Deliver(ctx, req.Msg.GetFailureDomain(), d); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.ReportResponse{DurableSequence: d.Sequence}), nil
}

// serveReport returns the option that serves each workspace its own report page.
func (r *Router) serveReport() server.Option {
	return server.WithReportHandler(func(w http.ResponseWriter, req *http.Request, ws *catalog.Workspace) {
		daily.Serve(w, req, r.store, ws.Workspace)
	})
}

// sendFinalCounts stops the reporter and delivers the remaining counts.
func (r *Router) sendFinalCounts(stopReporter func()) {
	stopReporter()
	ctx, cancel := context.WithTimeout(context.Background(), finalCountsTimeout)
	defer cancel()
	r.reporter.Flush(ctx)
}
