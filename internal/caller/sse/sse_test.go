package sse

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/testing/seed"
)

func TestMain(m *testing.M) {
	seed.Main(m, seed.Settings{Checks: 5000})
}

func TestReader(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	for name, c := range map[string]struct {
		text string
		want Event
		err  error
	}{
		"numbered":      {"id: 7\ndata: {}\n\n", Event{ID: 7, Data: []byte("{}")}, nil},
		"no space":      {"id:7\r\ndata:{}\r\n\r\n", Event{ID: 7, Data: []byte("{}")}, nil},
		"two lines":     {"data: a\ndata: b\n\n", Event{Data: []byte("a\nb")}, nil},
		"long":          {"id: 1\ndata: " + long + "\n\n", Event{ID: 1, Data: []byte(long)}, nil},
		"done":          {"id: 9\ndata: [DONE]\n\n", Event{Kind: Done, ID: 9}, nil},
		"comment":       {": heartbeat\n\n", Event{Kind: Comment}, nil},
		"error":         {"event: error\nid: 3\ndata: {}\n\n", Event{Kind: Error, ID: 3, Data: []byte("{}")}, nil},
		"named":         {"event: token\nid: 3\ndata: {}\n\n", Event{ID: 3, Data: []byte("{}")}, nil},
		"other fields":  {"retry: 9\n\ndata\nid: 7\n: x\ndata: {}\n\n", Event{ID: 7, Data: []byte("{}")}, nil},
		"head":          {"HTTP/1.1 500 Oops\r\n\r\n", Event{}, ErrNotAnEvent},
		"glued head":    {"id: 7\ndata: {HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n", Event{}, ErrNotAnEvent},
		"finish":        {`data: {"finish_reason": "stop"}` + "\n\n", Event{Data: []byte(`{"finish_reason": "stop"}`), HasFinishReason: true}, nil},
		"no finish yet": {`data: {"finish_reason":null}` + "\n\n", Event{Data: []byte(`{"finish_reason":null}`)}, nil},
		"finish in the text": {
			`data: {"t":"\"finish_reason\":\"stop\""}` + "\n\n", Event{Data: []byte(`{"t":"\"finish_reason\":\"stop\""}`)}, nil,
		},
		"empty":                {"", Event{}, ErrTruncated},
		"ends within a line":   {"id: 7\ndata: {", Event{}, ErrTruncated},
		"ends within an event": {"id: 7\ndata: {}\n", Event{}, ErrTruncated},
		"too large":            {"data: " + strings.Repeat("x", maxEventBytes+readBufferBytes), Event{}, ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			r, release := NewReader(strings.NewReader(c.text))
			defer release()
			e, err := r.Next()
			qt.Assert(t, errors.Is(err, c.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, e, qt.DeepEquals, c.want)
		})
	}
}

// TestSequence receives events late, repeated, out of order and over connections that break. The
// delivered events must always be a prefix of the response, and Complete must be returned only when
// all were delivered.
func TestSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 8).Draw(t, "length")
		finish := rapid.IntRange(1, length).Draw(t, "finish")
		s := NewSequence(0)
		delivered := []int{}
		for i, id := range rapid.SliceOfN(rapid.IntRange(0, length+2), 0, 40).Draw(t, "arrivals") {
			e := Event{ID: id, HasFinishReason: id == finish}
			switch id {
			case 0:
				e = Event{Kind: Comment}
			case length + 1:
				e.Kind = Done
			case length + 2:
				// Another router resumes the response.
				s = NewSequence(len(delivered))
				id = s.ResumeAfter() + 1
				e = Event{ID: id, HasFinishReason: id == finish}
				if id == length+1 {
					e.Kind = Done
				}
			}
			switch s.Accept(e) {
			case Deliver:
				delivered = append(delivered, id)
			case Gap:
				// A new connection resumes after the last event and breaks after one more.
				next := s.Last() + 1
				if i%2 == 0 && next <= length && s.Accept(Event{ID: next, HasFinishReason: next == finish}) == Deliver {
					delivered = append(delivered, next)
				}
			case Complete:
				if len(delivered) != length {
					t.Fatalf("complete after %d of %d events", len(delivered), length)
				}
			}
			assertPrefix(t, delivered)
		}
	})
}

func assertPrefix(t *rapid.T, delivered []int) {
	for i, id := range delivered {
		if id != i+1 {
			t.Fatalf("delivered %v, which is not a prefix of the response", delivered)
		}
	}
}

func TestTruncatedIsNotComplete(t *testing.T) {
	s := NewSequence(0)
	qt.Assert(t, s.Accept(Event{ID: 1}), qt.Equals, Deliver)
	qt.Assert(t, s.Accept(Event{Kind: Done}), qt.Equals, Truncated)
	qt.Assert(t, s.Complete(), qt.IsFalse)
}
