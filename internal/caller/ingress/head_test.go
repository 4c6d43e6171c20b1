package ingress_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers whose heads do not end and that together use up the router's memory (LOST,
// issue 40): each head is within its limit.
func TestHeadsShareTheMemoryOfRequests(t *testing.T) {
	f := newFixtureWithLimit(t, bodyLimit)
	f.headerBytes = 16 << 10
	begun := "POST / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 12<<10)
	for range bodyMemory / (12 << 10) {
		f.send(begun)
	}
	time.Sleep(50 * time.Millisecond) // The heads have been read.
	head := f.assertStatus(f.send(begun), 503)
	f.Assert(head.Field("retry-after"), qt.Not(qt.Equals), "")
	small := f.send("POST / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-f.received
	f.proceed <- struct{}{}
	f.assertStatus(small, 200)
}
