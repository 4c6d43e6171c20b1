package router

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"hickoryrock/internal/node/ownership"
	"hickoryrock/internal/peer/handover"
	"hickoryrock/internal/peer/permit"
	"hickoryrock/internal/policy/permits"
)

const announceTimeout = 2 * time.Second

// verdicts maps the ledger's verdicts to those of the peer protocol.
var verdicts = map[permits.Verdict]permit.Verdict{
	permits.Granted:   permit.Granted,
	permits.Full:      permit.Full,
	permits.Leaving:   permit.Leaving,
	permits.NotOwner:  permit.NotOwner,
	permits.Contested: permit.Contested,
}

type (
	// permitLedger serves this router's ledger to other routers. It implements
	// permit.Table.
	permitLedger struct {
		owner  *ownership.Owner
		ledger *permits.Ledger
	}

	// permitPeers requests permits from other routers. It implements ownership.Peers.
	permitPeers struct {
		client *permit.Client
		http   *http.Client
		log    zerolog.Logger
	}
)

func (r *Router) permitHandler() (string, http.Handler) {
	return permit.NewHandler(&permitLedger{owner: r.owner, ledger: r.ledger})
}

func (r *Router) permitPeers() *permitPeers {
	client, stop := permit.NewClient(r.settings.Name,
		permit.Timeout(r.settings.Peers.PermitTimeout), permit.HTTPClient(r.peerHTTP))
	r.addCleanup(stop)
	return &permitPeers{client: client, http: r.peerHTTP, log: r.log}
}

// Acquire implements permit.Table.
func (l *permitLedger) Acquire(r permit.Request) permit.Verdict {
	p := permits.Permit{Holder: r.Holder, ID: r.PermitID, Weight: r.Weight}
	return verdicts[l.owner.Grant(r.Target, p)]
}

// Release implements permit.Table.
func (l *permitLedger) Release(r permit.Release) {
	for _, id := range r.PermitIDs {
		l.ledger.Release(r.Target, r.Holder, id)
	}
}

// Announce implements permit.Table.
func (l *permitLedger) Announce(a permit.Announcement) {
	held := make([]permits.Permit, 0, len(a.Permits))
	for _, p := range a.Permits {
		held = append(held, permits.Permit{Holder: a.Holder, ID: p.ID, Weight: p.Weight})
	}
	l.ledger.Announce(time.Now(), a.Target, held)
}

// Acquire implements ownership.Peers. If the response is lost, the client releases the
// permit that the owner may have granted.
func (p *permitPeers) Acquire(ctx context.Context, address, service, target string, requested permits.Permit) (permits.Verdict, bool) {
	verdict := p.client.Acquire(ctx, address, permit.Request{
		Service: service, Target: target, Holder: requested.Holder, PermitID: requested.ID, Weight: requested.Weight,
	})
	for v, peerVerdict := range verdicts {
		if peerVerdict == verdict {
			return v, true
		}
	}
	return permits.NotOwner, false
}

// Release implements ownership.Peers.
func (p *permitPeers) Release(address, target string, held permits.Permit) {
	p.client.Release(address, target, held.ID)
}

// Handover implements ownership.Peers.
func (p *permitPeers) Handover(ctx context.Context, address, target, owner string, epoch uint64) (permits.Handover, bool) {
	return handover.Fetch(ctx, p.http, address, target, owner, epoch)
}

// Announce implements ownership.Peers.
func (p *permitPeers) Announce(address, service, target string, held []permits.Permit) {
	a := permit.Announcement{Service: service, Target: target}
	for _, h := range held {
		a.Holder = h.Holder
		a.Permits = append(a.Permits, permit.HeldPermit{ID: h.ID, Weight: h.Weight})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		if err := p.client.Announce(ctx, address, a); err != nil {
			p.log.Debug().Err(err).Str("target", target).Msg("failed to announce permits")
		}
	}()
}
