// Package ports gives tests free addresses to listen at.
package ports

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	// Ports start at first, below the ephemeral ports of outgoing connections.
	first = 20000
	count = 12000
	// perProcess is the distance between the first ports of two test processes.
	perProcess = 100
)

var next atomic.Int64

// Free returns an address on loopback whose port is free for TCP and UDP. It is below the
// ephemeral port range, so that no outgoing connection takes the port before it is used. No
// process is forked meanwhile: until it executes its program, the child would keep the
// listener open.
func Free() (address string, port int, err error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range count {
		port := first + (os.Getpid()*perProcess+int(next.Add(1)))%count
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if isFree(address) {
			return address, port, nil
		}
	}
	return "", 0, eris.Errorf("none of %d ports from %d on is free", count, first)
}

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
