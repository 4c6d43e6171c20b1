package speed

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

const (
	// runs is the number of runs, of which the median is reported.
	runs = 3
	// probeWorkers send calls concurrently, each at most one call per probePause.
	probeWorkers = 4
	probePause   = 5 * time.Millisecond
	probeTime    = 2 * time.Second
	// probeTokens is the length of a probe's answer in tokens.
	probeTokens = 4

	streamTime   = 2 * time.Second
	streamTokens = 200
	// openStreamTokens is the length in tokens of the streams that stay open during probes.
	openStreamTokens = 1000

	maxLatency    = int64(time.Minute)
	latencyDigits = 3
	settleTime    = 500 * time.Millisecond
	// idleTime is longer than retainTime, so that engines have freed completed answers.
	idleTime = 2 * time.Second
)

type (
	// latency holds two percentiles of a latency distribution.
	latency struct{ p50, p99 time.Duration }

	// result holds the measurements of one run through the router or of the engines
	// directly.
	result struct {
		fullAnswer, firstToken latency
		tokensPerSecond        float64
		failed                 int64
	}
)

var (
	measure            = flag.Bool("measure", false, "measure the router's latency, throughput and memory")
	memoryStreamCounts = []int{100, 300, 1000}
)

// TestMeasureSpeed compares calls through a router with direct calls of the engine.
func TestMeasureSpeed(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	f := newFleet(t)
	for _, streams := range []int{1, 100, 1000} {
		var direct, routed []result
		for range runs {
			direct = append(direct, f.run(f.engines, streams))
			routed = append(routed, f.run(map[string]string{fastModel: f.router, pacedModel: f.router}, streams))
		}
		d, r := median(direct), median(routed)
		t.Logf("%d streams: direct  %v", streams, d)
		t.Logf("%d streams: router  %v", streams, r)
		t.Logf("%d streams: added   call p50 %v p99 %v, first token p50 %v p99 %v", streams,
			r.fullAnswer.p50-d.fullAnswer.p50, r.fullAnswer.p99-d.fullAnswer.p99, r.firstToken.p50-d.firstToken.p50, r.firstToken.p99-d.firstToken.p99)
		f.Check(d.failed+r.failed, qt.Equals, int64(0))
	}
}

// TestMeasureMemory compares the memory of open streams through a router with
// that of direct streams of the engine.
func TestMeasureMemory(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	f := newFleet(t)
	f.memoryPerStream(f.router, memoryStreamCounts[0])
	for _, streams := range memoryStreamCounts {
		direct, routed := f.memoryPerStream(f.engines[pacedModel], streams), f.memoryPerStream(f.router, streams)
		t.Logf("%d streams: direct %.1f kB, router %.1f kB, added %.1f kB of heap and stacks per stream", streams,
			direct/1000, routed/1000, (routed-direct)/1000)
	}
}

// memoryPerStream returns the memory, in bytes of this process, per open stream.
func (f *fleet) memoryPerStream(address string, streams int) float64 {
	ctx, cancel := context.WithCancel(f.Context())
	defer cancel()
	f.http.CloseIdleConnections()
	time.Sleep(idleTime)
	before := heapAndStacks()
	failed := int64(0)
	wait := f.openStreams(ctx, address, streams, &failed)
	used := heapAndStacks() - before
	cancel()
	wait()
	f.Check(failed, qt.Equals, int64(0))
	return used / float64(streams)
}

// run measures the latency of calls while streams are open, and then the
// throughput of streams without delays.
func (f *fleet) run(addresses map[string]string, streams int) result {
	ctx, cancel := context.WithCancel(f.Context())
	defer cancel()
	var r result
	wait := f.openStreams(ctx, addresses[pacedModel], streams, &r.failed)
	r.fullAnswer = f.probe(addresses[fastModel], false, &r.failed)
	r.firstToken = f.probe(addresses[fastModel], true, &r.failed)
	cancel()
	wait()
	time.Sleep(settleTime)
	r.tokensPerSecond = f.throughput(addresses[fastModel], streams, &r.failed)
	return r
}

