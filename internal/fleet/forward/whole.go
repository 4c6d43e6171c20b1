package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"hickoryrock/internal/wire/http1"
)

var (
	errInsideEvent = errors.New("the event stream ends inside an event")
	errNoEvent     = errors.New("the event stream ends before its first event")
)

// streamEnd is what is known about an event stream whose body has ended.
type streamEnd struct {
	// resumed is set if the stream follows events of another response, unfinished if that
	// response lacks an event that must follow.
	resumed, unfinished bool
	// hasEvents is set if there were complete events, and tail holds the bytes after them.
	hasEvents bool
	tail      []byte
}

// checkWhole returns nil if a response is complete whose body has ended with err, and
// otherwise why it is not. A body that ends as its framing requires ends with nil or io.EOF.
// stream is nil for a body that is not an event stream. Without a length or chunks, only its
// events tell a complete stream from one that was cut. A resumed stream without events is
// complete if the one before may have lacked only its end.
func checkWhole(head *http1.Response, err error, stream *streamEnd) error {
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return err
	case stream == nil:
		return nil
	case !isEmptyLines(stream.tail):
		return errInsideEvent
	case !stream.hasEvents && (stream.resumed && stream.unfinished || head.Length == http1.UntilClose):
		return errNoEvent
	}
	return nil
}

// checkWholeBody is checkWhole for a response whose body was read as a whole. An error may have
// the type of a stream; its body is text, and whole if it ends as its framing requires.
func checkWholeBody(head *http1.Response, body []byte, err error) error {
	isFramedError := head.Status/100 != 2 && head.Length != http1.UntilClose
	if !isEventStream(head) || isFramedError {
		return checkWhole(head, err, nil)
	}
	end := lastBoundary(body)
	return checkWhole(head, err, &streamEnd{hasEvents: end > 0, tail: body[end:]})
}

func isEventStream(head *http1.Response) bool { return mediaType(head) == "text/event-stream" }

// mediaType returns the media type of a response's body in lower case, or "".
func mediaType(head *http1.Response) string {
	value, _, _ := strings.Cut(head.Field("content-type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// isEncoded reports whether a response's body has a content coding, such as gzip.
func isEncoded(head *http1.Response) bool {
	value := head.Field("content-encoding")
	return value != "" && !strings.EqualFold(value, "identity")
}

// isStream reports whether a response must be relayed event by event. One without a type has
// the type that its route declares.
func (c *call) isStream(head *http1.Response) bool {
	return c.route.Streaming && head.Status == http.StatusOK && c.request.Method != http.MethodHead &&
		(isEventStream(head) || mediaType(head) == "") && !isEncoded(head)
}

// continuesStream reports whether the body of a response can follow the events that the
// caller has received. The caller knows only the head of the first response.
func (c *call) continuesStream(head *http1.Response) bool {
	return head.Status == c.status && mediaType(head) == c.streamType && !isEncoded(head)
}

// isEmptyLines reports whether b holds only empty lines, each with its line end.
func isEmptyLines(b []byte) bool {
	return len(bytes.Trim(b, "\r\n")) == 0 && !bytes.HasSuffix(b, []byte("\r"))
}
