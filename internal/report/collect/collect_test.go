package collect_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/collect"
	"hickoryrock/internal/report/tally"
)

const workspace = "shop"

var (
	noon    = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	errLost = errors.New("lost")
)

// fakeStore is an in-memory platform. Its writes can fail, or succeed with a lost reply.
type fakeStore struct {
	objects.Store
	objects map[objects.Key]objects.Object
	fault   string
}

func (s *fakeStore) Get(_ context.Context, k objects.Key) (objects.Object, error) {
	o, ok := s.objects[k]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) List(_ context.Context, kind string) (objects.List, error) {
	var l objects.List
	for k, o := range s.objects {
		if k.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

func (s *fakeStore) Create(ctx context.Context, k objects.Key, data json.RawMessage) (objects.Object, error) {
	return s.Update(ctx, k, 0, data)
}

func (s *fakeStore) Update(_ context.Context, k objects.Key, version uint64, data json.RawMessage) (objects.Object, error) {
	fault := s.fault
	s.fault = ""
	if fault == "down" {
		return objects.Object{}, objects.ErrUnavailable
	}
	if s.objects[k].Version != version {
		return objects.Object{}, objects.ErrConflict
	}
	s.objects[k] = objects.Object{Key: k, Version: version + 1, Data: data}
	if fault == "lose-reply" {
		return objects.Object{}, objects.ErrUnknownOutcome
	}
	return s.objects[k], nil
}

// routerProcess is one router process and the expected state of its counts.
type routerProcess struct {
	counts   *tally.Counter
	reporter *collect.Reporter
	// unbatched counts the calls in no batch yet, batched those in the pending batch.
	unbatched, batched int
	pending            bool
}

// deliver makes one attempt to deliver and returns the number of calls that it made durable.
func (p *routerProcess) deliver() int {
	if !p.pending {
		p.unbatched, p.batched, p.pending = 0, p.unbatched, true
	}
	if !p.reporter.DeliverOnce(context.Background(), false) {
		return 0
	}
	durable := p.batched
	p.batched, p.pending = 0, false
	return durable
}

// TestDeliveriesCountOnce counts calls on routers that crash, with an aggregator whose
// writes fail or succeed with a lost reply, and whose own replies get lost. Every
// delivered call must be stored, and none twice.
func TestDeliveriesCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{objects: map[objects.Key]objects.Object{}}
		fault := ""
		aggregator := collect.NewAggregator(s)
		deliver := func(_ context.Context, d tally.Delivery) error {
			s.fault = fault
			deliverTo(aggregator, d)
			if fault == "down" || fault == "lose-ack" {
				return errLost
			}
			return nil
		}
		processes := 0
		start := func() *routerProcess {
			processes++
			counts := tally.New()
			return &routerProcess{counts: counts, reporter: collect.NewReporter(fmt.Sprintf("r/%d", processes), counts, deliver)}
		}
		router := start()
		added, durable := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"call": func(*rapid.T) {
				router.counts.Add(tally.Call{Workspace: workspace, TimeZone: time.UTC, Ended: noon})
				router.unbatched++
				added++
			},
			"deliver": func(t *rapid.T) {
				fault = rapid.SampledFrom([]string{"", "lose-reply", "down", "lose-ack"}).Draw(t, "fault")
				durable += router.deliver()
				fault = ""
			},
			"kill": func(*rapid.T) { router = start() },
			"": func(t *rapid.T) {
				day, err := collect.ReadDay(context.Background(), s, workspace, "2026-12-04", noon, collect.MissingAfter())
				if err != nil {
					t.Fatal(err)
				}
				if got := day.Counts.Total().Arrived; got < durable || got > added {
					t.Fatalf("stored %d of %d calls, %d of them delivered", got, added, durable)
				}
			},
		})
	})
}

// deliverTo passes a delivery to an aggregator and flushes it once.
func deliverTo(a *collect.Aggregator, d tally.Delivery) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.Deliver(ended, "a", d)
	a.Flush(context.Background())
}

func TestReadDay(t *testing.T) {
	c := qt.New(t)

	c.Run("router without a final delivery is missing", func(c *qt.C) {
		s := &fakeStore{objects: map[objects.Key]objects.Object{}}
		deliverOnce(s, "r/1", false)
		c.Assert(missing(c, s, noon.Add(collect.MissingAfter()+time.Second)), qt.DeepEquals, map[string]time.Time{"r/1": noon})
	})

	c.Run("router with a final delivery is not missing", func(c *qt.C) {
		s := &fakeStore{objects: map[objects.Key]objects.Object{}}
		deliverOnce(s, "r/1", true)
		c.Assert(missing(c, s, noon.Add(24*time.Hour)), qt.HasLen, 0)
	})

	c.Run("invalid day", func(c *qt.C) {
		_, err := collect.ReadDay(context.Background(), &fakeStore{}, workspace, "today", noon, 0)
		c.Assert(err, qt.IsNotNil)
	})
}

func deliverOnce(s *fakeStore, router string, final bool) {
	deliverTo(collect.NewAggregator(s), tally.Delivery{Router: router, Sequence: 1, Sent: noon, Final: final})
}

func missing(c *qt.C, s *fakeStore, now time.Time) map[string]time.Time {
	c.Helper()
	day, err := collect.ReadDay(context.Background(), s, workspace, "2026-12-04", now, collect.MissingAfter())
	c.Assert(err, qt.IsNil)
	return day.Missing
}
