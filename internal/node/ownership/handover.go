package ownership

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/policy/permits"
)

const (
	// handoverAttempts limits the requests to a former owner. More than one is needed
	// because its view of the fleet may change a little later than the new owner's.
	handoverAttempts      = 8
	handoverRetryInterval = 200 * time.Millisecond
	handoverTimeout       = 500 * time.Millisecond
)

var (
	handoversComplete = metrics.NewCounter(`hickoryrock_handovers_total{outcome="complete"}`)
	handoversRefused  = metrics.NewCounter(`hickoryrock_handovers_total{outcome="refused"}`)
)

// takeover is a target that this router has just started to own.
type takeover struct {
	target        string
	failureDomain string
	epoch         uint64
	// formerAddress is the peer address of the previous owner, or "" if it is not known.
	formerAddress string
}

// Handover implements handover.Source.
func (o *Owner) Handover(target, owner string, epoch uint64) (permits.Handover, bool) {
	return o.ledger.Handover(o.opts.Now(), target, owner, epoch)
}

// requestHandovers asks the former owners for the permits that they granted. Until one has
// responded, or if none does, the contest term keeps the target within its bound.
func (o *Owner) requestHandovers(takeovers []takeover) {
	for _, t := range takeovers {
		go o.requestHandover(t)
	}
}

func (o *Owner) requestHandover(t takeover) {
	for range handoverAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		h, ok := o.peers.Handover(ctx, t.formerAddress, t.target, o.self, t.epoch)
		cancel()
		if ok {
			o.ledger.Receive(o.opts.Now(), t.target, h)
			handoversComplete.Inc()
			return
		}
		time.Sleep(handoverRetryInterval)
	}
	handoversRefused.Inc()
}
