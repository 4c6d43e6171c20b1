package ingress_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against memory of requests that operators do not see, and against memory that ended or
// refused requests keep, until no body is taken any more.
func TestBodyMemoryIsCounted(t *testing.T) {
	post := func(bytes int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
	}
	assertUsed := func(f *fixture, used, peak int64) {
		f.Helper()
		var gotUsed, gotPeak int64
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if gotUsed, gotPeak = f.server.BodyMemory(); gotUsed == used {
				break
			}
		}
		f.Assert(gotUsed, qt.Equals, used)
		f.Assert(gotPeak, qt.Equals, peak)
	}
	t.Run("at rest and at its peak", func(t *testing.T) {
		f := newFixture(t)
		assertUsed(f, 0, 0)
		for _, bytes := range []int{700, 300} {
			r := f.send(post(bytes))
			<-f.received
			assertUsed(f, int64(bytes), 700)
			f.proceed <- struct{}{}
			f.assertStatus(r, 200)
			assertUsed(f, 0, 700)
		}
	})
	t.Run("of all requests together", func(t *testing.T) {
		f := newFixtureWithLimit(t, 2*bodyMemory)
		first, second := f.send(post(bodyMemory/2)), f.send(post(bodyMemory/2))
		<-f.received
		<-f.received
		assertUsed(f, bodyMemory, bodyMemory)
		f.assertStatus(f.send(post(1)), 503)
		assertUsed(f, bodyMemory, bodyMemory)
		f.proceed <- struct{}{}
		f.proceed <- struct{}{}
		f.assertStatus(first, 200)
		f.assertStatus(second, 200)
		assertUsed(f, 0, bodyMemory)
	})
}
