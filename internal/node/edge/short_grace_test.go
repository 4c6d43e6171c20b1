package edge

import (
	"bytes"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// Guards against a planned stop with a short grace period that ends calls in progress long before
// the process would be killed.
func TestStopWithShortGraceUsesMostOfIt(t *testing.T) {
	f, _ := newWorkFixture(t)
	settings, err := os.ReadFile(f.path)
	f.Assert(err, qt.IsNil)
	settings = bytes.Replace(settings, []byte(`"grace_s":3`), []byte(`"grace_s":1`), 1)
	f.Assert(os.WriteFile(f.path, settings, 0o600), qt.IsNil)
	f.router.reloadOnce()
	const grace = time.Second
	f.Assert(f.router.bounds.Load().Grace, qt.Equals, grace)
	const stream = platformtest.PathStream + "work/2000"
	k := f.connect()
	f.Assert(k.send(stream), qt.IsNil)
	f.awaitStart(stream)
	stopping := time.Now()
	f.cancel()
	<-f.stopped
	took := time.Since(stopping)
	f.Assert(took >= grace*5/6, qt.IsTrue, qt.Commentf("stopped after %v", took))
	planned := f.router.shutdown.Load()
	f.Assert(planned.End.Sub(planned.Since) < grace, qt.IsTrue)
}
