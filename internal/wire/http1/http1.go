// Package http1 reads and writes HTTP/1.1 messages. To prevent request smuggling,
// it rejects any framing that two parsers could interpret differently.
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
	// Chunked is the length of a body with the chunked transfer coding.
	Chunked int64 = -1
	// UntilClose is the length of a body that ends when the connection closes.
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

	// parsedSize is the memory of a parsed head as a multiple of its bytes.
	parsedSize = 3
	// maxTrailerBytes bounds the trailer section, which is discarded.
	maxTrailerBytes = 4 << 10
	// maxContentLengthDigits prevents overflow of an int64.
	maxContentLengthDigits = 18
	// maxInterimResponses bounds the interim (1xx) responses before a final one. A
	// server may send several, but one that sends them without end never responds.
	maxInterimResponses = 8
)

var (
	// ErrTooLarge means that the head of a message exceeds the limit.
	ErrTooLarge = errors.New("the head of the message is too large")
	// ErrNoMemory means that there is no memory for the head of a message.
	ErrNoMemory = errors.New("no memory for the head of the message")
	// ErrMalformed means that a message violates the protocol or is ambiguous.
	ErrMalformed = errors.New("malformed message")
)

type (
	// Field is one header field.
	Field struct {
		Name  string
		Value string
		// LowerName is the name in lower case.
		LowerName string
	}

	// Request is the head of a request: its request line and header fields.
	Request struct {
		Method string
		// Target is the request target as received; it begins with a slash.
		Target string
		Host   string
		Fields []Field
		// Length is the body's length in bytes, or Chunked.
		Length int64
		// Close is set when the connection must be closed after the response.
		Close bool
		// ExpectContinue is set when the caller expects 100 Continue before it sends the body.
		ExpectContinue bool

		// connectionTokens are the options of the Connection fields in lower case.
		connectionTokens []string
	}

	// Response is the head of a response: its status line and header fields.
	Response struct {
		Status int
		Reason string
		Fields []Field
		// Length is the body's length in bytes, Chunked, or UntilClose.
		Length int64
		// Close is set when the connection must be closed after this response.
		Close bool

		connectionTokens []string
	}

	// framing holds what the header fields say about the body and the connection.
	framing struct {
		// length is the value of Content-Length, or -1 without one.
		length           int64
		chunked          bool
		close            bool
		connectionTokens []string
	}
)

// NewField returns a field with LowerName set.
func NewField(name, value string) Field {
	return Field{Name: name, Value: value, LowerName: strings.ToLower(name)}
}

// Path returns the request target without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// HopByHop reports whether a field, named in lower case, must not be forwarded:
// it applies to one connection only or belongs to the message framing.
func (r *Request) HopByHop(lower string) bool { return hopByHop(lower, r.connectionTokens) }

// HopByHop reports whether a field, named in lower case, must not be forwarded:
// it applies to one connection only or belongs to the message framing.
func (r *Response) HopByHop(lower string) bool { return hopByHop(lower, r.connectionTokens) }

// Field returns the first value of a field, named in lower case, or "".
func (r *Response) Field(lower string) string {
	for _, f := range r.Fields {
		if f.LowerName == lower {
			return f.Value
		}
	}
	return ""
}

func hopByHop(lower string, connectionTokens []string) bool {
	switch lower {
	case connectionHeader, "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
		"te", "trailer", transferEncodingHeader, "upgrade", contentLengthHeader, expectHeader:
		return true
	}
	for _, token := range connectionTokens {
		if token == lower {
			return true
		}
	}
	return false
}

// ReadRequest reads the head of a request of at most limit bytes. It returns an
// error that wraps ErrTooLarge or ErrMalformed for a head that is not acceptable,
// and io.EOF if the connection ends before the first byte.
func ReadRequest(r *bufio.Reader, limit int) (*Request, error) {
	return ReadRequestReserving(r, limit, nil)
}

