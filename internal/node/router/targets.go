package router

import (
	"context"
	"time"

	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/platform/leases"
	"hickoryrock/internal/target/engine"
	"hickoryrock/internal/target/orders"
)

const (
	controllerInterval = 2 * time.Second
	// enginesPerLoadSlot: one in enginesPerLoadSlot engines of a deployment may load weights
	// at a time.
	enginesPerLoadSlot = 4
)

type (
	// controller is a running control loop for the engines of one deployment. It gives
	// orders while this router holds the deployment's lease.
	controller struct {
		stop context.CancelFunc
		done chan struct{}
	}

	// controllers are the control loops for all deployments that this router owns.
	controllers struct {
		router  *Router
		engines *engine.Client
		running map[string]controller
	}
)

// controlEngines runs a controller for each deployment that this router owns. Routers may
// disagree about the owner for a while; the lease ensures that only one gives orders.
func (r *Router) controlEngines(ctx context.Context) {
	c := &controllers{router: r, engines: r.engines, running: map[string]controller{}}
	tick := time.NewTicker(controllerInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stopExcept(nil)
			return
		case <-tick.C:
			c.update(ctx)
		}
	}
}

// update starts and stops controllers according to the current owners of the deployments.
func (c *controllers) update(ctx context.Context) {
	owned := map[string]bool{}
	for name := range c.router.dispatch.Catalog().Deployments() {
		owner, _, ok := c.router.owner.Of("orders/"+name, "")
		if ok && owner == c.router.settings.Name {
			owned[name] = true
		}
	}
	c.stopExcept(owned)
	for name := range owned {
		if _, ok := c.running[name]; !ok {
			c.running[name] = c.start(ctx, name)
		}
	}
}

// stopExcept stops the controllers of deployments that are not in owned, and waits until
// they have ended.
func (c *controllers) stopExcept(owned map[string]bool) {
	for name, running := range c.running {
		if !owned[name] {
			running.stop()
			<-running.done
			delete(c.running, name)
		}
	}
}

// start runs the controller of a deployment until ctx is done or its stop function is
// called.
func (c *controllers) start(ctx context.Context, name string) controller {
	ctx, cancel := context.WithCancel(ctx)
	running := controller{stop: cancel, done: make(chan struct{})}
	keeper, release := leases.New(c.router.store, "orders-"+name, leases.WithHolder(c.router.settings.Name))
	deployment := func() orders.Deployment { return deploymentOf(c.router.dispatch.Catalog(), name) }
	orderer := orders.New(c.router.store, engine.NewOrderClient(c.engines), keeper.Lease, deployment, orders.WithLogger(c.router.log))
	go func() {
		defer close(running.done)
		leaseDone := make(chan struct{})
		go func() {
			defer close(leaseDone)
			_ = keeper.Run(ctx)
		}()
		_ = orderer.Run(ctx)
		<-leaseDone
		release()
	}()
	return running
}

// deploymentOf returns the desired state of a deployment for its controller. A deployment
// that no longer exists desires nothing.
func deploymentOf(c *catalog.Catalog, name string) orders.Deployment {
	d := orders.Deployment{Name: name, Targets: map[string]string{}}
	found, ok := c.Deployments()[name]
	if !ok {
		return d
	}
	d.Desired = orders.DesiredState{Model: found.Model, Version: found.Version}
	for _, t := range found.Targets {
		if !t.Leaving {
			d.Targets[t.Name] = t.Address
		}
	}
	d.MaxConcurrentLoads = max(1, len(d.Targets)/enginesPerLoadSlot)
	return d
}
