package forward

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// maxEventBytes bounds the buffered bytes of an incomplete event. It is far above
	// the size of an event with tokens, and many calls fit into the memory of a small VM.
	maxEventBytes = 64 << 10
	// boundaryOverlap is the number of bytes before a read at which the end of an
	// event may begin.
	boundaryOverlap = 2
)

var (
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errEventsRepeated = errors.New("the stream was not resumed after the last event ID but repeats events")
)

// eventBuffer splits a server-sent event stream at event boundaries.
type eventBuffer struct {
	pending []byte
	// lastID is the ID of the last event with one that was returned; unnumbered is set if
	// events without an ID have followed it.
	lastID     string
	unnumbered bool
	// resumedAfter is the ID after which the target should resume the stream, until the first
	// ID that it sends.
	resumedAfter string
	// resumed is set if the caller has received a part of the stream from an earlier target,
	// hasEvents if the present one has sent an event.
	resumed   bool
	hasEvents bool
}

// beginAttempt prepares for the stream of another target, which resumes after lastID if the
// stream has begun.
func (e *eventBuffer) beginAttempt(begun bool) {
	e.resumedAfter = e.lastID
	e.resumed, e.hasEvents = begun, false
}

// end returns what is known about the stream at the end of its body.
func (e *eventBuffer) end() *streamEnd {
	return &streamEnd{resumed: e.resumed, hasEvents: e.hasEvents, tail: e.pending}
}

// add appends bytes of the stream and returns the complete events among all
// pending bytes. The result is a copy. It returns errEventTooLarge when more than
// maxEventBytes are pending, and errEventsRepeated when the target does not resume.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	searched := max(len(e.pending)-boundaryOverlap, 0)
	e.pending = append(e.pending, data...)
	end := lastBoundary(e.pending[searched:])
	if end == 0 {
		if len(e.pending) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	end += searched
	if e.resumedAfter != "" {
		id := firstID(e.pending[:end])
		if repeats(id, e.resumedAfter) {
			return nil, errEventsRepeated
		}
		if id != "" {
			e.resumedAfter = ""
		}
	}
	complete := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	e.recordIDs(complete)
	return complete, nil
}

// recordIDs updates lastID and unnumbered from complete events.
func (e *eventBuffer) recordIDs(events []byte) {
	id, isEvent := "", false
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && isEvent:
			e.hasEvents, e.unnumbered = true, id == ""
			if id != "" {
				e.lastID = id
			}
			id, isEvent = "", false
		case len(line) > 0 && line[0] != ':': // Other lines are comments.
			isEvent = true
			if value, ok := eventID(line); ok {
				id = value
			}
		}
	}
}

// eventID returns the event ID that a line sets.
func eventID(line []byte) (string, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	return string(bytes.TrimSpace(value)), ok
}

// firstID returns the first event ID in complete events, or "".
func firstID(events []byte) string {
	for line := range bytes.Lines(events) {
		if id, ok := eventID(line); ok && id != "" {
			return id
		}
	}
	return ""
}

// repeats reports whether an event with an ID is not after the one with the ID last. IDs of a
// stream increase; those that are no numbers cannot be compared.
func repeats(id, last string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	b, err2 := strconv.ParseUint(last, 10, 64)
	return err == nil && err2 == nil && a <= b
}

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

// countEvents returns the number of events in complete events.
func countEvents(b []byte) int {
	return bytes.Count(b, []byte("\n\n")) + bytes.Count(b, []byte("\n\r\n"))
}
