package scenario_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/soak/process"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	// smallVMMemoryMB is the memory of the smallest VM.
	smallVMMemoryMB = 184
	faultyCalls     = 1800
	faultyTargets   = 6
	faultyTime      = 4 * time.Second
	soundGap        = 20 * time.Millisecond
	// faultyGap is the time between two parts of an answer without end.
	faultyGap = 10 * time.Millisecond
	// slowReadGap is the time between two reads of a caller that reads slowly, slowReadBytes what
	// it reads each time.
	slowReadGap   = 200 * time.Millisecond
	slowReadBytes = 4 << 10
)

var (
	allFaults   = flag.Bool("all-faults", false, "try all kinds of bytes without end")
	faultyPorts = platformtest.Ports{Callers: 18627, Ready: 18620, Lookup: 18624, Peers: 17740}
)

// faultyFleet is one router process of the smallest VM in front of a sound target and some that send
// bytes without end.
type faultyFleet struct {
	*qt.C
	router *process.Process
	ip     string
}

func newFaultyFleet(t *testing.T, program string, subnet int, faulty rawserver.Handler) *faultyFleet {
	f := &faultyFleet{C: qt.New(t), ip: fmt.Sprintf("127.79.%d.1", subnet)}
	dir := t.TempDir()
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.FaultyConfiguration(1))
	store.Set(platformtest.KindTargets, "i-sound", platformtest.Target(startTarget(f.C).Address(), "ready", 1))
	for i := range faultyTargets {
		target, stop, err := rawserver.New(faulty)
		f.Assert(err, qt.IsNil)
		t.Cleanup(stop)
		store.Set(platformtest.KindTargets, fmt.Sprint("i-faulty-", i), platformtest.TargetOf("faulty", target.Address(), "ready", 1))
	}
	settings := filepath.Join(dir, "router.json")
	data := platformtest.FleetSettingsWithMemory("router", f.ip, "domain", faultyPorts, strings.TrimPrefix(server.URL, "http://"), smallVMMemoryMB)
	f.Assert(os.WriteFile(settings, data, 0o600), qt.IsNil)
	f.router = process.New("router", dir, program, "edge", "-settings", settings)
	f.Assert(f.router.Start(), qt.IsNil)
	t.Cleanup(func() { f.router.Stop(0) })
	for end := time.Now().Add(20 * time.Second); f.callSound() != nil; time.Sleep(50 * time.Millisecond) {
		f.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the router serves no call"))
	}
	return f
}

func (f *faultyFleet) dial() (net.Conn, error) {
	return net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", f.ip, faultyPorts.Callers), time.Second)
}

// callSound makes a call to the sound target. It returns an error if the call was not served.
func (f *faultyFleet) callSound() error {
	c, err := f.dial()
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = io.WriteString(c, platformtest.Request(platformtest.PathSafe, platformtest.AuthorizationLine+"Connection: close\r\n", "")); err != nil {
		return err
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") || !strings.HasSuffix(string(answer), "\r\n\r\nx") {
		return fmt.Errorf("answer %q", answer)
	}
	return nil
}

// callFaulty makes a call to a faulty target and reads its answer slowly until it ends.
func (f *faultyFleet) callFaulty(ctx context.Context, path string) {
	c, err := f.dial()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err = io.WriteString(c, platformtest.Request(path, platformtest.AuthorizationLine, "")); err != nil {
		return
	}
	for buffer := make([]byte, slowReadBytes); err == nil && ctx.Err() == nil; time.Sleep(slowReadGap) {
		_ = c.SetReadDeadline(time.Now().Add(faultyTime))
		_, err = c.Read(buffer)
	}
}

