package forward

import (
	"bytes"
	"io"

	"hickoryrock/internal/target/http1client"
)

// readBody reads the complete body of a response, because the call may have to be
// retried if it is truncated. A body of more than smallBodyBytes is read only after
// its memory has been reserved; otherwise the error is errResponseMemory. The error
// is http1client.ErrBodyTooLarge for more than maxBufferedBodyBytes.
func (c *call) readBody(response *http1client.Response) ([]byte, error) {
	length := response.Head.Length
	if length > maxBufferedBodyBytes {
		return nil, http1client.ErrBodyTooLarge
	}
	var start []byte
	if length < 0 {
		var err error
		if start, err = io.ReadAll(io.LimitReader(response.Body, smallBodyBytes+1)); err != nil {
			return nil, err
		}
		if len(start) <= smallBodyBytes {
			return start, nil
		}
		length = maxBufferedBodyBytes + 1
	}
	if length > smallBodyBytes {
		if !c.h.responseMemory.TryAcquire(length) {
			return nil, errResponseMemory
		}
		c.reserved += length
	}
	response.Body = io.MultiReader(bytes.NewReader(start), response.Body)
	return http1client.ReadBody(response, maxBufferedBodyBytes)
}
