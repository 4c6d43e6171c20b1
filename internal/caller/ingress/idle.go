package ingress

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// awaitRequest waits for the first byte of a request. It skips empty lines before it, which
// some callers send after a body (RFC 9112, section 2.2).
func (c *conn) awaitRequest() error {
	const emptyLine = "\r\n"
	hasRead := false
	for {
		first, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && !hasRead && c.hasArrived() {
			// The process was late, not the caller. What has arrived is read at once.
			c.mu.Lock()
			_ = c.SetReadDeadline(time.Now().Add(c.closeDelay()))
			c.mu.Unlock()
			continue
		}
		if err != nil || first[0] != emptyLine[0] {
			return err
		}
		both, err := c.reader.Peek(len(emptyLine))
		if err != nil || string(both) != emptyLine {
			return err
		}
		_, _ = c.reader.Discard(len(emptyLine)) // It is buffered.
		hasRead = true
	}
}

// hasArrived reports whether bytes of the caller have arrived that were not read. A read after
// the read deadline would not return them.
func (c *conn) hasArrived() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // -1 if there are none.
	})
	return err == nil && n > 0
}
