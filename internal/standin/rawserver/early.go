package rawserver

import (
	"io"
	"net"
	"time"
)

const (
	// deliveryTime is enough for a client to read what was sent to it and to wait for more.
	deliveryTime = 10 * time.Millisecond
	// idleTime is how long a server keeps a connection on which it reads nothing.
	idleTime = 5 * time.Second
)

// The ways in which a server ends an answer that it has sent before it has read the request.
const (
	// EndReset resets the connection.
	EndReset End = "reset"
	// EndReadOn sends a FIN and reads the rest of the request.
	EndReadOn End = "fin, reads on"
	// EndReadNothing sends a FIN, keeps the connection and reads nothing.
	EndReadNothing End = "fin, reads nothing"
	// EndResetAfterFIN sends a FIN, and resets the connection when it has been delivered.
	EndResetAfterFIN End = "fin, then reset"
)

// End is how a server ends an early answer.
type End string

// NewEarly starts a server that sends an answer as soon as the head of a request has arrived, and ends
// it while the client is still sending a long body. It returns the server and a function that closes
// its listener.
func NewEarly(answer func(Request) string, end End) (*Server, func(), error) {
	return New(answerEarly(answer, end), WithUnreadBodies())
}

func answerEarly(answer func(Request) string, end End) Handler {
	return func(c net.Conn, r Request) bool {
		if _, err := io.WriteString(c, answer(r)); err != nil {
			return false
		}
		time.Sleep(deliveryTime)
		if tcp, ok := c.(*net.TCPConn); ok && end != EndReset {
			_ = tcp.CloseWrite()
		}
		switch end {
		case EndReadOn:
			_, _ = io.Copy(io.Discard, c)
		case EndReadNothing:
			time.Sleep(idleTime)
		case EndResetAfterFIN:
			time.Sleep(deliveryTime)
			Reset(c)
		case EndReset:
			Reset(c)
		}
		return false
	}
}
