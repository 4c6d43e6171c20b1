package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates a record. The returned function closes it.
func newRecord(path string) (*record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, started: time.Now()}, func() { _ = file.Close() }, nil
}

// add writes a line that begins with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
