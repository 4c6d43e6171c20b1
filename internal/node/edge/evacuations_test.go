package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// evacuateBound is the platform's bound evacuate_ms in these tests.
const evacuateBound = 2500 * time.Millisecond

// syncBuffer holds a router's log.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// lines returns the parsed lines with a message.
func (b *syncBuffer) lines(c *qt.C, message string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for text := range strings.Lines(b.buffer.String()) {
		var line map[string]any
		c.Assert(json.Unmarshal([]byte(text), &line), qt.IsNil)
		if line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// newEvacuating returns a router with a target in each of the failure domains east and west, which
// answer with the name of their domain, slowly if the path says so.
func newEvacuating(t *testing.T, log zerolog.Logger) *fixture {
	answer := func(domain string) rawserver.Handler {
		return func(c net.Conn, r rawserver.Request) bool {
			if strings.Contains(r.Target, "slow") {
				time.Sleep(700 * time.Millisecond)
			}
			_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", domain))
			return err == nil
		}
	}
	f := newFixtureWithTarget(t, platformtest.NewStore(), answer("east"), log,
		func(s *platform.Settings) { s.Bounds.Evacuate = evacuateBound })
	west, stop, err := rawserver.New(answer("west"))
	f.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
	f.store.Set(platformtest.KindTargets, "i-1", platformtest.TargetIn("east", f.target.Address(), "ready", 0))
	f.store.Set(platformtest.KindTargets, "i-2", platformtest.TargetIn("west", west.Address(), "ready", 0))
	f.eventually("the targets, and that no domain is evacuated, are known", func() bool {
		_, known := f.router.watcher.Evacuations()
		status, _ := f.call("/a")
		return known && status == http.StatusOK && len(f.router.watcher.View().Targets.ByService["s"]) == 2
	})
	return f
}

// assertEvacuated checks that the failure domains are evacuated in time.
func (f *fixture) assertEvacuated(domains ...string) {
	f.Helper()
	changed := time.Now()
	f.eventually(fmt.Sprintf("%q are evacuated", domains), func() bool {
		set, _ := f.router.watcher.Evacuations()
		return fmt.Sprint(set.Names()) == fmt.Sprint(domains)
	})
	f.Assert(time.Since(changed) < evacuateBound, qt.IsTrue, qt.Commentf("%v", time.Since(changed)))
}

// view returns what the router serves to operators.
func (f *fixture) view() (v view) {
	f.Helper()
	recorded := newRecorder()
	f.router.serveView(recorded, nil)
	f.Assert(json.Unmarshal(recorded.body.Bytes(), &v), qt.IsNil)
	return v
}

// recorder holds a response.
type recorder struct {
	header http.Header
	body   bytes.Buffer
}

func newRecorder() *recorder                             { return &recorder{header: make(http.Header)} }
func (r *recorder) Header() http.Header                  { return r.header }
func (r *recorder) WriteHeader(int)                      {}
func (r *recorder) Write(data []byte) (n int, err error) { return r.body.Write(data) }

// Guards against calls that reach an evacuated failure domain, calls in progress that are cut, and
// operators who cannot see why a failure domain is empty.
func TestEvacuatedFailureDomain(t *testing.T) {
	log := new(syncBuffer)
	f := newEvacuating(t, zerolog.New(log))
	slow := make(chan string, 8)
	for range cap(slow) {
		go func() {
			_, body := f.call("/slow")
			slow <- body
		}()
	}
	f.eventually("calls are in progress", func() bool { return f.router.server.Active() == int64(cap(slow)) })
	f.store.Set(platform.KindEvacuations, "east", "{}")
	f.assertEvacuated("east")
	for range 10 {
		status, body := f.call("/a")
		f.Assert([]any{status, body}, qt.DeepEquals, []any{200, "west"})
	}
	answers := make(map[string]int)
	for range cap(slow) {
		answers[<-slow]++
	}
	f.Assert(answers["east"] > 0 && answers["east"]+answers["west"] == cap(slow), qt.IsTrue, qt.Commentf("%v", answers))

	v := f.view()
	f.Assert(v.Evacuations, qt.HasLen, 1)
	f.Assert(v.Evacuations[0].Domain, qt.Equals, "east")
	f.Assert(v.Evacuations[0].Revision > 0 && v.Evacuations[0].Since != nil, qt.IsTrue)
	for _, target := range v.Targets {
		f.Assert(target.Evacuated, qt.Equals, target.FailureDomain == "east")
		f.Assert(target.NoCalls == "evacuated", qt.Equals, target.Evacuated)
	}
	f.Assert(f.router.countEvacuated(), qt.Equals, 1.0)

	f.store.Set(platform.KindEvacuations, "west", "{}")
	f.assertEvacuated("east", "west")
	called, started := len(f.target.Requests()), time.Now()
	status, _ := f.call("/a")
	f.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(time.Since(started) < 300*time.Millisecond, qt.IsTrue)
	f.Assert(f.target.Requests(), qt.HasLen, called)

	f.store.Remove(platform.KindEvacuations, "east")
	f.assertEvacuated("west")
	status, body := f.call("/a")
	f.Assert([]any{status, body}, qt.DeepEquals, []any{200, "east"})
	begun, ended := log.lines(f.C, "failure domain evacuated"), log.lines(f.C, "failure domain in use again")
	f.Assert(begun, qt.HasLen, 2)
	f.Assert(ended, qt.HasLen, 1)
	for _, line := range []map[string]any{begun[0], ended[0]} {
		f.Assert(line["domain"], qt.Equals, "east")
		f.Assert(line["from"], qt.Equals, "store")
		f.Assert(line["targets"], qt.Equals, 1.0)
		f.Assert(line["revision"], qt.Not(qt.Equals), "")
	}
}

// Guards against a starting router that asks evacuated targets for their cached parts.
func TestCachesOfEvacuatedTargetsAreNotListed(t *testing.T) {
	for _, isEvacuated := range []bool{false, true} {
		t.Run(fmt.Sprint("evacuated: ", isEvacuated), func(t *testing.T) {
			f := newEvacuating(t, zerolog.Nop())
			if isEvacuated {
				f.store.Set(platform.KindEvacuations, "east", "{}")
				f.assertEvacuated("east")
			}
			called := len(f.target.Requests())
			for _, target := range f.router.watcher.View().Targets.ByService["s"] {
				f.router.loadCacheFromEngine(context.Background(), http.DefaultClient, target)
			}
			f.Assert(len(f.target.Requests())-called == 0, qt.Equals, isEvacuated)
		})
	}
}
