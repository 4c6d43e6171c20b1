package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the peak resident memory of the running instance, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0, fmt.Errorf("%q does not run", p.name)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.current.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("memory of %q: %w", p.name, err)
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("memory of %q: %w", p.name, err)
		}
		return kilobytes << 10, nil
	}
	return 0, fmt.Errorf("memory of %q: no peak in its status", p.name)
}
