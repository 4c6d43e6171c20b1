package orders

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/leases"
	"hickoryrock/internal/platform/objects"
)

// KindIntents is the kind of the objects that hold a deployment's current intent.
const KindIntents = "order-intents"

// errNotLeaseHolder means that another controller holds the deployment's lease.
var errNotLeaseHolder = errors.New("deployment lease not held")

type (
	// LeaseFunc returns the deployment's lease and whether this process holds it.
	LeaseFunc func() (leases.Lease, bool)

	// DeploymentFunc returns the current configuration of the deployment.
	DeploymentFunc func() Deployment

	// Controller reconciles the engines of one deployment with their desired state
	// while it holds the deployment's lease. It is not safe for concurrent use.
	Controller struct {
		opts       Options
		store      objects.Store
		engine     Engine
		lease      LeaseFunc
		deployment DeploymentFunc
		pending    map[string]pendingOrder
	}

	// pendingOrder is the last order to a target and the time by which the target must report
	// it as applied.
	pendingOrder struct {
		order    Order
		deadline time.Time
	}

	// intent is written before the orders that follow from it. Its token fences off
	// earlier controllers: after the first write of a new lease holder, every write
	// of the previous one fails.
	intent struct {
		Token   uint64       `json:"token"`
		Desired DesiredState `json:"wanted"`
	}
)

// New returns a Controller.
func New(s objects.Store, e Engine, lease LeaseFunc, d DeploymentFunc, opts ...Option) *Controller {
	return &Controller{
		opts: newOptions(opts), store: s, engine: e, lease: lease, deployment: d,
		pending: make(map[string]pendingOrder),
	}
}

// Run reconciles periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for objects.Sleep(ctx, c.opts.Period) == nil {
		err := c.Reconcile(ctx)
		countReconcile(err)
		if err != nil && !errors.Is(err, errNotLeaseHolder) && ctx.Err() == nil {
			c.opts.Logger.Warn().Err(err).Msg("reconcile failed")
		}
	}
	return ctx.Err()
}

// Reconcile compares the engines' reports with the desired state and sends the resulting orders.
func (c *Controller) Reconcile(ctx context.Context) error {
	lease, ok := c.lease()
	if !ok {
		// Another controller may send orders now. After regaining the lease, start from the
		// engines' reports.
		clear(c.pending)
		return errNotLeaseHolder
	}
	d := c.deployment()
	reports := c.reports(ctx, d)
	orders := plan(d, reports, c.updatePending(ctx, d, reports), lease.Token)
	if len(orders) == 0 {
		return nil
	}
	if err := c.writeIntent(ctx, d, lease.Token); err != nil {
		return err
	}
	for _, p := range orders {
		if err := c.send(ctx, d, lease, p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) reports(ctx context.Context, d Deployment) map[string]Report {
	reports := make(map[string]Report, len(d.Targets))
	for target, address := range d.Targets {
		r, err := c.engine.Report(ctx, address)
		if err == nil {
			reports[target] = r
		}
	}
	return reports
}

// updatePending removes the targets that report their last order as applied or have
// exceeded their deadline, releases their load slots, and returns the others.
func (c *Controller) updatePending(ctx context.Context, d Deployment, reports map[string]Report) map[string]pendingOrder {
	for target, p := range c.pending {
		r, ok := reports[target]
		if c.opts.Now().Before(p.deadline) && (!ok || !p.order.appliedIn(r)) {
			continue
		}
		delete(c.pending, target)
		// On an error the slot is released when it expires.
		_ = c.releaseLoadSlot(ctx, d.Name+"/"+target)
	}
	return c.pending
}

// writeIntent ensures that the platform holds this controller's intent. It fails
// if a later lease holder has written its own.
func (c *Controller) writeIntent(ctx context.Context, d Deployment, token uint64) error {
	key := objects.Key{Kind: KindIntents, Name: d.Name}
	want := intent{Token: token, Desired: d.Desired}
	var have intent
	version, err := readValue(ctx, c.store, key, &have)
	if err != nil {
		return err
	}
	if have.Token > token {
		return errNotLeaseHolder
	}
	if version != 0 && reflect.DeepEqual(have, want) {
		return nil
	}
	return writeValue(ctx, c.store, key, version, want)
}

// send sends one order if a load slot is available and the lease is still valid.
func (c *Controller) send(ctx context.Context, d Deployment, lease leases.Lease, p plannedOrder) error {
	if p.order.Kind != SetRole {
		ok, err := c.acquireLoadSlot(ctx, d.Name+"/"+p.target)
		if err != nil || !ok {
			return err
		}
	}
	// Keep this check directly before the order: a delay between them could outlast the lease.
	if !lease.Valid() {
		return errNotLeaseHolder
	}
	c.pending[p.target] = pendingOrder{order: p.order, deadline: c.opts.Now().Add(c.opts.LoadTimeout)}
	err := c.engine.Order(ctx, d.Targets[p.target], p.order)
	countOrder(p.order.Kind, err)
	if errors.Is(err, ErrFenced) {
		return errNotLeaseHolder
	}
	// Other errors are ignored: the engine's next report shows whether the order was applied.
	return nil
}

// readValue decodes an object into v and returns its version, or 0 if it does not exist.
func readValue(ctx context.Context, s objects.Store, k objects.Key, v any) (uint64, error) {
	obj, err := s.Get(ctx, k)
	if errors.Is(err, objects.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(obj.Data, v); err != nil {
		return 0, eris.Wrapf(objects.ErrInvalid, "%s/%s: %v", k.Kind, k.Name, err)
	}
	return obj.Version, nil
}

func writeValue(ctx context.Context, s objects.Store, k objects.Key, version uint64, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, k.Kind)
	}
	if version == 0 {
		_, err = s.Create(ctx, k, data)
	} else {
		_, err = s.Update(ctx, k, version, data)
	}
	return err
}
