package forward

import "bytes"

// eventBuffer splits a server-sent event stream at event boundaries.
type eventBuffer struct {
	pending []byte
	// lastID is the ID of the last event that was returned.
	lastID string
}

// add appends bytes of the stream and returns the complete events among all
// pending bytes. The result is a copy.
func (e *eventBuffer) add(data []byte) []byte {
	e.pending = append(e.pending, data...)
	end := lastBoundary(e.pending)
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if id, ok := lastEventID(complete); ok {
		e.lastID = id
	}
	return complete
}

// rest returns the bytes after the last complete event.
func (e *eventBuffer) rest() []byte { return e.pending }

// reset discards an incomplete event.
func (e *eventBuffer) reset() { e.pending = e.pending[:0] }

// lastBoundary returns the index after the last empty line, which ends an event,
// or zero.
func lastBoundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

func lastEventID(b []byte) (string, bool) {
	for len(b) > 0 {
		start := bytes.LastIndexByte(b[:len(b)-1], '\n') + 1
		line := bytes.TrimRight(b[start:], "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		b = b[:start]
	}
	return "", false
}
