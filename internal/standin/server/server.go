// Package server is the shared HTTP layer of the stand-ins: serving, JSON helpers,
// and connections that can be made to hang for fault injection.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// HeaderNotRun is set on error responses to calls that were not executed.
	HeaderNotRun = "X-Not-Run"

	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 8 << 20
)

type (
	// ConnTracker assigns an ID to each connection of a server and can mark the open ones
	// as silent. IDs start at 1 and increase in the order of opening.
	ConnTracker struct {
		lastID atomic.Int64
		// silencedUpTo is the highest connection ID that is silent.
		silencedUpTo atomic.Int64
	}

	connIDKey struct{}
)

// ConnContext stores the ID of a new connection in its context. Use it as http.Server.ConnContext.
func (c *ConnTracker) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connIDKey{}, c.lastID.Add(1))
}

// SilenceOpen marks every connection opened so far as silent. Later connections work normally.
func (c *ConnTracker) SilenceOpen() {
	c.silencedUpTo.Store(c.lastID.Load())
}

// Count returns the number of connections opened so far, including closed ones.
func (c *ConnTracker) Count() int64 {
	return c.lastID.Load()
}

// Silent reports whether the connection of a request is marked as silent, so that its handler
// must not respond.
func (c *ConnTracker) Silent(ctx context.Context) bool {
	n, ok := ctx.Value(connIDKey{}).(int64)
	return ok && n <= c.silencedUpTo.Load()
}

// ConnID returns the ID of the connection that carries a request, or 0 when it is not tracked.
func ConnID(ctx context.Context) int64 {
	n, _ := ctx.Value(connIDKey{}).(int64)
	return n
}

// Serve listens on addr and serves h until ctx is cancelled. It logs the bound address to
// standard error under the given name.
func Serve(ctx context.Context, name, addr string, conns *ConnTracker, h http.Handler) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listening on %s", addr)
	}
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("name", name).Logger()
	logger.Info().Str("address", ln.Addr().String()).Msg("stand-in is listening")

	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnContext: conns.ConnContext}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()

	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serving")
	}
	return nil
}

// ReadJSON decodes the body of a request into v. It fails on a body over maxBodyBytes.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return eris.Wrap(err, "reading the body")
	}
	return eris.Wrap(json.Unmarshal(body, v), "decoding the body")
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// RejectNotRun writes an error response with HeaderNotRun, which tells the client that the
// call was not executed.
func RejectNotRun(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(HeaderNotRun, "true")
	WriteJSON(w, status, map[string]any{"error": map[string]string{"code": "not-run", "message": detail}})
}

// HangUntilClosed sends nothing more. It blocks until ctx is cancelled, which happens when the
// client disconnects, then aborts the handler.
func HangUntilClosed(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// AbortConnection closes the connection without a complete response.
func AbortConnection() {
	panic(http.ErrAbortHandler)
}
