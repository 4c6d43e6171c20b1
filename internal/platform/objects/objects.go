// Package objects is a client of the platform's object API: versioned objects,
// conditional writes, watches, and the list of VMs.
package objects

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one. Nothing was
	// written.
	ErrConflict = errors.New("object version conflict")
	// ErrTooOld means that the platform no longer has the events since the requested
	// version. The caller has to list again.
	ErrTooOld = errors.New("version too old to watch from; list again")
	// ErrRateLimited means that the platform's rate limit rejected the call. Nothing was
	// written.
	ErrRateLimited = errors.New("platform rate limit exceeded")
	// ErrUnavailable means that the platform could not be reached or refused the call.
	// The call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect. The caller
	// has to read the object back.
	ErrUnknownOutcome = errors.New("write outcome unknown")
	// ErrInvalid means that the platform rejected the request as malformed.
	ErrInvalid = errors.New("platform rejected the request")
)

const (
	// VMLive is the state of a VM in service.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM that is about to be removed.
	VMLeaving VMState = "leaving"
)

type (
	// Store is the platform's object API.
	//
	// All objects share one version sequence: each write of any object gets the next
	// version. A write that returns ErrUnknownOutcome may have taken effect.
	Store interface {
		// Get returns an object, or ErrNotFound.
		Get(ctx context.Context, k Key) (Object, error)
		// List returns all objects of a kind and the store's version at that moment.
		List(ctx context.Context, kind string) (List, error)
		// Create writes an object that must not exist yet; otherwise it returns
		// ErrConflict.
		Create(ctx context.Context, k Key, data json.RawMessage) (Object, error)
		// Update replaces an object at the given version; at any other version it
		// returns ErrConflict.
		Update(ctx context.Context, k Key, version uint64, data json.RawMessage) (Object, error)
		// Delete removes an object at the given version and returns its tombstone.
		Delete(ctx context.Context, k Key, version uint64) (Object, error)
		// Watch calls fn for each change of the given kinds after a version, in order,
		// until ctx ends, fn returns an error, or the platform closes the watch.
		Watch(ctx context.Context, kinds []string, after uint64, fn func(Event) error) error
		// VMs returns the platform's list of VMs, which lags behind the actual VMs.
		VMs(ctx context.Context) ([]VM, error)
	}

	// Key identifies an object.
	Key struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
	}

	// Object is one stored object, or the tombstone of a deleted one.
	Object struct {
		Key
		Version uint64          `json:"version"`
		Deleted bool            `json:"deleted,omitempty"`
		Data    json.RawMessage `json:"data,omitempty"`
	}

	// List is a consistent snapshot of the objects of a kind as of a version.
	List struct {
		Objects []Object `json:"objects"`
		Version uint64   `json:"version"`
	}

	// Event is one change reported by a watch. A bookmark carries only a version: every
	// change up to it has been delivered.
	Event struct {
		Object   Object `json:"object"`
		Bookmark bool   `json:"bookmark,omitempty"`
	}

	// VM is one machine in the platform's list.
	VM struct {
		Name string `json:"name"`
		// Role is router or target.
		Role string `json:"role"`
		// PeerAddress is the IP:port on which a router listens for other routers.
		PeerAddress string `json:"peer-address,omitempty"`
		// CallerAddress is the IP:port on which a router listens for callers.
		CallerAddress string  `json:"caller-address,omitempty"`
		FailureDomain string  `json:"failure-domain"`
		State         VMState `json:"state"`
	}

	// VMState is VMLive or VMLeaving.
	VMState string
)

// RateLimitedError is ErrRateLimited with the delay that the platform asked for in
// Retry-After.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return ErrRateLimited.Error() + ", retry after " + e.RetryAfter.String()
}

// Unwrap returns ErrRateLimited, for errors.Is.
func (e *RateLimitedError) Unwrap() error { return ErrRateLimited }
