package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// keepUpTimeout is how long a write waits for a caller before the rest is kept for it. It is above
	// the scheduling delays of a VM with a tenth of a core, and far below the seconds after which
	// targets cut off a response that is not read.
	keepUpTimeout = 50 * time.Millisecond
	// backlogBlockBytes is the unit in which a backlog takes and returns memory.
	backlogBlockBytes = 8 << 10
	// roomCheckInterval is the time between two calls of SlowCaller.AwaitRoom.
	roomCheckInterval = 50 * time.Millisecond
)

type (
	// SlowCaller is told of a caller that does not take its response as fast as it is written, and
	// provides the memory for the part that the caller has yet to take. HoldBacklog, AwaitRoom and
	// BeginSlowBody are called by the goroutine that writes the response, the others by any.
	SlowCaller interface {
		// HoldBacklog reports whether there is memory for more bytes. If not, the response is aborted.
		HoldBacklog(bytes int) bool
		// ReleaseBacklog returns bytes for which HoldBacklog was called.
		ReleaseBacklog(bytes int)
		// MaxBacklog returns the bound on the bytes of one response that are held.
		MaxBacklog() int
		// AwaitRoom is called repeatedly while a write waits because the bound is reached. It returns
		// false if the response must be aborted.
		AwaitRoom() bool
		// BeginSlowBody is called when the caller does not take the body of Respond at once.
		BeginSlowBody()
		// CallerStalled is called when the response is aborted because the caller has taken nothing
		// for writeTimeout.
		CallerStalled()
	}

	// backlog holds the part of a response that its caller has yet to take. A goroutine writes it
	// while it is not empty.
	backlog struct {
		// room receives a value when the goroutine has written a block.
		room chan struct{}

		mu sync.Mutex
		// blocks holds the data in order, in blocks of backlogBlockBytes capacity. Of the first one,
		// offset bytes have been written.
		blocks [][]byte
		offset int
		// done is closed when the goroutine has ended; nil if there is none.
		done chan struct{}
	}
)

// SetSlowCaller lets the writer keep what the caller does not take at once. Without it, writes wait
// for the caller. It must be called before the response is started.
func (w *ResponseWriter) SetSlowCaller(s SlowCaller) { w.slowCaller = s }

// Abandon lets the write in progress and all later ones fail. It may be used concurrently.
func (w *ResponseWriter) Abandon() {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	w.conn.abandoned = true
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
}

// Flush waits until the caller has taken the response, or has taken nothing for writeTimeout. The
// response is aborted if the caller closes its connection, which is the cause of ctx.
func (w *ResponseWriter) Flush(ctx context.Context) {
	done := w.backlog.writing()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), ErrCallerClosed) {
			w.Abort()
		}
		<-done // When the server stops, writes fail soon.
	}
}

// IsBehind reports whether the caller has yet to take a part of what was written.
func (w *ResponseWriter) IsBehind() bool { return w.backlog.writing() != nil }