// Guards against a router that runs out of memory, and with it the calls of others, because targets
// send bytes that are no answer without end (LOST; a report of another operator, issue 40).
func TestBytesWithoutEndLeaveTheMemoryOfTheSmallestVM(t *testing.T) {
	endless := func(head func(r rawserver.Request) string, part string) rawserver.Handler {
		return func(c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, head(r))
			for ; err == nil; time.Sleep(faultyGap) {
				_, err = io.WriteString(c, part)
			}
			return false
		}
	}
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	stopping := func(begin func(r rawserver.Request) string) rawserver.Handler {
		return func(c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, begin(r))
			if err == nil {
				_, _ = c.Read(make([]byte, 1))
			}
			return false
		}
	}
	program := buildRouter(qt.New(t), t.TempDir())
	status := func(rawserver.Request) string { return "HTTP/1.1 200 OK\r\n" }
	for i, test := range []struct {
		name, path string
		handler    rawserver.Handler
		// rare is set for kinds that are tried with allFaults only.
		rare bool
	}{
		{"comments of 60 KB in a stream", platformtest.PathResume, endless(platformtest.StreamHead, chunk(":"+strings.Repeat("c", 60_000)+"\n\n")), false},
		{"a stream whose event does not end", platformtest.PathStream, endless(platformtest.StreamHead, chunk(strings.Repeat("d", 4_000))), true},
		{"events of 60 KB that stop before their end", platformtest.PathStream, stopping(func(r rawserver.Request) string {
			return platformtest.StreamHead(r) + chunk("data: "+strings.Repeat("d", 60_000))
		}), false},
		{"a head of 60 KB that stops before its end", platformtest.PathOnce, stopping(func(r rawserver.Request) string {
			return status(r) + strings.Repeat("A: "+strings.Repeat("b", 100)+"\r\n", 600)
		}), false},
		{"a head", platformtest.PathOnce, endless(status, "A: "+strings.Repeat("b", 1_000)+"\r\n"), true},
		{"a field", platformtest.PathOnce, endless(status, strings.Repeat("b", 1_000)), true},
		{"a body without a length", platformtest.PathOnce, endless(func(r rawserver.Request) string {
			return strings.Replace(platformtest.StreamHead(r), "Transfer-Encoding: chunked\r\n", "", 1)
		}, strings.Repeat("b", 1_000)), false},
		{"a body in chunks", platformtest.PathOnce, endless(platformtest.StreamHead, chunk(strings.Repeat("b", 1_000))), true},
		{"bodies of 1 MB that stop after 30 KB", platformtest.PathOnce, stopping(func(r rawserver.Request) string {
			return platformtest.ResponseHead(r, 1_000_000) + strings.Repeat("x", 30_000)
		}), true},
	} {
		if test.rare && !*allFaults {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			f := newFaultyFleet(t, program, i+1, test.handler)
			f.assertSoundCallsBeside(test.path)
		})
	}
}

// assertSoundCallsBeside fails if a sound call is not served beside faulty ones, or if the router needs
// more memory than the VM has.
func (f *faultyFleet) assertSoundCallsBeside(path string) {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), faultyTime)
	defer cancel()
	var group sync.WaitGroup
	for range faultyCalls {
		group.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(slowReadGap) {
				f.callFaulty(ctx, path)
			}
		})
	}
	var sent, served atomic.Int64
	for ctx.Err() == nil {
		group.Go(func() {
			sent.Add(1)
			if err := f.callSound(); err != nil {
				f.Logf("sound call: %v", err)
				return
			}
			served.Add(1)
		})
		time.Sleep(soundGap)
	}
	group.Wait()
	peak, err := f.router.PeakMemory()
	f.Assert(err, qt.IsNil)
	f.Logf("peak of %d MB, %d of %d sound calls served", peak>>20, served.Load(), sent.Load())
	f.Check(peak < smallVMMemoryMB<<20, qt.IsTrue, qt.Commentf("%d MB of %d", peak>>20, smallVMMemoryMB))
	f.Check(served.Load(), qt.Equals, sent.Load())
	f.Check(f.router.Failures(), qt.HasLen, 0)
}
