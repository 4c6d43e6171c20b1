package sse

const (
	// Deliver means that the event is the next one of the response.
	Deliver Action = iota
	// Duplicate means that the event was delivered before and must be dropped.
	Duplicate
	// Gap means that an earlier event was not delivered.
	Gap
	// Complete means that the response has ended and was delivered completely.
	Complete
	// Truncated means that the response has ended without a finish reason.
	Truncated
	// Skip means that there is nothing to deliver.
	Skip
	// Foreign means that the event is an error, or has no ID although those before have: it must
	// not be delivered as a part of the response.
	Foreign
)

type (
	// Action is what to do with an event.
	Action int

	// Sequence tracks which events of one response were delivered, over any number of
	// connections. It detects duplicates, gaps and truncation.
	Sequence struct {
		last     int
		finished bool
		// lastSeen is true if the event with the ID last was passed to Accept. It is false if
		// only its ID was given to NewSequence.
		lastSeen bool
		complete bool
		// unnumbered is true if events have no IDs.
		unnumbered bool
	}
)

// NewSequence returns a sequence that expects the event following the given ID; 0 starts a new
// response.
func NewSequence(after int) *Sequence {
	return &Sequence{last: after}
}

// Accept updates the sequence with an event and returns what to do with it. After Deliver, Last
// returns the event's ID.
func (s *Sequence) Accept(e Event) Action {
	if e.Kind == Comment {
		return Skip
	}
	if e.Kind == Error || (e.Kind == Data && e.ID == 0 && s.last > 0 && !s.unnumbered) {
		return Foreign
	}
	id := e.ID
	if id == 0 {
		// Number events without IDs by position; the response is not resumable then.
		id = s.last + 1
		s.unnumbered = s.unnumbered || e.Kind == Data
	}
	switch {
	case id <= s.last:
		s.finished = s.finished || e.HasFinishReason
		s.lastSeen = s.lastSeen || id == s.last
		return Duplicate
	case id > s.last+1:
		return Gap
	case e.Kind == Done && !s.finished:
		return Truncated
	case e.Kind == Done:
		s.complete = true
		return Complete
	}
	s.last, s.lastSeen = id, true
	s.finished = s.finished || e.HasFinishReason
	return Deliver
}

// Last returns the ID of the last delivered event.
func (s *Sequence) Last() int {
	return s.last
}

// ResumeAfter returns the event ID to resume after. If the last event was delivered before this
// sequence was created, it is requested again to learn whether it carries the finish reason.
func (s *Sequence) ResumeAfter() int {
	if s.lastSeen || s.last == 0 {
		return s.last
	}
	return s.last - 1
}

// Finished reports whether the finish reason was delivered. The response may still be incomplete,
// since more events can follow.
func (s *Sequence) Finished() bool {
	return s.finished
}

// Complete reports whether the complete response was delivered.
func (s *Sequence) Complete() bool {
	return s.complete
}

// Resumable reports whether the response can be resumed on another connection, which requires
// event IDs.
func (s *Sequence) Resumable() bool {
	return !s.unnumbered
}
