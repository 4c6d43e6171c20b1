package drain

import (
	"context"
	"sync"
	"time"
)

type (
	// Target is an engine to be drained.
	Target struct {
		Name        string
		Address     string
		Destination DestinationFunc
	}

	// ListFunc returns the engines that this router has to drain.
	ListFunc func() []Target

	// startedDrains holds the listed engines whose drain is running or has succeeded.
	startedDrains struct {
		mu    sync.Mutex
		names map[string]bool
	}
)

// Watch drains each listed engine until ctx ends. An engine is drained once, and again after a failure or after it left
// the list and came back. It is harmless if two routers drain the same engine at the same time.
func (d *Drainer) Watch(ctx context.Context, list ListFunc) {
	r := &startedDrains{names: map[string]bool{}}
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(d.opts.PollInterval)
	defer ticker.Stop()
	for {
		for _, t := range r.addNew(list()) {
			group.Go(func() {
				if d.drainTarget(ctx, t).Failure != nil {
					r.remove(t.Name)
				}
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Drainer) drainTarget(ctx context.Context, t Target) Report {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	return d.Run(ctx, t.Address, t.Destination)
}

// addNew returns the targets that are new in the list, and forgets those that are no longer in it.
func (r *startedDrains) addNew(listed []Target) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Target
	names := map[string]bool{}
	for _, t := range listed {
		names[t.Name] = true
		if !r.names[t.Name] {
			added = append(added, t)
		}
	}
	r.names = names
	return added
}

func (r *startedDrains) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.names, name)
}
