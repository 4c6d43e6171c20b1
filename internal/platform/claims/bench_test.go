package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/platform"
)

const (
	benchTime     = 6 * time.Second
	benchLatency  = 3 * time.Millisecond
	benchCallTime = 20 * time.Millisecond
	// benchWrites and benchReads are the platform's specified rate limits, in calls per
	// second.
	benchWrites = 400
	benchReads  = 2000
)

type (
	// countingStore counts the platform calls of all routers.
	countingStore struct {
		objects.Store
		total *storeTotals
	}

	storeTotals struct {
		writes, reads, limited, bytes atomic.Int64
	}

	// perKey is the baseline: one object per key and one write per claim.
	perKey struct{ store objects.Store }

	// ownerRouted sends each claim to the claim store of the shard's owner, without the
	// network hop between routers.
	ownerRouted struct {
		opts   Options
		stores []Store
	}
)

func (s *countingStore) count(n int, err error) {
	s.total.writes.Add(1)
	s.total.bytes.Add(int64(n))
	if rateLimitDelay(err) > 0 {
		s.total.limited.Add(1)
	}
}

func (s *countingStore) Get(ctx context.Context, k objects.Key) (objects.Object, error) {
	s.total.reads.Add(1)
	return s.Store.Get(ctx, k)
}

func (s *countingStore) Create(ctx context.Context, k objects.Key, data json.RawMessage) (objects.Object, error) {
	obj, err := s.Store.Create(ctx, k, data)
	s.count(len(data), err)
	return obj, err
}

func (s *countingStore) Update(ctx context.Context, k objects.Key, v uint64, data json.RawMessage) (objects.Object, error) {
	obj, err := s.Store.Update(ctx, k, v, data)
	s.count(len(data), err)
	return obj, err
}

func (p *perKey) Claim(ctx context.Context, c Call) Decision {
	c.Nonce = newNonce()
	data, _ := json.Marshal(entry{Nonce: c.Nonce, Fingerprint: c.Fingerprint, State: stateClaimed, ClaimedAt: time.Now().UnixMilli()})
	obj, err := p.store.Create(ctx, objects.Key{Kind: "claim", Name: c.Key.String()}, data)
	if err != nil {
		return refusedDecision(outcome.ReasonPlatformUnavailable, err.Error())
	}
	// The version is stored as the nonce, so that Finish needs no read.
	return Decision{Verdict: Run, Claim: Claim{Key: c.Key, Nonce: fmt.Sprint(obj.Version)}}
}

func (p *perKey) Finish(ctx context.Context, c Claim, r Record) error {
	var version uint64
	_, _ = fmt.Sscan(c.Nonce, &version)
	data, _ := json.Marshal(entry{Nonce: c.Nonce, State: stateDone, Record: &r})
	_, err := p.store.Update(ctx, objects.Key{Kind: "claim", Name: c.Key.String()}, version, data)
	return err
}

func (o *ownerRouted) storeFor(workspace string, key uuid.UUID) Store {
	return o.stores[int(o.opts.ShardOf(workspace, key))%len(o.stores)]
}

func (o *ownerRouted) Claim(ctx context.Context, c Call) Decision {
	return o.storeFor(c.Workspace, c.Key).Claim(ctx, c)
}

func (o *ownerRouted) Finish(ctx context.Context, c Claim, r Record) error {
	return o.storeFor(c.Workspace, c.Key).Finish(ctx, c, r)
}

// BenchmarkStore measures claims at several rates against the stand-in platform over
// HTTP. Run it with -benchtime 1x.
func BenchmarkStore(b *testing.B) {
	layouts := []struct {
		name    string
		routers int
		perKey  bool
		owners  bool
	}{
		{"per-key-8", 8, true, false},
		{"group-8", 8, false, false},
		{"group-8-owners", 8, false, true},
		{"per-key-330", 330, true, false},
		{"group-330", 330, false, false},
		{"group-330-owners", 330, false, true},
	}
	for _, l := range layouts {
		for _, rate := range []int{20, 100, 440, 880} {
			b.Run(fmt.Sprintf("%s/%d-per-second", l.name, rate), func(b *testing.B) {
				for b.Loop() {
					srv := platform.New(platform.WithRates(benchWrites, benchReads))
					srv.SetFaults(platform.Faults{LatencySeconds: benchLatency.Seconds()})
					http := httptest.NewServer(srv)
					totals := &storeTotals{}
					var stores []Store
					var closers []func()
					for range l.routers {
						c, closeClient := objects.New(objects.WithBaseURLs(http.URL))
						store := &countingStore{Store: c, total: totals}
						closers = append(closers, closeClient)
						if l.perKey {
							stores = append(stores, &perKey{store})
							continue
						}
						s, closeStore := NewStore(store)
						stores, closers = append(stores, s), append(closers, closeStore)
					}
					if l.owners {
						stores = []Store{&ownerRouted{newOptions(nil), stores}}
					}
					generateLoad(b, stores, rate, totals)
					for _, c := range slices.Backward(closers) {
						c()
					}
					http.Close()
				}
			})
		}
	}
}

// generateLoad sends calls at a fixed rate and reports latencies, verdicts and platform
// usage.
func generateLoad(b *testing.B, stores []Store, rate int, totals *storeTotals) {
	var (
		mu         sync.Mutex
		latencies  []time.Duration
		verdicts   = make(map[Verdict]int)
		unrecorded atomic.Int64
		calls      sync.WaitGroup
	)
	ctx := context.Background()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	start := time.Now()
	for n := 0; time.Since(start) < benchTime; n++ {
		<-tick.C
		calls.Go(func() {
			s := stores[rand.N(len(stores))]
			key := uuid.Must(uuid.NewV7())
			begin := time.Now()
			d := s.Claim(ctx, Call{Workspace: "w", Key: key, Fingerprint: "f", First: true})
			took := time.Since(begin)
			mu.Lock()
			latencies = append(latencies, took)
			verdicts[d.Verdict]++
			mu.Unlock()
			if d.Verdict != Run {
				return
			}
			time.Sleep(benchCallTime)
			if s.Finish(ctx, d.Claim, Record{Status: outcome.Done, Code: 200, Body: make([]byte, 100)}) != nil {
				unrecorded.Add(1)
			}
		})
	}
	seconds := time.Since(start).Seconds()
	calls.Wait()
	slices.Sort(latencies)
	quantile := func(q float64) float64 {
		return float64(latencies[int(q*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(latencies))/seconds, "calls/s")
	b.ReportMetric(float64(totals.writes.Load())/seconds, "writes/s")
	b.ReportMetric(float64(totals.reads.Load())/seconds, "reads/s")
	b.ReportMetric(float64(totals.bytes.Load())/seconds/1000, "written-kB/s")
	b.ReportMetric(quantile(0.5), "p50-ms")
	b.ReportMetric(quantile(0.99), "p99-ms")
	b.ReportMetric(100*float64(len(latencies)-verdicts[Run])/float64(len(latencies)), "not-run-%")
	b.ReportMetric(float64(unrecorded.Load()), "unrecorded")
}
