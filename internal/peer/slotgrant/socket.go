package slotgrant

import (
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
)

// maxDatagramBytes bounds a datagram below the usual path MTU.
const maxDatagramBytes = 1400

var (
	errNotIPv4  = eris.New("not an IPv4 address")
	errTooLarge = eris.New("datagram is too large")

	// buffers holds *[]byte for encoded datagrams.
	buffers = sync.Pool{New: func() any {
		b := make([]byte, 0, maxDatagramBytes)
		return &b
	}}
)

// socket is a UDP socket whose writes never wait.
type socket struct {
	conn    *net.UDPConn
	raw     syscall.RawConn
	address netip.AddrPort
}

func listen(address string) (*socket, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "slot address %q", address)
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for slot requests at %q", address)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "slot socket at %q", address)
	}
	local, err := netip.ParseAddrPort(conn.LocalAddr().String())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "slot socket at %q", address)
	}
	return &socket{conn: conn, raw: raw, address: local}, nil
}

// close ends receive.
func (s *socket) close() { _ = s.conn.Close() }

// send sends one message. It does not wait for space in the send buffer, because a stalled
// network device would then stop the receiver; it returns EAGAIN instead.
func (s *socket) send(to netip.AddrPort, m *peerv1.SlotMessage) error {
	if !to.Addr().Is4() {
		return eris.Wrapf(errNotIPv4, "send to %s", to)
	}
	b := buffers.Get().(*[]byte)
	defer buffers.Put(b)
	data, err := proto.MarshalOptions{}.MarshalAppend((*b)[:0], m)
	if err != nil {
		return eris.Wrap(err, "encode slot message")
	}
	*b = data[:0]
	if len(data) > maxDatagramBytes {
		return eris.Wrapf(errTooLarge, "%d bytes", len(data))
	}
	address := &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
	var sendErr error
	if err := s.raw.Write(func(fd uintptr) bool {
		sendErr = unix.Sendto(int(fd), data, unix.MSG_DONTWAIT, address)
		return true
	}); err != nil {
		return eris.Wrap(err, "slot socket")
	}
	if sendErr != nil {
		return eris.Wrapf(sendErr, "send to %s", to)
	}
	return nil
}

// receive calls handle with each datagram until the socket is closed. Data is valid until
// handle returns.
func (s *socket) receive(handle func(data []byte, from netip.AddrPort)) {
	// A datagram that fills the buffer is too large and malformed.
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			droppedReceive.Inc()
			continue
		}
		handle(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
