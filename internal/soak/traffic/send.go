package traffic

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"hickoryrock/internal/wire/http1"
	"hickoryrock/platform/platformtest"
)

const (
	// callBody is the body of a call, slowPieces the number of pieces in which it is sent.
	callBody   = "body of the call"
	slowPieces = 4
	// longBodyBytes is more than what the kernel buffers for a target that reads nothing, and less
	// than max_body_bytes.
	longBodyBytes = 31 << 17
	// maxPiecePause is the longest pause before a piece.
	maxPiecePause = 400 * time.Millisecond
	// continueTimeout is how long a caller waits for status 100 before it sends the body.
	continueTimeout = time.Second
)

// errAnsweredEarly is returned when the router has answered before the body was sent.
var errAnsweredEarly = errors.New("answered before the body")

// send sends a call. With errAnsweredEarly the answer can be read, and the connection must
// be closed after it.
func (c *Caller) send(id, path string, deadlineMS int) error {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(callBody))
	switch c.behavior.body {
	case slowBody:
		return c.sendPieces(platformtest.CallHead(id, path, deadlineMS, length), func(piece string) string { return piece }, "")
	case chunkedBody:
		head := platformtest.CallHead(id, path, deadlineMS, "Transfer-Encoding: chunked\r\n")
		return c.sendPieces(head, func(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }, "0\r\n\r\n")
	case expectContinue:
		return c.sendExpecting(platformtest.CallHead(id, path, deadlineMS, length+"Expect: 100-continue\r\n"))
	case extraLine:
		return c.write(platformtest.Call(id, http.MethodPost, path, deadlineMS, callBody) + "\r\n")
	case longBody:
		return c.write(platformtest.Call(id, http.MethodPost, path, deadlineMS, strings.Repeat("u", longBodyBytes)))
	case wholeBody:
	}
	return c.write(platformtest.Call(id, http.MethodPost, path, deadlineMS, callBody))
}

func (c *Caller) write(data string) error {
	_, err := io.WriteString(c.conn, data)
	return err
}

// sendPieces sends the head, then the body in pieces that frame encodes, then the end.
func (c *Caller) sendPieces(head string, frame func(string) string, end string) error {
	if err := c.write(head); err != nil {
		return err
	}
	size := len(callBody) / slowPieces
	for i := 0; i < len(callBody); i += size {
		time.Sleep(rand.N(maxPiecePause))
		if err := c.write(frame(callBody[i:min(i+size, len(callBody))])); err != nil {
			return err
		}
	}
	if end == "" {
		return nil
	}
	return c.write(end)
}

// sendExpecting sends the head and, once the router asks for it, the body.
func (c *Caller) sendExpecting(head string) error {
	if err := c.write(head); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(continueTimeout))
	start, err := c.conn.reader.Peek(len("HTTP/1.1 100"))
	if err == nil && !strings.HasSuffix(string(start), " 100") {
		return errAnsweredEarly
	}
	return c.write(callBody)
}

// readResponse reads the answer's head and, unless the caller leaves a stream, its body.
func (c *Caller) readResponse(id, path string) (head *http1.Response, body string, err error) {
	if head, err = http1.ReadResponse(c.conn.reader, maxHeaderBytes, http.MethodPost); err != nil {
		return nil, "", err
	}
	if isStream(path) && head.Status == http.StatusOK && rand.Float64() < disconnectRate {
		c.recorder.RecordDisconnect(id)
		return head, "", errLeft
	}
	data, err := io.ReadAll(http1.Body(c.conn.reader, head.Length))
	return head, string(data), err
}
