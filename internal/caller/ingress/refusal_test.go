package ingress_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that are refused with 408 or 503, which promise that they have not run and never
// will, and are served nevertheless, also when the rest of them arrives later (REFUSED; issue 61).
func TestRefusedRequestsAreNotServed(t *testing.T) {
	const lastChunk = "0\r\n\r\n"
	withoutEnd := func(bytes int) string { return strings.TrimSuffix(chunkedRequest(bytes), lastChunk) }
	occupyMemory := func(f *fixture) {
		f.send(sizedRequest(bodyMemory / 2))
		<-f.received
	}
	for name, tc := range map[string]struct {
		prepare     func(f *fixture)
		first, rest string
		status      int
	}{
		"a head that does not end": {first: "POST / HTTP/1.1\r\nHost: h\r\nContent-Le", rest: "ngth: 1\r\n\r\nx", status: 408},
		"a body that does not end": {first: sizedRequest(9)[:len(sizedRequest(9))-1], rest: "x", status: 408},
		"chunks that do not end":   {first: withoutEnd(1), rest: lastChunk, status: 408},
		"a body without memory":    {prepare: occupyMemory, first: sizedRequest(140 << 10), status: 503},
		"chunks without memory":    {prepare: occupyMemory, first: withoutEnd(120 << 10), rest: lastChunk, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			if tc.prepare != nil {
				tc.prepare(f)
			}
			c, err := net.Dial("tcp4", f.address)
			f.Assert(err, qt.IsNil)
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(15 * time.Second))
			_, err = io.WriteString(c, tc.first)
			f.Assert(err, qt.IsNil)
			r := bufio.NewReader(c)
			f.Assert(f.assertStatus(r, tc.status).Close, qt.IsTrue)
			_, _ = io.WriteString(c, tc.rest+sizedRequest(1)) // The connection may have ended.
			_, _ = io.Copy(io.Discard, r)
			f.Assert(f.received, qt.HasLen, 0)
		})
	}
}