// ReadRequestReserving is ReadRequest with a function that is called before the memory of the head
// grows to a number of bytes. If it returns false, the error is ErrNoMemory.
func ReadRequestReserving(r *bufio.Reader, limit int, reserve func(bytes int) bool) (*Request, error) {
	line, fields, err := readHead(r, allowance{limit: limit, reserve: reserve})
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !IsToken(method) || (version != version11 && version != version10) {
		return nil, eris.Wrapf(ErrMalformed, "request line %.80q", line)
	}
	if !strings.HasPrefix(target, "/") || !isRequestTarget(target) {
		return nil, eris.Wrapf(ErrMalformed, "request target %.80q", target)
	}
	f, err := parseFraming(fields)
	if err != nil {
		return nil, err
	}
	req := &Request{
		Method: method, Target: target, Fields: fields, connectionTokens: f.connectionTokens,
		Close: f.close || version == version10,
	}
	if f.chunked && version == version10 {
		return nil, eris.Wrap(ErrMalformed, "chunked transfer coding in HTTP/1.0")
	}
	req.Length = max(f.length, 0)
	if f.chunked {
		req.Length = Chunked
	}
	hosts := 0
	for _, field := range fields {
		switch field.LowerName {
		case hostHeader:
			req.Host = field.Value
			hosts++
		case expectHeader:
			if !strings.EqualFold(field.Value, "100-continue") {
				return nil, eris.Wrapf(ErrMalformed, "unsupported expectation %.80q", field.Value)
			}
			req.ExpectContinue = true
		}
	}
	if hosts != 1 {
		return nil, eris.Wrapf(ErrMalformed, "%d Host fields", hosts)
	}
	return req, nil
}

// ReadResponse reads the head of the final response to a request with the given
// method. It skips up to maxInterimResponses interim (1xx) responses and returns an
// error that wraps ErrMalformed after more; limit in bytes applies to each head.
func ReadResponse(r *bufio.Reader, limit int, method string) (*Response, error) {
	return ReadResponseReserving(r, limit, method, nil)
}

// ReadResponseReserving is ReadResponse with a function that is called before the memory of a head
// grows to a number of bytes. If it returns false, the error is ErrNoMemory.
func ReadResponseReserving(r *bufio.Reader, limit int, method string, reserve func(bytes int) bool) (*Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := readResponse(r, allowance{limit: limit, reserve: reserve}, method)
		if err != nil || resp.Status >= 200 {
			return resp, err
		}
		if resp.Status == 101 {
			return nil, eris.Wrap(ErrMalformed, "unexpected 101 Switching Protocols")
		}
	}
	return nil, eris.Wrapf(ErrMalformed, "more than %d interim responses", maxInterimResponses)
}

func readResponse(r *bufio.Reader, a allowance, method string) (*Response, error) {
	line, fields, err := readHead(r, a)
	if err != nil {
		return nil, err
	}
	version, rest, ok := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, convErr := strconv.Atoi(code)
	if !ok || convErr != nil || len(code) != 3 || status < 100 || (version != version11 && version != version10) {
		return nil, eris.Wrapf(ErrMalformed, "status line %.80q", line)
	}
	f, err := parseFraming(fields)
	if err != nil {
		return nil, err
	}
	resp := &Response{
		Status: status, Reason: reason, Fields: fields, Close: f.close || version == version10, connectionTokens: f.connectionTokens,
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

// Body returns a reader of a body with a length in bytes, Chunked or UntilClose.
// Except for UntilClose, the reader returns io.ErrUnexpectedEOF, possibly wrapped,
// for a body that is truncated.
func Body(r *bufio.Reader, length int64) io.Reader {
	switch length {
	case Chunked:
		return &chunkedBody{source: r, chunks: httputil.NewChunkedReader(r)}
	case UntilClose:
		return r
	}
	return &fixedLengthBody{source: r, remaining: length}
}

type (
	fixedLengthBody struct {
		source    io.Reader
		remaining int64
	}

	chunkedBody struct {
		source *bufio.Reader
		chunks io.Reader
		// end is the error with which the body has ended, or nil.
		end error
	}
)

// Read implements io.Reader.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.end = b.readTrailers()
	return n, b.end
}

// readTrailers discards the trailer section and returns io.EOF if it is complete.
func (b *chunkedBody) readTrailers() error {
	for a := (allowance{limit: maxTrailerBytes}); ; {
		line, err := readLine(b.source, &a)
		if err != nil {
			return eris.Wrap(io.ErrUnexpectedEOF, "trailer")
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
}
