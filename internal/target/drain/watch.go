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

// Watch drains each listed engine until ctx ends. An engine is drained once, and again after a
// failure or after it was removed from the list and added again. It is harmless if two routers
// drain the same engine at the same time.
func (d *Drainer) Watch(ctx context.Context, list ListFunc) {
	started := &startedDrains{names: map[string]bool{}}
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(d.opts.PollInterval)
	defer ticker.Stop()
	for {
		for _, t := range started.addNew(list()) {
			group.Go(func() {
				if d.drainTarget(ctx, t).Failure != nil {
					started.remove(t.Name)
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
func (s *startedDrains) addNew(listed []Target) []Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []Target
	names := map[string]bool{}
	for _, t := range listed {
		names[t.Name] = true
		if !s.names[t.Name] {
			added = append(added, t)
		}
	}
	s.names = names
	return added
}

func (s *startedDrains) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}
