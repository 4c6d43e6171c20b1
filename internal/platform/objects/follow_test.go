package objects_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/platform"
)

// recordingSink is a Sink that records the current objects and signals each change.
type recordingSink struct {
	mu      sync.Mutex
	objects map[string]string
	lists   int
	changed chan struct{}
}

func newRecordingSink() *recordingSink { return &recordingSink{changed: make(chan struct{}, 1000)} }

func (sink *recordingSink) Replace(_ string, l objects.List) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.lists++
	sink.objects = map[string]string{}
	for _, obj := range l.Objects {
		sink.objects[obj.Name] = string(obj.Data)
	}
	sink.changed <- struct{}{}
}

func (sink *recordingSink) Apply(obj objects.Object) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.objects[obj.Name] = string(obj.Data)
	if obj.Deleted {
		delete(sink.objects, obj.Name)
	}
	sink.changed <- struct{}{}
}

// waitForObjects waits up to 5 s until the sink holds exactly the wanted objects.
func waitForObjects(t *testing.T, sink *recordingSink, want map[string]string) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		sink.mu.Lock()
		got, _ := json.Marshal(sink.objects)
		sink.mu.Unlock()
		if b, _ := json.Marshal(want); string(b) == string(got) {
			return
		}
		select {
		case <-sink.changed:
		case <-timeout:
			t.Fatalf("sink holds %s, want %v", got, want)
		}
	}
}

func TestFollower(t *testing.T) {
	s := platform.New()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	followed := newClient(t, srv.URL)
	c, closeClient := objects.New(objects.WithBaseURLs(srv.URL), objects.WithName("writer"))
	t.Cleanup(closeClient)
	run, cancel := context.WithCancel(ctx)
	sink := newRecordingSink()
	ended := make(chan error, 1)
	f := objects.NewFollower(followed, []string{"service"}, sink, objects.WithBackoff(time.Millisecond, time.Millisecond))
	go func() { ended <- f.Run(run) }()
	put := func(name string, version uint64, data json.RawMessage) uint64 {
		obj, err := c.Update(ctx, objects.Key{Kind: "service", Name: name}, version, data)
		if version == 0 {
			obj, err = c.Create(ctx, objects.Key{Kind: "service", Name: name}, data)
		}
		qt.Assert(t, err, qt.IsNil)
		return obj.Version
	}

	v := put("a", 0, one)
	waitForObjects(t, sink, map[string]string{"a": string(one)})
	v = put("a", v, two)
	waitForObjects(t, sink, map[string]string{"a": string(two)})
	lists := sink.lists

	// The watch gap drops a deletion, so the follower receives no event for it. Only
	// listing again reveals it.
	s.SetFaults(platform.Faults{PartitionedClients: []string{"a"}, WatchGap: true})
	_, err := c.Delete(ctx, objects.Key{Kind: "service", Name: "a"}, v)
	qt.Assert(t, err, qt.IsNil)
	s.SetFaults(platform.Faults{WatchGap: true})
	put("b", 0, one)
	waitForObjects(t, sink, map[string]string{"b": string(one)})
	qt.Assert(t, sink.lists > lists, qt.IsTrue)
	cancel()
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
}

// listStore returns a different version for each kind's list and reports the version
// from which the watch starts.
type listStore struct {
	objects.Store
	versions map[string]uint64
	after    chan uint64
}

func (s *listStore) List(_ context.Context, kind string) (objects.List, error) {
	return objects.List{Version: s.versions[kind]}, nil
}

func (s *listStore) Watch(ctx context.Context, _ []string, after uint64, _ func(objects.Event) error) error {
	s.after <- after
	<-ctx.Done()
	return ctx.Err()
}

func TestFollowerWatchesFromOldestList(t *testing.T) {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &listStore{versions: map[string]uint64{"a": 4, "b": 3, "c": 9}, after: make(chan uint64, 1)}
	f := objects.NewFollower(s, []string{"a", "b", "c"}, newRecordingSink())
	go func() { _ = f.Run(run) }()
	qt.Assert(t, <-s.after, qt.Equals, uint64(3))
}

func TestWriteWithReadBack(t *testing.T) {
	b := objects.Backoff{Base: time.Millisecond, Max: time.Millisecond}
	write := func(data json.RawMessage, version uint64) objects.ConditionalWrite {
		return objects.ConditionalWrite{Key: serviceKey, Version: version, Data: data, Written: func(obj objects.Object) bool {
			return string(obj.Data) == string(data)
		}}
	}
	t.Run("a lost response is resolved by reading back, without a second write", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{LoseReplies: 1})
		obj, err := objects.WriteWithReadBack(ctx, c, write(one, 0), b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, wantData(t, c, one).Version, qt.Equals, obj.Version)
		qt.Assert(t, obj.Version, qt.Equals, uint64(1))
	})
	t.Run("a write by another client is a conflict", func(t *testing.T) {
		_, c := start(t)
		_, err := c.Create(ctx, serviceKey, one)
		qt.Assert(t, err, qt.IsNil)
		_, err = objects.WriteWithReadBack(ctx, c, write(two, 0), b)
		wantError(t, err, objects.ErrConflict)
		wantData(t, c, one)
	})
	t.Run("a platform that is down is unavailable", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{Down: true})
		_, err := objects.WriteWithReadBack(ctx, c, write(one, 0), b)
		wantError(t, err, objects.ErrUnavailable)
	})
	t.Run("an outcome not determined in time is unknown", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{PartitionedClients: []string{"a"}})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := objects.WriteWithReadBack(short, c, write(one, 0), b)
		wantError(t, err, objects.ErrUnknownOutcome)
	})
}
