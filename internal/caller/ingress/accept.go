package ingress

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	done := make(chan struct{})
	defer close(done)
	s.mu.Lock()
	s.serving[l] = done
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			metrics.GetOrCreateCounter(`hickoryrock_accept_errors_total`).Inc()
			time.Sleep(5 * time.Millisecond) // Probably out of file descriptors: wait for calls to end.
			continue
		}
		s.serveAccepted(c)
	}
}

// CloseListener closes a listener after it has accepted the connections that callers have
// established: the kernel resets those that are not accepted. When it returns, Connections counts
// all that were accepted.
func (s *Server) CloseListener(l net.Listener) error {
	pending, err := acceptPending(l)
	for _, c := range pending {
		s.serveAccepted(c)
	}
	err = errors.Join(err, l.Close())
	s.mu.Lock()
	done := s.serving[l]
	delete(s.serving, l)
	s.mu.Unlock()
	if done != nil {
		<-done // Serve may have accepted a connection that it has not counted yet.
	}
	return err
}

func (s *Server) serveAccepted(c net.Conn) {
	s.lastAccept.Store(time.Now().UnixNano())
	accepted := &conn{Conn: c, server: s, reader: bufio.NewReaderSize(c, readBufferBytes)}
	s.mu.Lock()
	s.conns[accepted] = struct{}{}
	s.mu.Unlock()
	go s.serveConn(accepted)
}

// acceptPending accepts the established connections of a listener without waiting for more.
func acceptPending(l net.Listener) ([]net.Conn, error) {
	sys, ok := l.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "listener's descriptor")
	}
	var descriptors []int
	err = raw.Control(func(fd uintptr) {
		for {
			d, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return // None is pending, or there is no free descriptor.
			}
			descriptors = append(descriptors, d)
		}
	})
	var conns []net.Conn
	for _, d := range descriptors {
		file := os.NewFile(uintptr(d), "caller")
		c, connErr := net.FileConn(file) // Duplicates the descriptor.
		err = errors.Join(err, connErr, file.Close())
		if connErr == nil {
			conns = append(conns, c)
		}
	}
	return conns, eris.Wrap(err, "accept pending connections")
}
