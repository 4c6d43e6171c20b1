package http1_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/wire/http1"
)

const limit = 16 << 10

func readRequest(raw string) (*http1.Request, *bufio.Reader, error) {
	r := bufio.NewReader(strings.NewReader(raw))
	req, err := http1.ReadRequest(r, limit)
	return req, r, err
}

func assertMalformed(c *qt.C, raw string) {
	_, _, err := readRequest(raw)
	c.Assert(errors.Is(err, http1.ErrMalformed), qt.IsTrue, qt.Commentf("%q: %v", raw, err))
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	heads := map[string]string{
		"two lengths":                "Content-Length: 3\r\nContent-Length: 4\r\n",
		"two equal lengths":          "Content-Length: 3\r\nContent-Length: 3\r\n",
		"list of lengths":            "Content-Length: 3, 3\r\n",
		"length and chunks":          "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"chunks and length":          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
		"signed length":              "Content-Length: +3\r\n",
		"hexadecimal length":         "Content-Length: 0x3\r\n",
		"huge length":                "Content-Length: 99999999999999999999\r\n",
		"empty length":               "Content-Length: \r\n",
		"unknown encoding":           "Transfer-Encoding: gzip, chunked\r\n",
		"encoding twice":             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"encoding with vertical tab": "Transfer-Encoding: \x0bchunked\r\n",
		"space before colon":         "Content-Length : 3\r\n",
		"folded line":                "X-A: b\r\n  Content-Length: 3\r\n",
		"bare line feed":             "X-A: b\nContent-Length: 3\r\n",
		"bare carriage return":       "X-A: b\rContent-Length: 3\r\n",
		"zero byte":                  "X-A: b\x00c\r\n",
		"no colon":                   "Content-Length\r\n",
		"two hosts":                  "Host: other\r\n",
		"name that is not a token":   "X A: b\r\n",
		"unsupported expectation":    "Expect: wonders\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			assertMalformed(qt.New(t), "POST /a HTTP/1.1\r\nHost: h\r\n"+head+"\r\n")
		})
	}
}

func TestMalformedRequestLinesAreRejected(t *testing.T) {
	for _, line := range []string{
		"GET /a", "GET  /a HTTP/1.1", "GET a HTTP/1.1", "GET http://h/a HTTP/1.1", "GET /a b HTTP/1.1",
		"GET /a HTTP/2.0", "G@T /a HTTP/1.1", " GET /a HTTP/1.1", "GET /\x01 HTTP/1.1", "GET * HTTP/1.1",
	} {
		t.Run(line, func(t *testing.T) {
			assertMalformed(qt.New(t), line+"\r\nHost: h\r\n\r\n")
		})
	}
}

func TestRequestHead(t *testing.T) {
	t.Run("fields keep their case and order", func(t *testing.T) {
		c := qt.New(t)
		req, _, err := readRequest("POST /p/x?q=1 HTTP/1.1\r\nHost: h:80\r\nX-One:  1 \r\nx-TWO: 2\r\nContent-Length: 2\r\n\r\nhi")
		c.Assert(err, qt.IsNil)
		c.Assert(req.Path(), qt.Equals, "/p/x")
		c.Assert(req.Target, qt.Equals, "/p/x?q=1")
		c.Assert(req.Fields[1], qt.Equals, http1.Field{Name: "X-One", Value: "1", LowerName: "x-one"})
		c.Assert(req.Fields[2].Name, qt.Equals, "x-TWO")
		c.Assert(req.Length, qt.Equals, int64(2))
	})
	t.Run("fields listed in Connection are hop-by-hop", func(t *testing.T) {
		c := qt.New(t)
		req, _, err := readRequest("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\n")
		c.Assert(err, qt.IsNil)
		c.Assert(req.Close, qt.IsTrue)
		c.Assert(req.HopByHop("x-hop"), qt.IsTrue)
		c.Assert(req.HopByHop("x-end"), qt.IsFalse)
	})
	t.Run("a head over the limit is too large", func(t *testing.T) {
		c := qt.New(t)
		_, _, err := readRequest("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", limit) + "\r\n\r\n")
		c.Assert(errors.Is(err, http1.ErrTooLarge), qt.IsTrue)
	})
	t.Run("a truncated head is an unexpected EOF", func(t *testing.T) {
		c := qt.New(t)
		_, _, err := readRequest("GET / HTTP/1.1\r\nHost: h\r\n")
		c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	})
}

