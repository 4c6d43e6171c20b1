// Package ports gives tests free addresses to listen at.
package ports

import (
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
)

const (
	// Ports start at first, below the ephemeral ports of outgoing connections.
	first = 20000
	count = 12000
	// blockSize is the number of ports that one test process takes at a time. It listens at the
	// first of them until it ends, so that no other test process takes the block.
	blockSize = 100
)

// block is what is left of the blocks that this process has taken.
var block struct {
	mu sync.Mutex
	// next and end are the port after the last one that was given, and the end of the block.
	next, end int
	// tried is the number of blocks that were tried.
	tried int
	// starts are the first ports of the blocks, held the listeners there. reused counts the
	// blocks whose ports are given once more, when there are no others.
	starts []int
	held   []net.Listener
	reused int
}

// Free returns a port that is free for TCP and UDP on loopback and that Free gives no other test
// process while this one runs, or fails the test. It is below the ephemeral port range, so that no
// outgoing connection takes it before it is used. No process is forked meanwhile: until it
// executes its program, the child would keep the listener open.
func Free(t testing.TB) int {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	block.mu.Lock()
	defer block.mu.Unlock()
	for range count {
		if block.next >= block.end && !takeBlock() {
			break
		}
		port := block.next
		block.next++
		if isFree(address(port)) {
			return port
		}
	}
	t.Fatalf("none of %d ports from %d on is free", count, first)
	return 0
}

// takeBlock takes a block that no other test process has, or one of its own once more, and reports
// whether there was one. block.mu must be held.
func takeBlock() bool {
	for ; block.tried < count/blockSize; block.tried++ {
		start := first + block.tried*blockSize
		l, err := net.Listen("tcp4", address(start)) //nolint:noctx // Returns at once.
		if err != nil {
			continue
		}
		block.starts, block.held = append(block.starts, start), append(block.held, l)
		block.next, block.end = start+1, start+blockSize
		block.tried++
		return true
	}
	if len(block.starts) == 0 {
		return false
	}
	start := block.starts[block.reused%len(block.starts)]
	block.next, block.end = start+1, start+blockSize
	block.reused++
	return true
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
