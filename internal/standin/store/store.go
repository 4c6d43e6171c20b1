// Package store is an in-memory object store whose calls stay pending until a test
// serves them, in any order and with any result.
package store

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"hickoryrock/internal/platform/objects"
)

const (
	// OK applies the call and returns its result.
	OK Mode = "ok"
	// ReplyLost applies the call but loses the reply.
	ReplyLost Mode = "reply-lost"
	// Unavailable fails the call as if the platform were unavailable; it has no effect.
	Unavailable Mode = "down"
	// ReplyDelayed applies the call and keeps it pending; its reply is delivered when it is
	// served again.
	ReplyDelayed Mode = "reply-late"
	// RateLimited rejects the call by the rate limit; it has no effect.
	RateLimited Mode = "limited"

	rateLimitRetryAfter = 100 * time.Millisecond
)

var _ objects.Store = (*Client)(nil)

type (
	// Mode selects how a pending call is served.
	Mode string

	// Store holds the objects and the pending calls to them.
	Store struct {
		mu      sync.Mutex
		pending []*Call
		objects map[objects.Key]objects.Object
		version uint64
	}

	// Call is a pending call. It takes effect when it is served, even if its caller's context has
	// ended meanwhile.
	Call struct {
		Write  bool
		effect func() (objects.Object, error)
		reply  chan reply
		// delayedReply is the reply of a call that was applied already, or nil.
		delayedReply *reply
	}

	// Client implements objects.Store for one process. List, watch and VM calls are not
	// implemented and panic.
	Client struct {
		objects.Store
		store *Store
		// alive reports whether the process is still running; calls of a stopped process fail.
		alive func() bool
	}

	reply struct {
		obj objects.Object
		err error
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[objects.Key]objects.Object)}
}

// Client returns the client of one process, which counts as running while alive returns true.
func (s *Store) Client(alive func() bool) *Client {
	return &Client{store: s, alive: alive}
}

// Len returns the number of stored objects.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

// Object returns the current state of an object, or the zero Object if there is none.
func (s *Store) Object(k objects.Key) objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[k]
}

// Pending returns a copy of the list of pending calls, oldest first.
func (s *Store) Pending() []*Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.pending)
}

// DropPending discards the pending calls: they have no effect and get no reply.
func (s *Store) DropPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = nil
}

// Serve completes a pending call in the given mode. A call served as ReplyDelayed stays pending;
// serving it again, in any mode, delivers the delayed reply.
func (s *Store) Serve(c *Call, m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m != ReplyDelayed || c.delayedReply != nil {
		s.pending = slices.DeleteFunc(s.pending, func(other *Call) bool { return other == c })
	}
	if c.delayedReply != nil {
		c.reply <- *c.delayedReply
		return
	}
	var r reply
	switch m {
	case Unavailable:
		r.err = objects.ErrUnavailable
	case RateLimited:
		r.err = &objects.RateLimitedError{RetryAfter: rateLimitRetryAfter}
	default:
		r.obj, r.err = c.effect()
	}
	if m == ReplyLost {
		r = reply{err: c.lostReplyError()}
	}
	if m == ReplyDelayed {
		c.delayedReply = &r
		return
	}
	c.reply <- r
}

// lostReplyError returns the error of a call whose reply is lost: the outcome of a write is
// unknown, while a read has merely failed.
func (c *Call) lostReplyError() error {
	if c.Write {
		return objects.ErrUnknownOutcome
	}
	return objects.ErrUnavailable
}

func (c *Client) call(ctx context.Context, write bool, effect func() (objects.Object, error)) (objects.Object, error) {
	if !c.alive() || ctx.Err() != nil {
		return objects.Object{}, objects.ErrUnavailable
	}
	call := &Call{Write: write, effect: effect, reply: make(chan reply, 1)}
	c.store.mu.Lock()
	c.store.pending = append(c.store.pending, call)
	c.store.mu.Unlock()
	select {
	case r := <-call.reply:
		return r.obj, r.err
	case <-ctx.Done():
		return objects.Object{}, call.lostReplyError()
	}
}

// Get implements objects.Store.
func (c *Client) Get(ctx context.Context, k objects.Key) (objects.Object, error) {
	return c.call(ctx, false, func() (objects.Object, error) {
		if obj, ok := c.store.objects[k]; ok {
			return obj, nil
		}
		return objects.Object{}, objects.ErrNotFound
	})
}

// Create implements objects.Store.
func (c *Client) Create(ctx context.Context, k objects.Key, data json.RawMessage) (objects.Object, error) {
	return c.put(ctx, k, 0, data)
}

// Update implements objects.Store.
func (c *Client) Update(ctx context.Context, k objects.Key, version uint64, data json.RawMessage) (objects.Object, error) {
	return c.put(ctx, k, version, data)
}

func (c *Client) put(ctx context.Context, k objects.Key, version uint64, data json.RawMessage) (objects.Object, error) {
	s := c.store
	return c.call(ctx, true, func() (objects.Object, error) {
		if s.objects[k].Version != version {
			return objects.Object{}, objects.ErrConflict
		}
		s.version++
		s.objects[k] = objects.Object{Key: k, Version: s.version, Data: data}
		return s.objects[k], nil
	})
}

// Delete implements objects.Store.
func (c *Client) Delete(ctx context.Context, k objects.Key, version uint64) (objects.Object, error) {
	s := c.store
	return c.call(ctx, true, func() (objects.Object, error) {
		if obj, ok := s.objects[k]; !ok || obj.Version != version {
			return objects.Object{}, objects.ErrConflict
		}
		s.version++
		delete(s.objects, k)
		return objects.Object{Key: k, Version: s.version, Deleted: true}, nil
	})
}
