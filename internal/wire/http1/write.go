package http1

import "strconv"

// AppendField appends a header field line.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendRequest appends the head of a request with a body of length bytes.
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

// AppendResponse appends the head of a response with a body of length bytes or
// Chunked. It adds no Content-Length to a response with status 204 or 304.
func AppendResponse(b []byte, status int, reason string, fields []Field, length int64, closeConnection bool) []byte {
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
	if closeConnection {
		b = AppendField(b, "Connection", closeToken)
	}
	return append(b, "\r\n"...)
}
