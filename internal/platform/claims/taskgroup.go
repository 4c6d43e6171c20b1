package claims

import (
	"sync"
	"time"
)

// taskGroup tracks background goroutines, waits for them on close, and prevents new
// ones from being started after that.
type taskGroup struct {
	mu      sync.RWMutex
	closed  bool
	running sync.WaitGroup
}

// ifOpen calls fn, which may start goroutines with running.Go, or returns errClosed if
// the group is closed.
func (g *taskGroup) ifOpen(fn func() error) error {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.closed {
		return errClosed
	}
	return fn()
}

// close prevents new tasks and waits for the running ones. After the timeout it calls
// cancel to stop them.
func (g *taskGroup) close(timeout time.Duration, cancel func()) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	g.running.Wait()
	cancel()
}
