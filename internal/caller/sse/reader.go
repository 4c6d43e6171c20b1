package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	readBufferBytes = 4 << 10
	maxEventBytes   = 1 << 20
)

type (
	// Reader parses the events of a stream.
	Reader struct {
		buf  *bufio.Reader
		data []byte
	}
)

var (
	// ErrTruncated means that a stream ended before its response was complete.
	ErrTruncated = errors.New("the stream ended before the response was complete")
	// ErrNotAnEvent means a line that belongs to no event, such as those of a response's head.
	ErrNotAnEvent = errors.New("the stream contains a line that belongs to no event")
	// ErrTooLarge means an event larger than maxEventBytes.
	ErrTooLarge = errors.New("event exceeds the size limit")

	fieldID           = []byte("id:")
	fieldData         = []byte("data:")
	fieldEvent        = []byte("event:")
	errorName         = []byte("error")
	doneMarker        = []byte("[DONE]")
	finishReasonField = []byte(`"finish_reason":`)

	bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
)

// NewReader returns a reader and a function that returns its buffer to the pool.
// The reader must not be used after that.
func NewReader(r io.Reader) (*Reader, func()) {
	buf := bufferPool.Get().(*bufio.Reader)
	buf.Reset(r)
	return &Reader{buf: buf}, func() {
		buf.Reset(nil)
		bufferPool.Put(buf)
	}
}

// Next returns the next event, whose data is valid until the next call. The end of the input is
// always ErrTruncated, since a complete response ends with a Done event.
func (r *Reader) Next() (Event, error) {
	id, hasData, isError := 0, false, false
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0 && isError:
			return Event{Kind: Error, ID: id, Data: r.data}, nil
		case len(line) == 0 && hasData:
			return r.newEvent(id), nil
		case len(line) > 0 && line[0] == ':':
			if !hasData && id == 0 {
				return Event{Kind: Comment}, nil
			}
		case bytes.HasPrefix(line, fieldID):
			id, err = parseID(line[len(fieldID):])
			if err != nil {
				return Event{}, err
			}
		case bytes.HasPrefix(line, fieldEvent):
			isError = bytes.Equal(trimSpace(line[len(fieldEvent):]), errorName)
		case bytes.HasPrefix(line, fieldData):
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, trimSpace(line[len(fieldData):])...)
			hasData = true
		case len(line) > 0 && !isKnownField(line):
			return Event{}, ErrNotAnEvent
		}
		if len(r.data) > maxEventBytes {
			return Event{}, ErrTooLarge
		}
	}
}

func (r *Reader) newEvent(id int) Event {
	if bytes.Equal(r.data, doneMarker) {
		return Event{Kind: Done, ID: id}
	}
	return Event{Kind: Data, ID: id, Data: r.data, HasFinishReason: hasFinishReason(r.data)}
}

// isKnownField reports whether a line has the name of a field of event streams, with or without
// a value.
func isKnownField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.buf.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (r *Reader) readLongLine(head []byte) ([]byte, error) {
	line := append([]byte(nil), head...)
	for {
		part, err := r.buf.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxEventBytes {
			return nil, ErrTooLarge
		}
	}
}

func parseID(field []byte) (int, error) {
	id, err := strconv.Atoi(string(trimSpace(field)))
	if err != nil || id <= 0 {
		return 0, eris.Errorf("event id %q is not a positive number", field)
	}
	return id, nil
}

func trimSpace(value []byte) []byte {
	if len(value) > 0 && value[0] == ' ' {
		return value[1:]
	}
	return value
}

// hasFinishReason reports whether the chunk has a finish reason that is not null. Quotes within JSON
// strings are escaped, so the field's name can't match inside the generated text.
func hasFinishReason(data []byte) bool {
	for {
		i := bytes.Index(data, finishReasonField)
		if i < 0 {
			return false
		}
		data = bytes.TrimLeft(data[i+len(finishReasonField):], " ")
		if len(data) > 0 && data[0] == '"' {
			return true
		}
	}
}
