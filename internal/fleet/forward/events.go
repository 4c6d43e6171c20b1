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
	// maxIdleEventBytes bounds the buffer that is kept when fewer bytes are pending.
	maxIdleEventBytes = 16 << 10
	// boundaryOverlap is the number of bytes before a read at which the end of an
	// event may begin.
	boundaryOverlap = 2
	// errorEventName is the name of events that carry an error instead of a part of the stream.
	errorEventName = "error"
	// extensionPrefix begins the names of the fields that the platform adds to those of an event
	// stream. Any other unknown name is no part of a stream, but of an error's head or text.
	extensionPrefix = "x-"
	// minEvenSteps is the number of equal steps from the first ID of a stream on after which a
	// resumed stream must go on with the same step.
	minEvenSteps = 16
	// byteOrderMark may begin a stream.
	byteOrderMark = "\ufeff"
)

var (
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errEventsRepeated = errors.New("the stream was not resumed after the last event ID but repeats events")
	errEventsMissing  = errors.New("the stream was not resumed right after the last event ID but misses events")
	errNotAnEvent     = errors.New("the stream contains a line that belongs to no event")
	errForeignEvent   = errors.New("the stream was not resumed but sends an error event or an event without an ID")
)

type (
	// eventBuffer splits a server-sent event stream at event boundaries and checks its events.
	eventBuffer struct {
		// buffer holds the events that were returned last, and after them the bytes pending.
		buffer, pending []byte
		// reserve reports whether there is memory for a number of bytes; nil means that there is.
		reserve func(bytes int) bool
		// lastID is the ID of the last event with one that was returned; unnumbered is set if
		// events without an ID have followed it, hasUnnumbered if there were any.
		lastID        string
		unnumbered    bool
		hasUnnumbered bool
		ids           idSteps
		// resumed is set if the caller has received a part of the stream from an earlier target,
		// hasEvents if the present one has sent an event.
		resumed   bool
		hasEvents bool
		// unfinished is set if another event must follow: a target has broken off inside one, or
		// has sent one that must not be relayed.
		unfinished bool
		// hasLines is set if complete lines were returned.
		hasLines bool
	}

	// idSteps holds the step between the IDs of a stream.
	idSteps struct {
		last, step uint64
		// count is the number of IDs.
		count int
		// uneven is set if the steps differ or IDs are no numbers.
		uneven bool
	}

	// event is what the lines of one event say about it.
	event struct {
		id, name string
		// isEvent is set if there is more than comments and retry delays, isInvalid if a line
		// belongs to no event.
		isEvent, isInvalid bool
	}
)

// beginAttempt prepares for the stream of another target, which resumes after lastID if the
// stream has begun. reserve is asked for the memory of its bytes.
func (e *eventBuffer) beginAttempt(begun bool, reserve func(bytes int) bool) {
	e.resumed, e.hasLines, e.hasEvents = begun, begun, false
	e.buffer, e.pending, e.reserve = nil, nil, reserve
}

// end returns what is known about the stream at the end of its body.
func (e *eventBuffer) end() *streamEnd {
	return &streamEnd{resumed: e.resumed, unfinished: e.unfinished, hasEvents: e.hasEvents, tail: e.pending}
}

