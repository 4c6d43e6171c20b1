// Package http1 reads and writes HTTP/1.1 messages, refusing every framing
// that two readers could understand differently.
package http1

import (
	"bufio"
	"bytes"
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

// readHead reads a start line and its fields.
func readHead(r *bufio.Reader, limit int) (string, []Field, error) {
	left := limit
	start, err := readLine(r, &left)
	if err != nil {
		return "", nil, err
	}
	line := string(start)
	fields := make([]Field, 0, 16)
	for {
		raw, err := readLine(r, &left)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return "", nil, err
		}
		if len(raw) == 0 {
			return line, fields, nil
		}
		name, value, ok := bytes.Cut(raw, []byte(":"))
		if !ok || !isToken(string(name)) {
			return "", nil, eris.Wrapf(ErrMalformed, "field %.80q", raw)
		}
		field := NewField(string(name), strings.Trim(string(value), " \t"))
		if !isText(field.Value) {
			return "", nil, eris.Wrapf(ErrMalformed, "value of field %q", field.Name)
		}
		fields = append(fields, field)
	}
}

// readLine returns a line without its end, valid until the next read.
func readLine(r *bufio.Reader, left *int) ([]byte, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		*left -= len(part)
		if *left < 0 {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(part)+len(long) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if long != nil {
			part = append(long, part...)
		}
		line, ok := bytes.CutSuffix(part, []byte("\r\n"))
		if !ok || bytes.IndexByte(line, '\r') >= 0 {
			return nil, eris.Wrap(ErrMalformed, "line does not end with CR LF")
		}
		return line, nil
	}
}

// frame reads the fields that say where a message ends.
func frame(fields []Field) (framing, error) {
	f := framing{length: -1}
	for _, field := range fields {
		switch field.Lower {
		case contentLengthHeader:
			n, err := contentLength(field.Value)
			if err != nil || f.length >= 0 {
				return f, eris.Wrapf(ErrMalformed, "Content-Length %.40q", field.Value)
			}
			f.length = n
		case transferEncodingHeader:
			if f.chunked || !strings.EqualFold(field.Value, chunkedToken) {
				return f, eris.Wrapf(ErrMalformed, "Transfer-Encoding %.40q", field.Value)
			}
			f.chunked = true
		case connectionHeader:
			for token := range strings.SplitSeq(field.Value, ",") {
				token = strings.ToLower(strings.TrimSpace(token))
				f.closing = f.closing || token == closeToken
				f.listed = append(f.listed, token)
			}
		}
	}
	if f.chunked && f.length >= 0 {
		return f, eris.Wrap(ErrMalformed, "both Content-Length and Transfer-Encoding")
	}
	return f, nil
}

func contentLength(value string) (int64, error) {
	if value == "" || len(value) > maxContentLengthDigits {
		return 0, ErrMalformed
	}
	for _, c := range []byte(value) {
		if c < '0' || c > '9' {
			return 0, ErrMalformed
		}
	}
	return strconv.ParseInt(value, 10, 64)
}

func isToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

func isVisible(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func isText(s string) bool {
	for _, c := range []byte(s) {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

// AppendField appends a field and its line end.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendRequest appends the head of a request with a body of a known length.
func AppendRequest(b []byte, method, target string, fields []Field, length int64) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for _, f := range fields {
		b = AppendField(b, f.Name, f.Value)
	}
	if length > 0 || (method != "GET" && method != "HEAD") {
		b = AppendField(b, "Content-Length", strconv.FormatInt(length, 10))
	}
	return append(b, "\r\n"...)
}

// AppendResponse appends the head of a response with a body of a length in bytes, Chunked, or none at all.
func AppendResponse(b []byte, status int, reason string, fields []Field, length int64, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	for _, f := range fields {
		b = AppendField(b, f.Name, f.Value)
	}
	switch {
	case length == Chunked:
		b = AppendField(b, "Transfer-Encoding", chunkedToken)
	case status != 204 && status != 304:
		b = AppendField(b, "Content-Length", strconv.FormatInt(length, 10))
	}
	if closing {
		b = AppendField(b, "Connection", closeToken)
	}
	return append(b, "\r\n"...)
}