// writing returns a channel that is closed when the backlog is empty, or nil if it is.
func (b *backlog) writing() <-chan struct{} {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// writeOrKeep writes parts, and keeps what the caller does not take soon.
func (w *ResponseWriter) writeOrKeep(parts [][]byte) {
	if w.IsBehind() {
		w.keep(parts)
		return
	}
	if rest := skip(parts, w.conn.writeNow(nil, parts)); len(rest) > 0 {
		w.awaitOrKeep(rest)
	}
}

// awaitOrKeep writes parts that the kernel does not take at once.
func (w *ResponseWriter) awaitOrKeep(parts [][]byte) {
	rest := net.Buffers(parts)
	w.conn.limitWrite(keepUpTimeout)
	_, err := rest.WriteTo(w.conn.Conn)
	switch {
	case err == nil:
	case !w.isLate(err):
		w.writeFailed.Store(true)
	case w.chunked:
		if w.backlog == nil {
			w.backlog = &backlog{room: make(chan struct{}, 1)}
		}
		w.keep(rest)
	default:
		w.slowCaller.BeginSlowBody()
		w.writeSlowly(rest)
	}
}

// isLate reports whether an error of a write only says that the caller did not take the data in time.
func (w *ResponseWriter) isLate(err error) bool {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	return errors.Is(err, os.ErrDeadlineExceeded) && !w.conn.abandoned && w.conn.server.stopped.Err() == nil
}

// keep adds parts to the backlog. It waits while the backlog is full.
func (w *ResponseWriter) keep(parts [][]byte) {
	for _, data := range parts {
		for len(data) > 0 && !w.writeFailed.Load() {
			n, isFull := w.backlog.fill(data, w.slowCaller.MaxBacklog())
			data = data[n:]
			switch {
			case n > 0:
			case isFull:
				w.awaitRoom()
			case w.slowCaller.HoldBacklog(backlogBlockBytes):
				w.startBlock()
			default:
				w.giveUp()
			}
		}
	}
}

// giveUp aborts a response that cannot go on because of its caller.
func (w *ResponseWriter) giveUp() {
	w.writeFailed.Store(true)
	w.Abandon()
}

// fill copies data to the last block, as much as it takes. isFull is set if it takes none and there
// may be no other block.
func (b *backlog) fill(data []byte, limit int) (n int, isFull bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last := len(b.blocks) - 1; last >= 0 {
		block := b.blocks[last]
		n = min(len(data), cap(block)-len(block))
		b.blocks[last] = append(block, data[:n]...)
	}
	return n, n == 0 && len(b.blocks) > 0 && (len(b.blocks)+1)*backlogBlockBytes > limit
}

// startBlock adds an empty block, for which there is memory, and starts the goroutine that writes the
// backlog if there is none.
func (w *ResponseWriter) startBlock() {
	b := w.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blocks = append(b.blocks, make([]byte, 0, backlogBlockBytes))
	if b.done == nil {
		b.done = make(chan struct{})
		go w.writeBacklog()
	}
}

// awaitRoom waits until a block of the backlog has been written or the response must be aborted.
func (w *ResponseWriter) awaitRoom() {
	ticker := time.NewTicker(roomCheckInterval)
	defer ticker.Stop()
	done := w.backlog.writing()
	if done == nil {
		return
	}
	for w.slowCaller.AwaitRoom() {
		select {
		case <-w.backlog.room:
			return
		case <-done:
			return
		case <-ticker.C:
		}
	}
	w.giveUp()
}

// writeBacklog writes the backlog until it is empty or cannot be written.
func (w *ResponseWriter) writeBacklog() {
	b := w.backlog
	for {
		data := b.next(w.writeFailed.Load(), w.slowCaller.ReleaseBacklog)
		if data == nil {
			return
		}
		if n := w.writeSlowly([][]byte{data}); n == len(data) {
			b.advance(n)
		}
	}
}

// next returns the data to write next. It removes the first block if it has been written, or all
// blocks if they are discarded, and ends the backlog if none is left, with nil.
func (b *backlog) next(discard bool, release func(bytes int)) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	removed := 0
	switch {
	case discard:
		removed = len(b.blocks)
	case len(b.blocks) > 0 && b.offset == len(b.blocks[0]):
		removed = 1
	}
	if removed > 0 {
		clear(b.blocks[:removed])
		b.blocks, b.offset = b.blocks[removed:], 0
		release(removed * backlogBlockBytes)
		select {
		case b.room <- struct{}{}:
		default:
		}
	}
	if len(b.blocks) == 0 {
		b.blocks = nil
		close(b.done)
		b.done = nil
		return nil
	}
	return b.blocks[0][b.offset:]
}

func (b *backlog) advance(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset += n
}

// writeSlowly writes parts to a caller as long as it takes some bytes within writeTimeout each time. It
// returns the number of bytes written.
func (w *ResponseWriter) writeSlowly(parts [][]byte) int {
	buffers, written := net.Buffers(parts), 0
	for !w.writeFailed.Load() {
		before := w.conn.unsent()
		w.conn.limitWrite(writeTimeout)
		n, err := buffers.WriteTo(w.conn.Conn)
		written += int(n)
		if err == nil {
			break
		}
		if !w.isLate(err) {
			w.writeFailed.Store(true)
			break
		}
		// A socket with a large buffer takes more only when a third of it is free.
		if n == 0 && w.conn.unsent() >= before {
			w.writeFailed.Store(true)
			w.slowCaller.CallerStalled()
			w.Abandon()
		}
	}
	return written
}
