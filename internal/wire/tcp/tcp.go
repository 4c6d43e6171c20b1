// Package tcp opens connections on which a reset never reads as the end of the data.
//
// The kernel reports the failure of a connection to one system call. If that is a write, the next
// read returns no data, as it does when the peer has sent a FIN. An answer that ends with its
// connection would then be complete although the connection was reset.
package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrEnded means that a write was ended because the peer sends no more.
var ErrEnded = errors.New("write ended: the peer has closed the connection")

var _ syscall.Conn = (*Conn)(nil)

// Conn is a connection whose Read returns io.EOF only if the peer has finished sending. Data is
// written through Write and WriteBuffers only, or failures would go unnoticed.
type Conn struct {
	net.Conn

	// writing is held from before a write until its result is known.
	writing sync.Mutex
	// failure is the first failure of the connection that a write was told of.
	failure error
	// ended is set when a read ends the write in progress.
	ended atomic.Bool
}

// NewConn returns a Conn on an open connection, which must not be used directly any more.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. At the end of the data it ends a write that is still in progress:
// whatever that would send, the peer will not answer on this connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endOfData()
	}
	return n, err
}

// Write implements net.Conn. It returns ErrEnded if the end of the data has ended it.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	return n, c.recordWrite(err)
}

// WriteBuffers writes all buffers, with one system call where possible. It returns ErrEnded as Write does.
func (c *Conn) WriteBuffers(b net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := b.WriteTo(c.Conn)
	return n, c.recordWrite(err)
}

// SyscallConn implements syscall.Conn. The raw connection must not be written to.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// endOfData returns io.EOF if the peer has sent a FIN, and otherwise why the connection has ended.
func (c *Conn) endOfData() error {
	if !c.writing.TryLock() {
		// The write in progress may have been told of a reset. One that has not could last until
		// the peer reads on, which it may never do.
		c.ended.Store(true)
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // Fails only if the connection is closed, which ends the write, too.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.failure != nil {
		return eris.Wrap(c.failure, "connection ended during a write")
	}
	return io.EOF
}

// recordWrite records the failure of a write if it is one of the connection that reads are not told of,
// and returns it. Deadlines and Close are of this side, and the kernel returns EPIPE only if the failure
// was reported before or came after the peer's FIN.
func (c *Conn) recordWrite(err error) error {
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && c.failure == nil && !isTimeout && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.EPIPE) {
		c.failure = err
	}
	if isTimeout && c.ended.Load() {
		return ErrEnded
	}
	return err
}
