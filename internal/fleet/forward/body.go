package forward

import (
	"context"
	"errors"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/policy/answermemory"
	"hickoryrock/internal/target/http1client"
)

// minBodyBuffer is the size of the first buffer for a body, in bytes.
const minBodyBuffer = 2 << 10

// holdHead reports whether there is memory for a response head that occupies a number of bytes.
func (c *call) holdHead(bytes int) bool {
	c.headBytes = bytes
	return c.headBytes <= answermemory.FreeBytes || c.memory.Hold(c.headBytes)
}

// holdBody reports whether there is memory for a number of bytes of the response's body besides
// its head.
func (c *call) holdBody(bytes int) bool { return c.memory.Hold(c.headBytes + bytes) }

// readBody reads the complete body of a response, because the call may have to be retried if it is
// truncated. The error is errResponseMemory if there is no memory for it, and
// http1client.ErrBodyTooLarge for more than maxBufferedBodyBytes.
func (c *call) readBody(response *http1client.Response) ([]byte, error) {
	length := response.Head.Length
	if length > maxBufferedBodyBytes {
		return nil, http1client.ErrBodyTooLarge
	}
	limit := maxBufferedBodyBytes + 1
	if length >= 0 {
		limit = int(length)
	}
	body := make([]byte, 0, min(limit, minBodyBuffer))
	for {
		if len(body) == cap(body) && len(body) < limit {
			size := min(2*cap(body), limit)
			if !c.holdBody(size) {
				return nil, errResponseMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBufferedBodyBytes:
			return nil, http1client.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// endForMemory ends an attempt whose response occupies memory that others need, or the response if it
// is whole and is written to a slow caller.
func (c *call) endForMemory(cancel context.CancelCauseFunc) {
	if c.slow.hasBody.Load() {
		c.endSlow(slowMemory)
		return
	}
	cancel(errResponseMemory)
}

// ResponseUsage returns what unfinished responses occupy beyond a small part of each: those whose
// callers read slowly, with what is held for these callers, and all others.
func (h *Handler) ResponseUsage() (slow, others answermemory.Usage) { return h.answerMemory.Usage() }

// AnswerMemory returns what unfinished responses occupy beyond a small part of each, in bytes.
func (h *Handler) AnswerMemory() int64 { return h.answerMemory.Used() }

// logMemory logs and counts an answer that is ended because the memory for answers is used up.
func (h *Handler) logMemory(e answermemory.Ended) {
	if e.SlowCaller {
		return // The call logs it.
	}
	metrics.GetOrCreateCounter(`hickoryrock_answers_ended_for_memory_total`).Inc()
	h.Log.Warn().Str("target", h.View().Targets.Name(e.Target)).Int64("bytes", e.Bytes).Int64("target-bytes", e.TargetBytes).
		Int64("used-bytes", e.UsedBytes).Int64("limit-bytes", h.ResponseMemory).
		Msg("answer ended: the memory for answers is used up and its target occupies the most")
}
