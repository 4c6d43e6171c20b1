// Package ports gives tests free addresses to listen at.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
)

const (
	// Ports start at first, below the ephemeral ports of outgoing connections.
	first = 20000
	count = 12000
	// perProcess is the distance between the first ports of two test processes.
	perProcess = 100
)

var next atomic.Int64

// Free returns a port that is free for TCP and UDP on loopback, or fails the test. It is
// below the ephemeral port range, so that no outgoing connection takes it before it is used.
// No process is forked meanwhile: until it executes its program, the child would keep the
// listener open.
func Free(t testing.TB) int {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range count {
		port := first + (os.Getpid()*perProcess+int(next.Add(1)))%count
		if isFree(address(port)) {
			return port
		}
	}
	t.Fatalf("none of %d ports from %d on is free", count, first)
	return 0
}

// FreeAddress returns an address on loopback with a free port; see Free.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return address(Free(t))
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address) //nolint:noctx // Returns at once.
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp4", address) //nolint:noctx // Returns at once.
	if err != nil {
		return false
	}
	_ = p.Close()
	return true
}
