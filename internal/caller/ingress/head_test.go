package ingress_test

import (
	"bufio"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers whose heads do not end and that together use up the router's memory (LOST,
// issue 40): each head is within its limit.
func TestHeadsShareTheMemoryOfRequests(t *testing.T) {
	f := newFixtureWithLimits(t, bodyLimit, 16<<10, time.Minute)
	begun := "POST / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 12<<10)
	refused := make(chan *bufio.Reader)
	for range bodyMemory / (12 << 10) {
		r := f.send(begun)
		go func() {
			if _, err := r.Peek(1); err == nil {
				refused <- r
			}
		}()
	}
	head := f.assertStatus(<-refused, 503)
	f.Assert(head.Field("retry-after"), qt.Not(qt.Equals), "")
	small := f.send("POST / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-f.received
	f.proceed <- struct{}{}
	f.assertStatus(small, 200)
}
