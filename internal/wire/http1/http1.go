// Package http1 reads and writes HTTP/1.1 messages, refusing every framing
// that two readers could understand differently.
package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// Chunked is the length of a body that is sent in chunks.
	Chunked int64 = -1
	// UntilClose is the length of a body that ends with its connection.
	UntilClose int64 = -2

	connectionHeader       = "connection"
	contentLengthHeader    = "content-length"
	transferEncodingHeader = "transfer-encoding"
	hostHeader             = "host"
	expectHeader           = "expect"
	closeToken             = "close"
	chunkedToken           = "chunked"
	version10              = "HTTP/1.0"
	version11              = "HTTP/1.1"

	// maxTrailerBytes bounds the lines after the last chunk, which are dropped.
	maxTrailerBytes = 4 << 10
	// maxContentLengthDigits keeps lengths within an int64.
	maxContentLengthDigits = 18
)

var (
	// ErrTooLarge means that a head exceeds its limit.
	ErrTooLarge = errors.New("the head of the message is too large")
	// ErrMalformed means that a message breaks the protocol or is ambiguous.
	ErrMalformed = errors.New("malformed message")
)

type (
	// Field is one header field.
	Field struct {
		Name  string
		Value string
		// Lower is the name in lower case.
		Lower string
	}

	// Request is the head of a request.
	Request struct {
		Method string
		// Target is the request target as received; it begins with a slash.
		Target string
		Host   string
		Fields []Field
		// Length is the body's length in bytes, or Chunked.
		Length int64
		// Close is set when the caller wants the connection closed after the answer.
		Close bool
		// Continue is set when the caller waits for 100 Continue before its body.
		Continue bool

		listed []string
	}

	// Response is the head of a response.
	Response struct {
		Status int
		Reason string
		Fields []Field
		// Length is the body's length in bytes, Chunked, or UntilClose.
		Length int64
		// Close is set when the connection ends after this response.
		Close bool

		listed []string
	}

	framing struct {
		length  int64
		chunked bool
		closing bool
		listed  []string
	}
)

// NewField returns a field.
func NewField(name, value string) Field {
	return Field{Name: name, Value: value, Lower: strings.ToLower(name)}
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// OfConnection reports whether a field, named in lower case, concerns only one connection.
func (r *Request) OfConnection(lower string) bool { return ofConnection(lower, r.listed) }

// OfConnection reports whether a field, named in lower case, concerns only one connection.
func (r *Response) OfConnection(lower string) bool { return ofConnection(lower, r.listed) }

// Field returns the first value of a field, named in lower case.
func (r *Response) Field(lower string) string {
	for _, f := range r.Fields {
		if f.Lower == lower {
			return f.Value
		}
	}
	return ""
}

func ofConnection(lower string, listed []string) bool {
	switch lower {
	case connectionHeader, "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", transferEncodingHeader, "upgrade", contentLengthHeader, expectHeader:
		return true
	}
	for _, l := range listed {
		if l == lower {
			return true
		}
	}
	return false
}

// ReadRequest reads the head of a request of at most limit bytes.
func ReadRequest(r *bufio.Reader, limit int) (*Request, error) {
	line, fields, err := readHead(r, limit)
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || (version != version11 && version != version10) {
		return nil, eris.Wrapf(ErrMalformed, "request line %.80q", line)
	}
	if !strings.HasPrefix(target, "/") || !isVisible(target) {
		return nil, eris.Wrapf(ErrMalformed, "request target %.80q", target)
	}
	f, err := frame(fields)
	if err != nil {
		return nil, err
	}
	req := &Request{
		Method: method, Target: target, Fields: fields, listed: f.listed,
		Close: f.closing || version == version10,
	}
	if f.chunked && version == version10 {
		return nil, eris.Wrap(ErrMalformed, "chunks in HTTP/1.0")
	}
	req.Length = max(f.length, 0)
	if f.chunked {
		req.Length = Chunked
	}
	hosts := 0
	for _, field := range fields {
		switch field.Lower {
		case hostHeader:
			req.Host = field.Value
			hosts++
		case expectHeader:
			if !strings.EqualFold(field.Value, "100-continue") {
				return nil, eris.Wrapf(ErrMalformed, "unknown expectation %.80q", field.Value)
			}
			req.Continue = true
		}
	}
	if hosts != 1 {
		return nil, eris.Wrapf(ErrMalformed, "%d Host fields", hosts)
	}
	return req, nil
}

// ReadResponse reads the head of the final response to a request with a method.
func ReadResponse(r *bufio.Reader, limit int, method string) (*Response, error) {
	for {
		resp, err := readResponse(r, limit, method)
		if err != nil || resp.Status >= 200 {
			return resp, err
		}
		if resp.Status == 101 {
			return nil, eris.Wrap(ErrMalformed, "a switch of protocols that was not asked for")
		}
	}
}

func readResponse(r *bufio.Reader, limit int, method string) (*Response, error) {
	line, fields, err := readHead(r, limit)
	if err != nil {
		return nil, err
	}
	version, rest, ok := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, convErr := strconv.Atoi(code)
	if !ok || convErr != nil || len(code) != 3 || status < 100 || (version != version11 && version != version10) {
		return nil, eris.Wrapf(ErrMalformed, "status line %.80q", line)
	}
	f, err := frame(fields)
	if err != nil {
		return nil, err
	}
	resp := &Response{
		Status: status, Reason: reason, Fields: fields, Close: f.closing || version == version10, listed: f.listed,
	}
	switch {
	case method == "HEAD" || status < 200 || status == 204 || status == 304:
		resp.Length = 0
	case f.chunked:
		resp.Length = Chunked
	case f.length >= 0:
		resp.Length = f.length
	default:
		resp.Length, resp.Close = UntilClose, true
	}
	return resp, nil
}

// Body returns a reader of a body of a length in bytes, Chunked or UntilClose.
// It returns io.ErrUnexpectedEOF for a body that is cut short.
func Body(r *bufio.Reader, length int64) io.Reader {
	switch length {
	case Chunked:
		return &chunkedBody{source: r, chunks: httputil.NewChunkedReader(r)}
	case UntilClose:
		return r
	}
	return &sizedBody{source: r, left: length}
}

type (
	sizedBody struct {
		source io.Reader
		left   int64
	}

	chunkedBody struct {
		source *bufio.Reader
		chunks io.Reader
		ended  bool
	}
)

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if errors.Is(err, io.EOF) && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.ended = true
	for left := maxTrailerBytes; ; {
		line, err := readLine(b.source, &left)
		if err != nil {
			return n, eris.Wrap(io.ErrUnexpectedEOF, "trailer")
		}
		if len(line) == 0 {
			return n, io.EOF
		}
	}
}
