package ingress

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket gives access to the connection's file descriptor.
type socket struct {
	raw syscall.RawConn
	// write makes one system call that writes data, or parts if it is nil. It is created once, so
	// that a write of data allocates nothing.
	write   func(fd uintptr) bool
	data    []byte
	parts   [][]byte
	written int
	err     error
}

// socket returns the access to the connection's file descriptor, or nil if it has none.
func (c *conn) socket() *socket {
	if c.sock != nil {
		return c.sock
	}
	raw := c.rawConn()
	if raw == nil {
		return nil
	}
	s := &socket{raw: raw}
	s.write = func(fd uintptr) bool {
		for {
			if s.data != nil {
				s.written, s.err = unix.Write(int(fd), s.data)
			} else {
				s.written, s.err = unix.Writev(int(fd), s.parts)
			}
			if !errors.Is(s.err, unix.EINTR) {
				return true
			}
		}
	}
	c.sock = s
	return s
}

// rawConn returns the access to the connection's file descriptor, or nil if it has none. It may be used
// concurrently.
func (c *conn) rawConn() syscall.RawConn {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// writeNow writes what the kernel takes of data, or of parts if it is nil, without waiting, and
// returns the number of bytes. An error is left to the write of the rest. It needs no write deadline.
func (c *conn) writeNow(data []byte, parts [][]byte) int {
	s := c.socket()
	if s == nil {
		return 0
	}
	s.data, s.parts, s.written, s.err = data, parts, 0, nil
	err := s.raw.Write(s.write)
	s.data, s.parts = nil, nil
	if err != nil || s.err != nil {
		return 0
	}
	return s.written
}

// skip returns parts without their first n bytes.
func skip(parts [][]byte, n int) [][]byte {
	for len(parts) > 0 && n >= len(parts[0]) {
		n -= len(parts[0])
		parts = parts[1:]
	}
	if n > 0 {
		parts[0] = parts[0][n:]
	}
	return parts
}

// unsent returns the number of bytes that the kernel holds for the caller because the caller's host has
// not acknowledged them, or zero if it is not known. It may be used concurrently with writeNow.
func (c *conn) unsent() int {
	raw := c.rawConn()
	if raw == nil {
		return 0
	}
	var n int
	var err error
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return n
}
