package objects

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
)

// ConditionalWrite is a conditional write whose outcome can be determined by reading the
// object back.
type ConditionalWrite struct {
	Key Key
	// Version is the expected version; zero means that the object must not exist.
	Version uint64
	Data    json.RawMessage
	// Written reports whether an object shows that this write took effect. It must
	// recognise the write in every later version too, for example by a nonce that other
	// writers preserve. If it compares contents instead, a write that was overwritten
	// since is reported as ErrConflict.
	Written func(Object) bool
}

// WriteWithReadBack performs a conditional write. If the outcome is unknown, it reads the
// object back and, if the expected version is still in place, writes again under the
// same condition, so that at most one of the writes takes effect. It returns
// ErrUnknownOutcome if ctx ends before the outcome is known, or if the object was deleted
// in between.
func WriteWithReadBack(ctx context.Context, s Store, w ConditionalWrite, b Backoff) (Object, error) {
	unknown := false
	for failures := 1; ; failures++ {
		obj, err := writeIfVersion(ctx, s, w)
		if err == nil {
			return obj, nil
		}
		unknown = unknown || errors.Is(err, ErrUnknownOutcome)
		if !unknown {
			return Object{}, err
		}
		countRetry("resolve", err)
		obj, settled, err := readBack(ctx, s, w)
		if settled {
			return obj, err
		}
		if Sleep(ctx, max(b.Delay(failures), retryAfter(err))) != nil {
			return Object{}, eris.Wrapf(ErrUnknownOutcome, "%s/%s", w.Key.Kind, w.Key.Name)
		}
	}
}

func writeIfVersion(ctx context.Context, s Store, w ConditionalWrite) (Object, error) {
	if w.Version == 0 {
		return s.Create(ctx, w.Key, w.Data)
	}
	return s.Update(ctx, w.Key, w.Version, w.Data)
}

// readBack reads the object and reports whether that settles the outcome of the write,
// and with which result.
func readBack(ctx context.Context, s Store, w ConditionalWrite) (Object, bool, error) {
	obj, err := s.Get(ctx, w.Key)
	notFound := errors.Is(err, ErrNotFound)
	switch {
	case err == nil && w.Written(obj):
		return obj, true, nil
	case err == nil && obj.Version != w.Version:
		return Object{}, true, eris.Wrapf(ErrConflict, "%s/%s", w.Key.Kind, w.Key.Name)
	case notFound && w.Version != 0:
		// The write may have taken effect before the object was deleted, which can no
		// longer be determined.
		return Object{}, true, eris.Wrapf(ErrUnknownOutcome, "%s/%s was deleted", w.Key.Kind, w.Key.Name)
	case notFound:
		return Object{}, false, nil
	}
	return Object{}, false, err
}
