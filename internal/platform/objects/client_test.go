package objects_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/platform"
	"hickoryrock/internal/testing/ports"
)

var (
	ctx        = context.Background()
	serviceKey = objects.Key{Kind: "service", Name: "coats"}
	one        = json.RawMessage(`{"n":1}`)
	two        = json.RawMessage(`{"n":2}`)
)

// start returns a stand-in platform and a client connected to it.
func start(t *testing.T, opts ...platform.Option) (*platform.Server, *objects.Client) {
	s := platform.New(opts...)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, newClient(t, srv.URL)
}

func newClient(t *testing.T, urls ...string) *objects.Client {
	c, closeClient := objects.New(objects.WithBaseURLs(urls...), objects.WithName("a"),
		objects.WithCallTimeout(500*time.Millisecond), objects.WithReadAttempts(2),
		objects.WithBackoff(time.Millisecond, time.Millisecond),
		objects.WithWatchIdleTimeout(300*time.Millisecond))
	t.Cleanup(closeClient)
	return c
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	qt.Assert(t, err, qt.ErrorIs, want)
}

func wantData(t *testing.T, c *objects.Client, want json.RawMessage) objects.Object {
	t.Helper()
	obj, err := c.Get(ctx, serviceKey)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(obj.Data), qt.Equals, string(want))
	return obj
}

func TestWrites(t *testing.T) {
	t.Run("versions and preconditions", func(t *testing.T) {
		_, c := start(t)
		_, err := c.Get(ctx, serviceKey)
		wantError(t, err, objects.ErrNotFound)
		first, err := c.Create(ctx, serviceKey, one)
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Create(ctx, serviceKey, two)
		wantError(t, err, objects.ErrConflict)
		second, err := c.Update(ctx, serviceKey, first.Version, two)
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Update(ctx, serviceKey, first.Version, one)
		wantError(t, err, objects.ErrConflict)
		_, err = c.Delete(ctx, serviceKey, first.Version)
		wantError(t, err, objects.ErrConflict)
		qt.Assert(t, wantData(t, c, two).Version, qt.Equals, second.Version)
		tombstone, err := c.Delete(ctx, serviceKey, second.Version)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, tombstone.Version, qt.Equals, second.Version+1)
	})
	t.Run("a lost response is unknown, and the write took effect", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{LoseReplies: 1})
		_, err := c.Create(ctx, serviceKey, one)
		wantError(t, err, objects.ErrUnknownOutcome)
		wantData(t, c, one)
	})
	t.Run("a platform that is down is unavailable, and the write took no effect", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{Down: true})
		_, err := c.Create(ctx, serviceKey, one)
		wantError(t, err, objects.ErrUnavailable)
		s.SetFaults(platform.Faults{})
		_, err = c.Get(ctx, serviceKey)
		wantError(t, err, objects.ErrNotFound)
	})
	t.Run("connection refused is unavailable, and the next address is used", func(t *testing.T) {
		closed := "http://" + ports.FreeAddress(t)
		_, err := newClient(t, closed).Create(ctx, serviceKey, one)
		wantError(t, err, objects.ErrUnavailable)

		srv := httptest.NewServer(platform.New())
		defer srv.Close()
		c := newClient(t, closed, srv.URL)
		_, err = c.Create(ctx, serviceKey, one)
		qt.Assert(t, err, qt.IsNil)
		wantData(t, c, one)
	})
	t.Run("a 5xx without the platform's error code is unknown", func(t *testing.T) {
		for _, status := range []int{500, 502, 503, 504} {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			_, err := newClient(t, srv.URL).Create(ctx, serviceKey, one)
			wantError(t, err, objects.ErrUnknownOutcome)
			srv.Close()
		}
	})
	t.Run("a truncated response is unknown", func(t *testing.T) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"kind":"service","na`))
		}))
		defer srv.Close()
		_, err := newClient(t, srv.URL).Create(ctx, serviceKey, one)
		wantError(t, err, objects.ErrUnknownOutcome)
	})
	t.Run("a write from a partitioned client is unknown", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{PartitionedClients: []string{"a"}})
		_, err := c.Create(ctx, serviceKey, one)
		wantError(t, err, objects.ErrUnknownOutcome)
	})
	t.Run("rate limit exceeded", func(t *testing.T) {
		now := time.Unix(0, 0)
		_, c := start(t, platform.WithRates(1, 100), platform.WithNow(func() time.Time { return now }))
		first, err := c.Create(ctx, serviceKey, one)
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Update(ctx, serviceKey, first.Version, two)
		var limited *objects.RateLimitedError
		qt.Assert(t, errors.As(err, &limited), qt.IsTrue)
		qt.Assert(t, limited.RetryAfter, qt.Equals, time.Second)
		wantData(t, c, one)
	})
	t.Run("value too large", func(t *testing.T) {
		_, c := start(t)
		_, err := c.Create(ctx, serviceKey, make([]byte, objects.MaxValueBytes+1))
		wantError(t, err, objects.ErrInvalid)
	})
}

