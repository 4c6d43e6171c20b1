package http1client_test

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/target/http1client"
)

// Guards against a target that reads a request slowly and makes the router hold its body twice, or
// beyond the end of the call (issue 44).
func TestRequestThatIsNotRead(t *testing.T) {
	const bodyBytes = 32 << 20
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0") // Connections are accepted by the kernel and never read.
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	pool, closePool := http1client.New()
	t.Cleanup(closePool)
	body, goroutines := make([]byte, bodyBytes), runtime.NumGoroutine()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, failure := pool.Do(ctx, http1client.Endpoint{Address: l.Addr().String(), Key: "t"}, newCall("a", "POST", body))
	runtime.ReadMemStats(&after)
	c.Assert(failure, qt.IsNotNil)
	c.Assert(failure.Status, qt.Equals, http1client.Unknown)
	c.Assert(after.TotalAlloc-before.TotalAlloc < bodyBytes/2, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > goroutines; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("a goroutine still writes the request"))
	}
}
