package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/api/caller/callerapi"
	"hickoryrock/internal/caller/outcome"
)

const (
	headerStream = "Hickoryrock-Stream"
	doneMarker   = "[DONE]"
	maxLineBytes = 1 << 20
)

type (
	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// ChatRequest is a chat completion request in the OpenAI format.
	ChatRequest struct {
		Model          string    `json:"model"`
		Stream         bool      `json:"stream"`
		PromptCacheKey string    `json:"prompt_cache_key,omitempty"`
		Messages       []Message `json:"messages"`
	}

	// Completion is a chat response and statistics about its delivery.
	Completion struct {
		Text string
		// CachedTokens is the number of prompt tokens that the engine found in its cache.
		CachedTokens int
		PromptTokens int
		// Resumes is the number of requests to resume the stream.
		Resumes int
		// TimeToFirstToken is measured from the start of Chat.
		TimeToFirstToken time.Duration
	}

	chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			PromptTokens        int `json:"prompt_tokens"`
			PromptTokensDetails struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}

	// chatReader assembles one response, possibly received over several connections.
	chatReader struct {
		completion Completion
		streamID   string
		lastID     string
		done       bool
		started    time.Time
		onToken    func(string)
		// onLine is called for each line received, including heartbeats.
		onLine func()
	}
)

// errIdleTimeout is the cancellation cause when neither an event nor a heartbeat
// was received within the idle timeout.
var errIdleTimeout = errors.New("idle timeout: no event or heartbeat from the router")

// Chat streams a response and returns it once it is complete. When the
// connection breaks, it resumes the stream at any router. If onToken is not nil,
// it is called with each piece of text as it is received. On an error, Chat also
// returns what was received until then.
func (c *Client) Chat(ctx context.Context, req ChatRequest, onToken func(string)) (Completion, error) {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return Completion{}, eris.Wrap(err, "encode the chat request")
	}
	r := &chatReader{started: time.Now(), onToken: onToken}
	var lastErr error
	for range c.opts.MaxAttempts {
		lastErr = c.chatOnce(ctx, r, body)
		if r.done {
			return r.completion, nil
		}
		if ctx.Err() != nil || (lastErr != nil && !isRetryable(lastErr)) {
			return r.completion, lastErr
		}
		backOff(ctx, lastErr)
	}
	return r.completion, eris.Wrap(lastErr, "chat response is incomplete")
}

func (c *Client) chatOnce(ctx context.Context, r *chatReader, body []byte) error {
	address, err := c.Address(ctx)
	if err != nil {
		return err
	}
	if r.completion.Text != "" && r.streamID == "" {
		return outcome.NewUnknown(outcome.ReasonConnectionLost, "the response was interrupted and has no stream to resume")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.opts.IdleTimeout, func() {
		// Whatever stalled this connection may have stalled the idle ones too.
		c.http.CloseIdleConnections()
		cancel(errIdleTimeout)
	})
	defer timer.Stop()
	r.onLine = func() { timer.Reset(c.opts.IdleTimeout) }
	resp, err := c.send(ctx, address, r, body)
	if err != nil {
		c.dropAddress(address)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		err := decodeProblem(resp)
		if shouldSwitchRouter(err) {
			c.dropAddress(address)
		}
		return err
	}
	if id := resp.Header.Get(headerStream); id != "" {
		r.streamID = id
	}
	err = r.read(resp.Body)
	if !r.done {
		c.dropAddress(address)
	}
	return err
}

// send posts the chat request, or resumes the stream if its ID is known.
func (c *Client) send(ctx context.Context, address string, r *chatReader, body []byte) (*http.Response, error) {
	method, path, payload := http.MethodPost, "/v1/chat/completions", io.Reader(bytes.NewReader(body))
	if r.streamID != "" {
		method, path, payload = http.MethodGet, "/v1/streams/"+r.streamID, nil
		r.completion.Resumes++
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, payload)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	if r.lastID != "" {
		req.Header.Set("Last-Event-ID", r.lastID)
	}
	return c.http.Do(req)
}

// read handles events until the response is complete or the connection breaks.
func (r *chatReader) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	var id, data string
	for scanner.Scan() {
		r.onLine()
		line := scanner.Text()
		switch {
		case line == "":
			r.handleEvent(id, data)
			id, data = "", ""
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[len("data:"):])
		}
		if r.done {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (r *chatReader) handleEvent(id, data string) {
	if data == "" {
		return
	}
	if id != "" {
		r.lastID = id
	}
	if data == doneMarker {
		r.done = true
		return
	}
	var c chunk
	if json.Unmarshal([]byte(data), &c) != nil {
		return
	}
	if c.Usage != nil {
		r.completion.PromptTokens = c.Usage.PromptTokens
		r.completion.CachedTokens = c.Usage.PromptTokensDetails.CachedTokens
	}
	for _, choice := range c.Choices {
		r.appendToken(choice.Delta.Content)
	}
}

func (r *chatReader) appendToken(text string) {
	if text == "" {
		return
	}
	if r.completion.Text == "" {
		r.completion.TimeToFirstToken = time.Since(r.started)
	}
	r.completion.Text += text
	if r.onToken != nil {
		r.onToken(text)
	}
}

func decodeProblem(resp *http.Response) error {
	var p callerapi.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return eris.Wrapf(err, "status %s", resp.Status)
	}
	problem := &callerapi.ProblemStatusCodeWithHeaders{StatusCode: resp.StatusCode, Response: p}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		problem.RetryAfter = callerapi.NewOptInt(seconds)
	}
	return toFailure(problem)
}
