package server

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// limitedBody is a request body with a size limit and a read deadline.
type limitedBody struct {
	io.ReadCloser
	w http.ResponseWriter
}

// limitBody sets the size limit and the read deadline of a request body.
func (s *Server) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// Not every ResponseWriter supports deadlines; without them the timeouts of the http.Server apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.opts.BodyTimeout))
	r.Body = &limitedBody{ReadCloser: http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes), w: w}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		// Clear the deadline, which would otherwise cancel the request if its response takes longer.
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Time{})
	default:
		// The rest of the body must not be parsed as another request.
		b.w.Header().Set("Connection", "close")
	}
	return n, err
}
