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