// TestWriteSentOnce closes a reused connection after the platform has read the write.
// In that case net/http replays requests that it considers idempotent, which would send
// the write twice.
func TestWriteSentOnce(t *testing.T) {
	send := map[string]func(*objects.Client) error{
		"create": func(c *objects.Client) error { _, err := c.Create(ctx, serviceKey, one); return err },
		"update": func(c *objects.Client) error { _, err := c.Update(ctx, serviceKey, 1, one); return err },
		"delete": func(c *objects.Client) error { _, err := c.Delete(ctx, serviceKey, 1); return err },
	}
	for name, call := range send {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer ln.Close()
			var writes atomic.Int32
			go serveDroppingWrites(ln, &writes)
			c := newClient(t, "http://"+ln.Addr().String())
			_, err = c.Get(ctx, serviceKey)
			wantError(t, err, objects.ErrNotFound)
			wantError(t, call(c), objects.ErrUnknownOutcome)
			qt.Assert(t, writes.Load(), qt.Equals, int32(1))
		})
	}
}

// serveDroppingWrites responds 404 to reads and closes the connection on a write.
func serveDroppingWrites(ln net.Listener, writes *atomic.Int32) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.Method != http.MethodGet {
					writes.Add(1)
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 20\r\n\r\n{\"code\":\"not-found\"}"))
			}
		}()
	}
}

func TestWatch(t *testing.T) {
	// collect watches until n changes have been received.
	collect := func(c *objects.Client, after uint64, n int) ([]objects.Object, error) {
		var got []objects.Object
		errStop := errors.New("stop")
		err := c.Watch(ctx, []string{"service"}, after, func(ev objects.Event) error {
			if !ev.Bookmark {
				got = append(got, ev.Object)
			}
			if len(got) == n {
				return errStop
			}
			return nil
		})
		if errors.Is(err, errStop) {
			err = nil
		}
		return got, err
	}
	t.Run("changes in order, with tombstones", func(t *testing.T) {
		_, c := start(t)
		obj, err := c.Create(ctx, serviceKey, one)
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Create(ctx, objects.Key{Kind: "other", Name: "x"}, one)
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Delete(ctx, serviceKey, obj.Version)
		qt.Assert(t, err, qt.IsNil)
		got, err := collect(c, 0, 2)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, []objects.Object{
			{Key: serviceKey, Version: 1, Data: one},
			{Key: serviceKey, Version: 3, Deleted: true},
		})
	})
	t.Run("too old after a gap", func(t *testing.T) {
		s, c := start(t)
		_, err := c.Create(ctx, serviceKey, one)
		qt.Assert(t, err, qt.IsNil)
		s.SetFaults(platform.Faults{WatchGap: true})
		_, err = collect(c, 0, 1)
		wantError(t, err, objects.ErrTooOld)
	})
	t.Run("an idle connection is closed", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{PartitionedClients: []string{"a"}})
		_, err := collect(c, 0, 1)
		wantError(t, err, objects.ErrUnavailable)
	})
}

func TestVMs(t *testing.T) {
	now := time.Unix(100, 0)
	s, c := start(t, platform.WithVMLag(2*time.Second), platform.WithNow(func() time.Time { return now }))
	s.PutVM(objects.VM{Name: "a", Role: "router", FailureDomain: "d1", State: objects.VMLive})
	wantVMs := func(n int) {
		t.Helper()
		vms, err := c.VMs(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, vms, qt.HasLen, n)
	}
	wantVMs(0)
	now = now.Add(2 * time.Second)
	wantVMs(1)
}
