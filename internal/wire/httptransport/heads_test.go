package httptransport_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/internal/wire/httptransport"
)

// get requests an answer that ends with its connection.
func get(c *qt.C, answer string) (*http.Response, string, error) {
	server, stop, err := rawserver.New(func(conn net.Conn, _ rawserver.Request) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	})
	c.Assert(err, qt.IsNil)
	defer stop()
	transport := httptransport.New(timeout)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: timeout}).Get("http://" + server.Address())
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against an answer whose head has an invalid field name: net/http ignores a length or a transfer
// coding whose name has a blank, and the body would not be the server's (issue 51).
func TestInvalidFieldNamesAreRejected(t *testing.T) {
	for _, line := range []string{
		"Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "X Y: z", "X : z", " X: z",
		"X\x01: z", "X\x00: z", "X\t: z", "X\x7f: z", "X\xff: z", "X@: z", ": z",
	} {
		t.Run(line, func(t *testing.T) {
			_, body, err := get(qt.New(t), "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("body %q", body))
		})
	}
	t.Run("a valid name is accepted", func(t *testing.T) {
		c := qt.New(t)
		resp, body, err := get(c, "HTTP/1.1 200 OK\r\nx_Y-1!~: z\r\nContent-Length: 2\r\n\r\nok")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Header.Get("x_Y-1!~"), qt.Equals, "z")
		c.Assert(body, qt.Equals, "ok")
	})
}

// Guards against an answer with an invalid status, such as 000: readers that compare it with 300 take it
// for a success (issue 51).
func TestInvalidStatusesAreRejected(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-20", "2 0", "20", "2000", "2e2", "101", ""} {
		t.Run(status, func(t *testing.T) {
			_, _, err := get(qt.New(t), "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nok")
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}
