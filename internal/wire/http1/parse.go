package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// allowance bounds what may be read.
type allowance struct {
	// used and limit are in bytes.
	used, limit int
	// reserve reports whether there is memory for a number of bytes, which is parsedSize times
	// what was read; nil means that there is.
	reserve func(bytes int) bool
}

// take adds bytes that have been read. It returns ErrTooLarge beyond the limit, and ErrNoMemory if
// there is no memory for them.
func (a *allowance) take(bytes int) error {
	a.used += bytes
	if a.used > a.limit {
		return ErrTooLarge
	}
	if a.reserve != nil && !a.reserve(parsedSize*a.used) {
		return ErrNoMemory
	}
	return nil
}

// readHead reads a start line and the header fields.
func readHead(r *bufio.Reader, a allowance) (string, []Field, error) {
	start, err := readLine(r, &a)
	if err != nil {
		return "", nil, err
	}
	line := string(start)
	fields := make([]Field, 0, 16)
	for {
		raw, err := readLine(r, &a)
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
		if !ok || !IsToken(string(name)) {
			return "", nil, eris.Wrapf(ErrMalformed, "field %.80q", raw)
		}
		field := NewField(string(name), strings.Trim(string(value), " \t"))
		if !isFieldValue(field.Value) {
			return "", nil, eris.Wrapf(ErrMalformed, "value of field %q", field.Name)
		}
		fields = append(fields, field)
	}
}

// readLine returns a line without the CR LF. The line is valid until the next read.
func readLine(r *bufio.Reader, a *allowance) ([]byte, error) {
	var buffered []byte
	for {
		part, err := r.ReadSlice('\n')
		if err := a.take(len(part)); err != nil {
			return nil, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			buffered = append(buffered, part...)
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(part)+len(buffered) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if buffered != nil {
			part = append(buffered, part...)
		}
		line, ok := bytes.CutSuffix(part, []byte("\r\n"))
		if !ok || bytes.IndexByte(line, '\r') >= 0 {
			return nil, eris.Wrap(ErrMalformed, "line does not end with CR LF")
		}
		return line, nil
	}
}

// parseFraming reads the fields that define where a message and its connection end.
func parseFraming(fields []Field) (framing, error) {
	f := framing{length: -1}
	for _, field := range fields {
		switch field.LowerName {
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
				f.close = f.close || token == closeToken
				f.connectionTokens = append(f.connectionTokens, token)
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

// IsToken reports whether s is a token as in RFC 9110, section 5.6.2.
func IsToken(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// isRequestTarget reports whether s has neither spaces nor control characters.
func isRequestTarget(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether s has no control characters except tabs.
func isFieldValue(s string) bool {
	for _, c := range []byte(s) {
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}
