// Package sse encodes and parses the server-sent events of chat responses and checks their order.
package sse

import "strconv"

const (
	// ContentType is the media type of an event stream.
	ContentType = "text/event-stream"
	// HeaderLastEventID is the request header with the ID of the last received event.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	// Data is an event that carries a part of the response.
	Data Kind = iota
	// Done is the event that ends a complete response.
	Done
	// Comment is a heartbeat without data.
	Comment
	// Error is an event named "error", whose data is no part of the response.
	Error
)

type (
	// Kind is the type of an event.
	Kind int

	// Event is one event of a response. IDs count from 1; 0 means no ID.
	Event struct {
		Kind Kind
		ID   int
		Data []byte
		// HasFinishReason is true if Data carries the finish reason.
		HasFinishReason bool
	}
)

// AppendEvent appends an event with an ID.
func AppendEvent(b []byte, id int, data []byte) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(id), 10)
	return appendData(append(b, '\n'), data)
}

// AppendDone appends the event that ends a complete response. Its ID must follow that of the last
// event.
func AppendDone(b []byte, id int) []byte {
	return AppendEvent(b, id, doneMarker)
}

// AppendNamedEvent appends an event with a name and no ID.
func AppendNamedEvent(b []byte, name string, data []byte) []byte {
	b = append(b, "event: "...)
	b = append(b, name...)
	return appendData(append(b, '\n'), data)
}

// AppendComment appends a comment, which callers ignore.
func AppendComment(b []byte, text string) []byte {
	b = append(b, ": "...)
	b = append(b, text...)
	return append(b, "\n\n"...)
}

func appendData(b, data []byte) []byte {
	b = append(b, "data: "...)
	for _, c := range data {
		b = append(b, c)
		if c == '\n' {
			b = append(b, "data: "...)
		}
	}
	return append(b, "\n\n"...)
}
