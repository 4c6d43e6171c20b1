package edge

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/testing/ports"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// Guards against a router that is told to stop while it starts, and leaves callers that have
// connected meanwhile without any answer.
func TestStopWhileStartingAnswersCallers(t *testing.T) {
	f := &fixture{C: qt.New(t), store: platformtest.NewStore()}
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	f.path = filepath.Join(t.TempDir(), "boot.json")
	f.Assert(os.WriteFile(f.path, platformtest.Settings(ports.FreeAddress(f), ports.FreeAddress(f), ports.FreeAddress(f), ports.Free(f),
		strings.TrimPrefix(store.URL, "http://")), 0o600), qt.IsNil)
	var err error
	f.settings, err = platform.LoadSettings(f.path)
	f.Assert(err, qt.IsNil)
	router, stop, err := New(f.path, f.settings, zerolog.Nop())
	f.Assert(err, qt.IsNil)
	t.Cleanup(stop)
	k := f.connect()
	f.Assert(k.send("/a"), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	started := time.Now()
	router.Run(ctx)
	status, closes := k.receive()
	f.Assert(status, qt.Equals, 503)
	f.Assert(closes, qt.IsTrue)
	f.Assert(time.Since(started) < f.settings.Bounds.Grace, qt.IsTrue)
}
