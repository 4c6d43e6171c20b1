package stream

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"

	"hickoryrock/internal/caller/outcome"
)

const (
	requestIDBytes = 16
	maxNameLength  = 63
)

type (
	// ID identifies a stream and the engine that serves it, so that any router can resume it
	// without shared state.
	ID struct {
		Service string
		// Target is the engine's name.
		Target    string
		RequestID [requestIDBytes]byte
	}
)

// NewID returns the ID of a new stream, with a random request ID.
func NewID(service, target string) ID {
	id := ID{Service: service, Target: target}
	_, _ = rand.Read(id.RequestID[:])
	return id
}

// String encodes the ID as the token that is sent to the caller.
func (id ID) String() string {
	b := append([]byte(nil), id.RequestID[:]...)
	b = append(b, byte(len(id.Service)))
	b = append(b, id.Service...)
	b = append(b, id.Target...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// EngineRequestID returns the ID of the request at the engine. It begins with the workspace, which
// the router derives from the caller's credentials, so that a stream token of another workspace
// matches no request.
func (id ID) EngineRequestID(workspace string) string {
	return workspace + "." + hex.EncodeToString(id.RequestID[:])
}

// ParseID decodes a caller's token.
func ParseID(token string) (ID, *outcome.Failure) {
	b, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(b) <= requestIDBytes {
		return ID{}, streamNotFound()
	}
	names := b[requestIDBytes+1:]
	serviceLen := int(b[requestIDBytes])
	targetLen := len(names) - serviceLen
	if serviceLen < 1 || serviceLen > maxNameLength || targetLen < 1 || targetLen > maxNameLength {
		return ID{}, streamNotFound()
	}
	id := ID{Service: string(names[:serviceLen]), Target: string(names[serviceLen:])}
	copy(id.RequestID[:], b)
	return id, nil
}

func streamNotFound() *outcome.Failure {
	return outcome.NewNotRun(outcome.ReasonNotFound, "the workspace has no such stream")
}
