package ownership

import (
	"context"
	"sync"
	"time"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/peer/membership"
	"hickoryrock/internal/policy/permits"
)

const (
	leaseRenewInterval   = 250 * time.Millisecond
	loadExchangeInterval = time.Second
	announceInterval     = 10 * time.Second
	loadPollInterval     = time.Second
	loadPollTimeout      = 800 * time.Millisecond
	// maxReportAge is how old the load in a target's report may be at the time of the
	// request.
	maxReportAge = 2 * time.Second
	// contactWindow is the time within which a router must have been heard from to count as
	// reached. Together with the lease and the grant term it must stay below the contest
	// term and the shortest time to detect a dead router.
	contactWindow = 3 * time.Second
	// contactMaxFleet is the size of the largest fleet in which each router hears from half
	// of the others within contactWindow.
	contactMaxFleet = 12
	// maxConcurrentPolls limits the number of concurrent load requests.
	maxConcurrentPolls = 16
)

// renewLease extends the ledger's lease if this router reaches enough of the others. The
// view lags behind by the time to detect a dead router, so up to contactMaxFleet routers
// only those heard from within contactWindow count.
func (o *Owner) renewLease() {
	o.mu.RLock()
	q := o.quorum()
	o.mu.RUnlock()
	if q.Listed <= contactMaxFleet {
		q.Reached = min(q.Reached, o.opts.Reached(contactWindow))
	}
	if q.MayHold() {
		o.ledger.Confirm(o.opts.Now())
	}
}

// exchangeLoads publishes the load of the owned targets and applies the fleet's mean load
// to the ledger. Targets that are down carry no load and are left out of the mean.
func (o *Owner) exchangeLoads() {
	o.mu.RLock()
	c := o.catalog
	up := map[string]uint32{}
	for name, t := range o.owned {
		if !o.health.isDown(name) {
			up[t.service]++
		}
	}
	o.mu.RUnlock()
	sums := o.ledger.Sums(o.opts.Now())
	loads := make([]membership.Load, 0, len(up))
	for service, targets := range up {
		loads = append(loads, membership.Load{Service: service, Units: sums[service].Load, Targets: targets})
	}
	o.opts.SetLoads(loads)
	for _, total := range o.opts.Totals() {
		s, ok := c.Service(total.Service)
		if ok && total.Targets > 0 {
			perTarget := float64(total.Units) / float64(total.Targets)
			o.ledger.SetMean(o.opts.Now(), s.Name, perTarget/meanWeight(s))
		}
	}
}

// meanWeight returns the mean weight of a service's targets that are not leaving, or 1 if
// there are none.
func meanWeight(s *catalog.Service) float64 {
	sum, n := 0.0, 0
	for _, t := range s.Targets {
		if !t.Leaving {
			sum += effectiveWeight(t.Weight)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// effectiveWeight returns the weight of a target, which is 1 if none is configured.
func effectiveWeight(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}

// pollLoads requests the load of all owned targets, at most maxConcurrentPolls at a time,
// and returns when all have responded or timed out.
func (o *Owner) pollLoads(ctx context.Context) {
	o.mu.RLock()
	targets := make([]ownedTarget, 0, len(o.owned))
	for _, t := range o.owned {
		targets = append(targets, t)
	}
	c := o.catalog
	o.mu.RUnlock()
	limit := make(chan struct{}, maxConcurrentPolls)
	var wg sync.WaitGroup
	for _, t := range targets {
		s, ok := c.Service(t.service)
		if !ok {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			o.pollLoad(ctx, t, s)
			<-limit
		})
	}
	wg.Wait()
}

func (o *Owner) pollLoad(ctx context.Context, t ownedTarget, s *catalog.Service) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	requestedAt := o.opts.Now()
	report, err := o.opts.Loads.Load(ctx, s, t.target)
	o.health.record(t.target.Name, err == nil, report.Serves && !report.Leaving)
	if err != nil {
		return
	}
	o.ledger.ReportLoad(t.target.Name, permits.Report{
		Usage:     permits.Usage{Load: uint64(report.InFlight), InFlight: report.InFlight},
		SampledAt: requestedAt.Add(-maxReportAge),
	})
}
