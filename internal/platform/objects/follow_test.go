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

// mirror is a Sink that keeps what it sees and signals each change.
type mirror struct {
	mu      sync.Mutex
	objects map[string]string
	lists   int
	changed chan struct{}
}

func newMirror() *mirror { return &mirror{changed: make(chan struct{}, 1000)} }

func (m *mirror) Replace(_ string, l objects.List) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists++
	m.objects = map[string]string{}
	for _, obj := range l.Objects {
		m.objects[obj.Name] = string(obj.Data)
	}
	m.changed <- struct{}{}
}

func (m *mirror) Apply(obj objects.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[obj.Name] = string(obj.Data)
	if obj.Deleted {
		delete(m.objects, obj.Name)
	}
	m.changed <- struct{}{}
}

// wantMirror waits until the mirror holds the objects.
func wantMirror(t *testing.T, m *mirror, want map[string]string) {
	t.Helper()
	limit := time.After(5 * time.Second)
	for {
		m.mu.Lock()
		got, _ := json.Marshal(m.objects)
		m.mu.Unlock()
		if b, _ := json.Marshal(want); string(b) == string(got) {
			return
		}
		select {
		case <-m.changed:
		case <-limit:
			t.Fatalf("mirror holds %s, want %v", got, want)
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
	m := newMirror()
	ended := make(chan error, 1)
	f := objects.NewFollower(followed, []string{"service"}, m, objects.WithBackoff(time.Millisecond, time.Millisecond))
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
	wantMirror(t, m, map[string]string{"a": string(one)})
	v = put("a", v, two)
	wantMirror(t, m, map[string]string{"a": string(two)})
	lists := m.lists

	// The gap hides a deletion, of which the follower hears nothing; only listing
	// again can show it.
	s.SetFaults(platform.Faults{SplitClients: []string{"a"}, WatchGap: true})
	_, err := c.Delete(ctx, objects.Key{Kind: "service", Name: "a"}, v)
	qt.Assert(t, err, qt.IsNil)
	s.SetFaults(platform.Faults{WatchGap: true})
	put("b", 0, one)
	wantMirror(t, m, map[string]string{"b": string(one)})
	qt.Assert(t, m.lists > lists, qt.IsTrue)
	cancel()
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
}

// listStore gives each kind's list another version and tells where the watch starts.
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

func TestFollowerStartsBehindTheOldestList(t *testing.T) {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &listStore{versions: map[string]uint64{"a": 4, "b": 3, "c": 9}, after: make(chan uint64, 1)}
	f := objects.NewFollower(s, []string{"a", "b", "c"}, newMirror())
	go func() { _ = f.Run(run) }()
	qt.Assert(t, <-s.after, qt.Equals, uint64(3))
}

func TestWriteResolved(t *testing.T) {
	b := objects.Backoff{Base: time.Millisecond, Max: time.Millisecond}
	write := func(data json.RawMessage, version uint64) objects.Write {
		return objects.Write{Key: coat, Version: version, Data: data, Written: func(obj objects.Object) bool {
			return string(obj.Data) == string(data)
		}}
	}
	t.Run("a lost reply is found by reading back, without a second write", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{LoseReplies: 1})
		obj, err := objects.WriteResolved(ctx, c, write(one, 0), b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, wantData(t, c, one).Version, qt.Equals, obj.Version)
		qt.Assert(t, obj.Version, qt.Equals, uint64(1))
	})
	t.Run("another's write is a conflict", func(t *testing.T) {
		_, c := start(t)
		_, err := c.Create(ctx, coat, one)
		qt.Assert(t, err, qt.IsNil)
		_, err = objects.WriteResolved(ctx, c, write(two, 0), b)
		wantError(t, err, objects.ErrConflict)
		wantData(t, c, one)
	})
	t.Run("not written and down is unavailable", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{Down: true})
		_, err := objects.WriteResolved(ctx, c, write(one, 0), b)
		wantError(t, err, objects.ErrUnavailable)
	})
	t.Run("not settled in time is unknown", func(t *testing.T) {
		s, c := start(t)
		s.SetFaults(platform.Faults{SplitClients: []string{"a"}})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := objects.WriteResolved(short, c, write(one, 0), b)
		wantError(t, err, objects.ErrUnknown)
	})
}
