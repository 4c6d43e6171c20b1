package forward

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// readAll passes a body to a buffer in parts of some bytes and returns what is relayed, and
// whether the stream is whole.
func readAll(body string, part int) (relayed string, whole bool) {
	var e eventBuffer
	e.beginAttempt(false, nil)
	for len(body) > 0 {
		n := min(part, len(body))
		events, err := e.add([]byte(body[:n]))
		relayed += string(events)
		if err != nil {
			return relayed, false
		}
		body = body[n:]
	}
	return relayed, e.end().hasEvents && isEmptyLines(e.pending)
}

// Guards against the bytes of an error that are relayed after a stream that was broken off at
// any byte, however the bytes are split between reads.
func TestErrorsAfterAnyByteOfAStream(t *testing.T) {
	streams := map[string]string{
		"LF":   "id: 1\ndata: abc\n\nid: 2\ndata: def\n\n",
		"CRLF": "id: 1\r\ndata: abc\r\n\r\nid: 2\r\ndata: def\r\n\r\n",
	}
	const head = "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\ncontent-length: 8\r\n\r\n"
	for name, stream := range streams {
		t.Run(name, func(t *testing.T) {
			for cut := range len(stream) + 1 {
				for _, text := range []string{"failed\n\n", "failed\r\n\r\n", "failed"} {
					for part := 1; part < 24; part++ {
						relayed, whole := readAll(stream[:cut]+head+text, part)
						qt.Assert(t, whole, qt.IsFalse, qt.Commentf("cut at %d, parts of %d: %q", cut, part, relayed))
						qt.Assert(t, strings.HasPrefix(stream, relayed), qt.IsTrue, qt.Commentf("cut at %d, parts of %d: %q", cut, part, relayed))
					}
				}
			}
		})
	}
}

// Sound streams must be relayed unchanged, however they are split between reads.
func TestStreamsAreSplitAtEvents(t *testing.T) {
	const stream = ": note\n\nretry: 9\n\nid: 1\nx-version: 2\ndata: a\n\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
	for part := 1; part <= len(stream); part++ {
		relayed, whole := readAll(stream, part)
		qt.Assert(t, whole, qt.IsTrue)
		qt.Assert(t, relayed, qt.Equals, stream)
	}
}

func TestEventBufferIsBounded(t *testing.T) {
	var e eventBuffer
	line := bytes.Repeat([]byte("d"), 8<<10)
	for range maxEventBytes / len(line) {
		_, err := e.add(line)
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := e.add(line)
	qt.Assert(t, errors.Is(err, errEventTooLarge), qt.IsTrue)
}