func TestBodies(t *testing.T) {
	read := func(raw string, length int64) (string, string, error) {
		r := bufio.NewReader(strings.NewReader(raw))
		body, err := io.ReadAll(http1.Body(r, length))
		rest, _ := io.ReadAll(r)
		return string(body), string(rest), err
	}
	t.Run("a chunked body ends after its trailers", func(t *testing.T) {
		c := qt.New(t)
		body, rest, err := read("2\r\nab\r\n1;x=y\r\nc\r\n0\r\nX-T: 1\r\n\r\nGET", http1.Chunked)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "abc")
		c.Assert(rest, qt.Equals, "GET")
	})
	for name, raw := range map[string]string{
		"no last chunk":       "2\r\nab\r\n",
		"no end of trailers":  "2\r\nab\r\n0\r\n",
		"truncated chunk":     "5\r\nab",
		"no CR LF after data": "2\r\nabc\r\n0\r\n\r\n",
		"size not in hex":     "z\r\nab\r\n0\r\n\r\n",
		"bare line feeds":     "2\nab\n0\n\n",
	} {
		t.Run(name+" is an error", func(t *testing.T) {
			_, _, err := read(raw, http1.Chunked)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
	t.Run("a truncated body is an unexpected EOF", func(t *testing.T) {
		_, _, err := read("abc", 4)
		qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	})
}

func TestResponses(t *testing.T) {
	read := func(raw, method string) (*http1.Response, error) {
		return http1.ReadResponse(bufio.NewReader(strings.NewReader(raw)), limit, method)
	}
	t.Run("interim responses are skipped", func(t *testing.T) {
		c := qt.New(t)
		resp, err := read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "POST")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Status, qt.Equals, 200)
	})
	t.Run("interim responses without end are rejected", func(t *testing.T) {
		_, err := read(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), "POST")
		qt.Assert(t, errors.Is(err, http1.ErrMalformed), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("without a length the body ends with the connection", func(t *testing.T) {
		c := qt.New(t)
		resp, err := read("HTTP/1.1 200 OK\r\n\r\n", "GET")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Length, qt.Equals, http1.UntilClose)
		c.Assert(resp.Close, qt.IsTrue)
	})
	for _, raw := range []string{
		"HELLO\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		t.Run("rejected: "+raw, func(t *testing.T) {
			_, err := read(raw, "GET")
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// Guards against a truncated body whose second read reports a complete end.
func TestTruncatedBodiesStayTruncated(t *testing.T) {
	for name, raw := range map[string]string{
		"no last chunk": "2\r\nab\r\n", "no end of trailers": "2\r\nab\r\n0\r\n", "trailer cut": "2\r\nab\r\n0\r\nX-T",
	} {
		t.Run(name, func(t *testing.T) {
			body := http1.Body(bufio.NewReader(strings.NewReader(raw)), http1.Chunked)
			_, _ = io.ReadAll(body)
			n, err := body.Read(make([]byte, 1))
			qt.Assert(t, n, qt.Equals, 0)
			qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// FuzzRequest checks that a request that was accepted and written again is parsed
// as the same request by a second parser, with nothing left over.
func FuzzRequest(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		req, r, err := readRequest(raw)
		if err != nil {
			return
		}
		body, err := io.ReadAll(http1.Body(r, req.Length))
		if err != nil {
			return
		}
		var fields []http1.Field
		for _, field := range req.Fields {
			if !req.HopByHop(field.LowerName) {
				fields = append(fields, field)
			}
		}
		sent := string(http1.AppendRequest(nil, req.Method, req.Target, fields, int64(len(body)))) + string(body)
		again, r2, err := readRequest(sent)
		if err != nil {
			t.Fatalf("%q is rejected: %v", sent, err)
		}
		bodyAgain, _ := io.ReadAll(http1.Body(r2, again.Length))
		rest, _ := io.ReadAll(r2)
		if again.Method != req.Method || again.Target != req.Target || again.Host != req.Host {
			t.Fatalf("%q: second parse returned %+v", raw, again)
		}
		if req.Method != "GET" && req.Method != "HEAD" && (string(bodyAgain) != string(body) || len(rest) > 0) {
			t.Fatalf("%q: body %q, second parse %q with %q left over", raw, body, bodyAgain, rest)
		}
	})
}
