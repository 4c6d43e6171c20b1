package process

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period in which a process may use its share of a processor.
	quotaPeriod = 100 * time.Millisecond
	// quotaCheckInterval is how often the processor time of each process is read.
	quotaCheckInterval = 2 * time.Millisecond
)

// quotaState is what is known of one process with a quota.
type quotaState struct {
	incarnation int
	// allowed is the processor time up to which the process may run.
	allowed time.Duration
	paused  bool
}

// LimitProcessors pauses each process when it has used its share of a processor in the present
// period, as the quota of a VM with less than one core does. The returned function ends that.
// The processes must not be paused otherwise.
func LimitProcessors(processes []*Process, share float64) func() {
	done, ended := make(chan struct{}), make(chan struct{})
	quota := time.Duration(share * float64(quotaPeriod))
	go func() {
		defer close(ended)
		states := make([]quotaState, len(processes))
		ticker := time.NewTicker(quotaCheckInterval)
		defer ticker.Stop()
		periodEnd := time.Now().Add(quotaPeriod)
		for {
			now := time.Now()
			isNewPeriod := now.After(periodEnd)
			if isNewPeriod {
				periodEnd = now.Add(quotaPeriod)
			}
			for i, p := range processes {
				states[i].apply(p, quota, isNewPeriod)
			}
			select {
			case <-done:
				for _, p := range processes {
					p.Signal(syscall.SIGCONT)
				}
				return
			case <-ticker.C:
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// apply pauses the process if it has used its quota, and lets it run again in a new period.
func (s *quotaState) apply(p *Process, quota time.Duration, isNewPeriod bool) {
	used, incarnation, ok := p.processorTime()
	switch {
	case !ok:
		*s = quotaState{}
	case incarnation != s.incarnation:
		*s = quotaState{incarnation: incarnation, allowed: used + quota}
	case isNewPeriod:
		s.allowed = min(s.allowed, used) + quota // What was used in excess is deducted.
		if s.paused && used < s.allowed {
			p.Signal(syscall.SIGCONT)
			s.paused = false
		}
	case !s.paused && used >= s.allowed:
		p.Signal(syscall.SIGSTOP)
		s.paused = true
	}
}

// processorTime returns the processor time that the running process has used.
func (p *Process) processorTime() (used time.Duration, incarnation int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0, 0, false
	}
	// The clock of another process's processor time, as clock_getcpuclockid(3) returns it.
	clock := int32(^p.current.cmd.Process.Pid<<3 | 2) //nolint:gosec // Process IDs are small.
	var ts unix.Timespec
	if unix.ClockGettime(clock, &ts) != nil {
		return 0, 0, false
	}
	return time.Duration(ts.Nano()), p.starts, true
}