// add appends bytes of the stream and returns the complete events among all pending bytes, which
// are valid until the next call. An error means that the stream must not be relayed beyond them: it
// is errEventTooLarge when more than maxEventBytes are pending, errResponseMemory when there is no
// memory for them, errNotAnEvent when other bytes than events follow, and another one when the
// target does not resume the stream.
func (e *eventBuffer) add(data []byte) ([]byte, error) {
	searched := max(len(e.pending)-boundaryOverlap, 0)
	if !e.append(data) {
		e.unfinished = true
		return nil, errResponseMemory
	}
	end := lastBoundary(e.pending[searched:])
	if end == 0 {
		if len(e.pending) > maxEventBytes {
			e.unfinished = true
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	end += searched
	valid, err := e.acceptAll(e.pending[:end])
	e.unfinished = e.unfinished || err != nil
	complete := e.pending[:valid]
	e.pending = e.pending[end:]
	return complete, err
}

// append adds bytes to those pending. It returns false if there is no memory for them.
func (e *eventBuffer) append(data []byte) bool {
	needed := len(e.pending) + len(data)
	if size := cap(e.buffer); needed > size || (size > maxIdleEventBytes && needed <= maxIdleEventBytes) {
		size = max(needed, min(2*needed, maxEventBytes))
		if e.reserve != nil && !e.reserve(size) {
			return false
		}
		e.buffer = append(make([]byte, 0, size), e.pending...)
	} else {
		e.buffer = append(e.buffer[:0], e.pending...)
	}
	e.buffer = append(e.buffer, data...)
	e.pending = e.buffer
	return true
}

// acceptAll checks complete events. It returns the number of bytes before the first one that
// must not be relayed, and why.
func (e *eventBuffer) acceptAll(events []byte) (int, error) {
	var current event
	valid, read := 0, 0
	for line := range bytes.Lines(events) {
		read += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if !e.hasLines {
			line = bytes.TrimPrefix(line, []byte(byteOrderMark))
		}
		e.hasLines = true
		if len(line) > 0 {
			current.addLine(line)
			continue
		}
		if err := e.accept(current); err != nil {
			return valid, err
		}
		valid, current = read, event{}
	}
	return valid, nil
}

// accept records an event, or returns why it must not be relayed. IDs that are no numbers
// cannot be compared.
func (e *eventBuffer) accept(next event) error {
	if next.isInvalid {
		return errNotAnEvent
	}
	if !next.isEvent {
		return nil
	}
	if e.resumed {
		if err := e.checkResumed(next); err != nil {
			return err
		}
	}
	e.hasEvents, e.unfinished, e.unnumbered = true, false, next.id == ""
	e.hasUnnumbered = e.hasUnnumbered || e.unnumbered
	if next.id != "" {
		e.ids.add(next.id)
		e.lastID = next.id
	}
	return nil
}

// checkResumed returns why an event cannot follow those of earlier targets, or nil.
func (e *eventBuffer) checkResumed(next event) error {
	switch {
	case next.name == errorEventName, next.id == "" && e.lastID != "" && !e.hasUnnumbered:
		return errForeignEvent
	case repeats(next.id, e.lastID):
		return errEventsRepeated
	case !e.hasEvents && e.ids.skips(next.id):
		return errEventsMissing
	}
	return nil
}

// addLine adds a line that is not empty.
func (e *event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "retry": // A line without a name is a comment.
		return
	case "id":
		e.id = string(bytes.TrimSpace(value))
	case "event":
		e.name = string(bytes.TrimSpace(value))
	case "data":
	default:
		e.isInvalid = e.isInvalid || !isExtension(name)
	}
	e.isEvent = true
}

// isExtension reports whether name is that of a field that the platform adds, which is written
// in lower case.
func isExtension(name []byte) bool {
	return bytes.HasPrefix(name, []byte(extensionPrefix)) &&
		!bytes.ContainsFunc(name, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') })
}

// add records the next ID of the stream.
func (s *idSteps) add(id string) {
	n, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil:
		s.uneven = true
	case s.count == 1:
		s.step = n - s.last
	case s.count > 1 && n-s.last != s.step:
		s.uneven = true
	}
	s.last = n
	s.count++
}

// skips reports whether there should be other IDs before id. IDs need not be without gaps:
// this is known only from enough of them.
func (s *idSteps) skips(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && !s.uneven && s.count > minEvenSteps && n-s.last != s.step
}

// repeats reports whether an event with an ID is not after the one with the ID last. IDs of a
// stream increase; those that are no numbers cannot be compared.
func repeats(id, last string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	b, err2 := strconv.ParseUint(last, 10, 64)
	return err == nil && err2 == nil && a <= b
}

// reset discards an incomplete event.
func (e *eventBuffer) reset() {
	e.unfinished = e.unfinished || !isEmptyLines(e.pending)
	e.pending = e.pending[:0]
}

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