// openStreams opens streams and returns once all have started. They stay open until
// ctx is done; the returned function waits for their end.
func (f *fleet) openStreams(ctx context.Context, address string, streams int, failed *int64) (wait func()) {
	var started, wg sync.WaitGroup
	started.Add(streams)
	for range streams {
		wg.Go(func() {
			resp, err := f.post(ctx, address, pacedModel, openStreamTokens, true)
			if !isOK(resp, err) {
				atomic.AddInt64(failed, 1)
				started.Done()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			lines := bufio.NewReader(resp.Body)
			_, _ = lines.ReadSlice('\n')
			started.Done()
			_, _ = lines.WriteTo(io.Discard)
		})
	}
	started.Wait()
	return wg.Wait
}

// probe measures the time to the complete answer, or to the first event of a
// streamed one.
func (f *fleet) probe(address string, streamed bool, failed *int64) latency {
	var mu sync.Mutex
	h := hdrhistogram.New(1, maxLatency, latencyDigits)
	var workers sync.WaitGroup
	end := time.Now().Add(probeTime)
	for range probeWorkers {
		workers.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				took, err := f.timeAnswer(address, streamed)
				if err != nil {
					atomic.AddInt64(failed, 1)
				}
				mu.Lock()
				_ = h.RecordValue(int64(took))
				mu.Unlock()
				time.Sleep(time.Until(start.Add(probePause)))
			}
		})
	}
	workers.Wait()
	return latency{p50: time.Duration(h.ValueAtQuantile(50)), p99: time.Duration(h.ValueAtQuantile(99))}
}

func (f *fleet) timeAnswer(address string, streamed bool) (time.Duration, error) {
	start := time.Now()
	resp, err := f.post(f.Context(), address, fastModel, probeTokens, streamed)
	if !isOK(resp, err) {
		return time.Since(start), fmt.Errorf("no answer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	if streamed {
		err = readFirstToken(lines)
	} else {
		_, err = lines.WriteTo(io.Discard)
	}
	took := time.Since(start)
	_, _ = lines.WriteTo(io.Discard)
	return took, err
}

// readFirstToken reads up to the first event with data.
func readFirstToken(lines *bufio.Reader) error {
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil || bytes.HasPrefix(line, []byte("data:")) {
			return err
		}
	}
}

// throughput returns the tokens per second of concurrent clients that each open
// one stream after another without a pause.
func (f *fleet) throughput(address string, streams int, failed *int64) float64 {
	var tokens atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for range streams {
		wg.Go(func() {
			for time.Since(start) < streamTime {
				resp, err := f.post(f.Context(), address, fastModel, streamTokens, true)
				if !isOK(resp, err) {
					atomic.AddInt64(failed, 1)
					continue
				}
				lines := bufio.NewReader(resp.Body)
				for readFirstToken(lines) == nil {
					tokens.Add(1)
				}
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	return float64(tokens.Load()) / time.Since(start).Seconds()
}

// isOK reports whether the response has status 200; any other response is
// drained and closed.
func isOK(resp *http.Response, err error) bool {
	if err != nil {
		return false
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return false
	}
	return true
}

// heapAndStacks returns the bytes of live heap and stacks.
func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// median returns the median of each measurement, and the sum of the failures.
func median(list []result) result {
	var failed int64
	for _, r := range list {
		failed += r.failed
	}
	return result{
		fullAnswer:      latency{medianOf(list, func(r result) time.Duration { return r.fullAnswer.p50 }), medianOf(list, func(r result) time.Duration { return r.fullAnswer.p99 })},
		firstToken:      latency{medianOf(list, func(r result) time.Duration { return r.firstToken.p50 }), medianOf(list, func(r result) time.Duration { return r.firstToken.p99 })},
		tokensPerSecond: medianOf(list, func(r result) float64 { return r.tokensPerSecond }),
		failed:          failed,
	}
}

func medianOf[T time.Duration | float64](list []result, of func(result) T) T {
	values := make([]T, 0, len(list))
	for _, r := range list {
		values = append(values, of(r))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// String implements fmt.Stringer.
func (r result) String() string {
	return fmt.Sprintf("call p50 %v p99 %v, first token p50 %v p99 %v, %.0f tokens/s, %d failed",
		r.fullAnswer.p50, r.fullAnswer.p99, r.firstToken.p50, r.firstToken.p99, r.tokensPerSecond, r.failed)
}

func TestMedian(t *testing.T) {
	list := []result{{tokensPerSecond: 3, failed: 1}, {tokensPerSecond: 1}, {tokensPerSecond: 2}}
	qt.Assert(t, median(list).tokensPerSecond, qt.Equals, 2.0)
	qt.Assert(t, median(list).failed, qt.Equals, int64(1))
}
