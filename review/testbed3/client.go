package testbed3

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

// Result is how a request ended for its client.
type Result struct {
	// Status is zero if the connection ended without an answer.
	Status int
	Body   string
	// IsWhole is set if the answer has ended as its framing requires.
	IsWhole bool
	Fields  []http1.Field
	Took    time.Duration
	Err     error
}

// Field returns the first value of a header field, named in lower case, or "".
func (r Result) Field(lowerName string) string {
	for _, f := range r.Fields {
		if f.LowerName == lowerName {
			return f.Value
		}
	}
	return ""
}

// Send sends a request to a router on a new connection and returns its result.
func Send(ctx context.Context, r *Router, request platformtest.CallerRequest) Result {
	c, err := new(net.Dialer).DialContext(ctx, "tcp4", r.Address)
	if err != nil {
		return Result{Err: err}
	}
	defer func() { _ = c.Close() }()
	return SendOn(c, bufio.NewReader(c), request)
}

// SendOn sends a request on an open connection and returns its result.
func SendOn(c net.Conn, reader *bufio.Reader, request platformtest.CallerRequest) Result {
	started := time.Now()
	_ = c.SetDeadline(started.Add(request.Deadline))
	if _, err := io.WriteString(c, request.Encode()); err != nil {
		return Result{Err: err, Took: time.Since(started)}
	}
	head, err := http1.ReadResponse(reader, maxHeadBytes, request.Method)
	if err != nil {
		return Result{Err: err, Took: time.Since(started)}
	}
	body, err := io.ReadAll(http1.Body(reader, head.Length))
	return Result{
		Status: head.Status, Body: string(body), IsWhole: err == nil, Fields: head.Fields, Took: time.Since(started), Err: err,
	}
}
