package platform

import (
	"encoding/json"
	"regexp"
	"slices"
	"strings"
	"sync"

	"hickoryrock/internal/platform/objects"
)

// validNamePattern matches the kinds and names that the platform accepts.
var validNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)

// objectStore holds the objects and a bounded history of their changes.
type objectStore struct {
	mu           sync.Mutex
	version      uint64
	objects      map[objects.Key]objects.Object
	history      []objects.Object
	historyLimit int
	// compactedVersion is the newest version that is no longer in the history;
	// all later changes are.
	compactedVersion uint64
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newObjectStore(historyLimit int) *objectStore {
	return &objectStore{
		objects:      make(map[objects.Key]objects.Object),
		historyLimit: historyLimit,
		changed:      make(chan struct{}),
	}
}

func validKey(k objects.Key) bool {
	return validNamePattern.MatchString(k.Kind) && validNamePattern.MatchString(k.Name)
}

func (s *objectStore) get(k objects.Key) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[k]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return obj, nil
}

func (s *objectStore) list(kind string) objects.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := objects.List{Objects: []objects.Object{}, Version: s.version}
	for k, obj := range s.objects {
		if k.Kind == kind {
			list.Objects = append(list.Objects, obj)
		}
	}
	slices.SortFunc(list.Objects, func(a, b objects.Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// put writes an object if its current version is expectedVersion; 0 means that the object must not
// exist. Otherwise it returns objects.ErrConflict.
func (s *objectStore) put(k objects.Key, expectedVersion uint64, data json.RawMessage) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[k].Version != expectedVersion {
		return objects.Object{}, objects.ErrConflict
	}
	s.version++
	obj := objects.Object{Key: k, Version: s.version, Data: data}
	s.objects[k] = obj
	s.appendHistory(obj)
	return obj, nil
}

// remove deletes an object if its current version is expectedVersion, and returns
// objects.ErrConflict otherwise.
func (s *objectStore) remove(k objects.Key, expectedVersion uint64) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if obj, ok := s.objects[k]; !ok || obj.Version != expectedVersion {
		return objects.Object{}, objects.ErrConflict
	}
	s.version++
	delete(s.objects, k)
	obj := objects.Object{Key: k, Version: s.version, Deleted: true}
	s.appendHistory(obj)
	return obj, nil
}

// appendHistory appends a change to the history, drops the oldest entries beyond the limit and
// wakes the watches.
func (s *objectStore) appendHistory(obj objects.Object) {
	s.history = append(s.history, obj)
	if excess := len(s.history) - s.historyLimit; excess > 0 {
		s.compactedVersion = s.history[excess-1].Version
		s.history = slices.Clone(s.history[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history, so that watches from older versions fail and have to list again.
func (s *objectStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedVersion = s.version
}

// changesSince returns the changes of the given kinds after a version, the version up to
// which they are complete, and a channel that is closed on the next change. It returns
// objects.ErrTooOld if the history does not reach back to the version or the version is unknown.
func (s *objectStore) changesSince(kinds []string, after uint64) ([]objects.Object, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedVersion || after > s.version {
		return nil, 0, nil, objects.ErrTooOld
	}
	var out []objects.Object
	for _, obj := range s.history {
		if obj.Version > after && slices.Contains(kinds, obj.Kind) {
			out = append(out, obj)
		}
	}
	return out, s.version, s.changed, nil
}
