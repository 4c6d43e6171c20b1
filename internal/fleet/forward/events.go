package forward

import "bytes"

// events cuts a stream into whole events.
type events struct {
	buffer []byte
	// last is the id of the last event that was returned.
	last string
}

// add takes in bytes of the stream and returns the whole events among all that
// is held, valid until the next call.
func (e *events) add(data []byte) []byte {
	e.buffer = append(e.buffer, data...)
	end := lastBoundary(e.buffer)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(e.buffer[:end])
	e.buffer = append(e.buffer[:0], e.buffer[end:]...)
	if id, ok := lastID(whole); ok {
		e.last = id
	}
	return whole
}

// rest returns the bytes after the last whole event.
func (e *events) rest() []byte { return e.buffer }

// reset forgets an event that was cut off.
func (e *events) reset() { e.buffer = e.buffer[:0] }

// lastBoundary returns the index after the last empty line.
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

func lastID(b []byte) (string, bool) {
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
