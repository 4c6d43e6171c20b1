package link_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/link"
)

const patience = 300 * time.Millisecond

type fixture struct {
	*qt.C
	*link.Link
	// arrived takes what reaches the server, which echoes each line.
	arrived chan string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), arrived: make(chan string, 10)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					f.arrived <- lines.Text()
					_, _ = io.WriteString(c, lines.Text()+"\n")
				}
			}()
		}
	}()
	k, stop, err := link.New(l.Addr().String())
	f.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	f.Link = k
	return f
}

func (f *fixture) dial() net.Conn {
	c, err := net.Dial("tcp4", f.Address())
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { _ = c.Close() })
	return c
}

// say sends a line and returns the echo's error, nil when it came.
func (f *fixture) say(c net.Conn) error {
	if _, err := io.WriteString(c, "x\n"); err != nil {
		return err // A reset shows in the first call after it, and only there.
	}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func (f *fixture) assertSilent(c net.Conn) {
	f.Helper()
	err := f.say(c)
	f.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

func (f *fixture) assertReset(err error) {
	f.Helper()
	f.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

func TestASoundLinkPassesEverythingOn(t *testing.T) {
	f := newFixture(t)
	c := f.dial()
	for range 3 {
		f.Assert(f.say(c), qt.IsNil)
	}
}

func TestFaults(t *testing.T) {
	t.Run("slow", func(t *testing.T) {
		f := newFixture(t)
		f.Set(link.Slow)
		begun := time.Now()
		f.Assert(f.say(f.dial()), qt.IsNil)
		f.Assert(time.Since(begun) > 50*time.Millisecond, qt.IsTrue)
	})
	t.Run("reset", func(t *testing.T) {
		f := newFixture(t)
		c := f.dial()
		f.Assert(f.say(c), qt.IsNil)
		f.Set(link.Reset)
		f.assertReset(f.say(c))
		// The reset of a new connection may come before its dialing has ended.
		fresh, err := net.Dial("tcp4", f.Address())
		if err == nil {
			f.Cleanup(func() { _ = fresh.Close() })
			err = f.say(fresh)
		}
		f.assertReset(err)
	})
	t.Run("silent until it is sound again", func(t *testing.T) {
		f := newFixture(t)
		c := f.dial()
		f.Set(link.Silent)
		f.assertSilent(c)
		f.Assert(len(f.arrived), qt.Equals, 0)
		f.Set(link.Sound)
		f.Assert(f.say(c), qt.IsNil)
	})
	t.Run("without answers", func(t *testing.T) {
		f := newFixture(t)
		f.Set(link.NoAnswers)
		f.assertSilent(f.dial())
		f.Assert(len(f.arrived), qt.Equals, 1)
	})
	t.Run("without calls", func(t *testing.T) {
		f := newFixture(t)
		f.Set(link.NoCalls)
		f.assertSilent(f.dial())
		f.Assert(len(f.arrived), qt.Equals, 0)
	})
	t.Run("stale for the connections that are open", func(t *testing.T) {
		f := newFixture(t)
		c := f.dial()
		f.Assert(f.say(c), qt.IsNil)
		f.Set(link.Stale)
		f.assertSilent(c)
		f.Assert(f.say(f.dial()), qt.IsNil)
	})
}
