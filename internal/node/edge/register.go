package edge

import (
	"context"
	"net"
	"strconv"
	"time"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/platform"
)

const (
	// registerRetry is the waiting time after a failed write of the router's entry.
	registerRetry = 500 * time.Millisecond
	// routersEvery is how often the routers' entries are read.
	routersEvery = 10 * time.Second
)

// register makes sure that the router's entry is in the store and reads those
// of the others.
func (r *Router) register(ctx context.Context) {
	self := platform.Router{
		Name: r.settings.Router, CallerAddress: r.settings.CallerAddress,
		PeerAddress:   net.JoinHostPort(r.settings.IP, strconv.Itoa(r.settings.PeerPorts[0])),
		FailureDomain: r.settings.FailureDomain,
	}
	for !r.registered(ctx, self) {
		if objects.Sleep(ctx, registerRetry) != nil {
			return
		}
	}
	_ = objects.Sleep(ctx, r.fleet.MeetingTime())
	close(r.settled)
	for objects.Sleep(ctx, routersEvery) == nil {
		// New routers make themselves known to those that they find listed; the
		// one that watches the store looks for those that they missed.
		if r.fleet.Leads() {
			_, _ = r.meetListed(ctx, r.store.ListCached, self)
		}
	}
}

// leads reports whether this router watches the store for the others: not
// before it knows who else might.
func (r *Router) leads() bool {
	select {
	case <-r.settled:
		return r.fleet.Leads()
	default:
		return false
	}
}

// registered reports whether the router has its entry and has met those that
// were listed at that time.
func (r *Router) registered(ctx context.Context, self platform.Router) bool {
	// After a restart the entry is there: routers that came since have met it.
	if known, err := r.meetListed(ctx, r.store.ListCached, self); err != nil || known {
		return err == nil
	}
	if err := r.store.Put(ctx, platform.KindRouters, self.Name, platform.EncodeRouter(self)); err != nil {
		r.log.Warn().Err(err).Msg("router entry could not be written")
		return false
	}
	// Only a list after the write is sure to hold all that will not find this one.
	_, err := r.meetListed(ctx, r.store.List, self)
	return err == nil
}

// meetListed meets the routers in a list and reports whether it holds this one as it is.
func (r *Router) meetListed(
	ctx context.Context, list func(context.Context, string) (platform.Page, error), self platform.Router,
) (known bool, err error) {
	page, err := list(ctx, platform.KindRouters)
	if err != nil {
		r.log.Warn().Err(err).Msg("routers could not be listed")
		return false, err
	}
	for _, o := range page.Objects {
		other, err := platform.DecodeRouter(o)
		if err != nil {
			r.log.Warn().Err(err).Msg("router entry skipped")
			continue
		}
		known = known || other == self
		r.fleet.Meet(other.PeerAddress)
	}
	return known, nil
}
