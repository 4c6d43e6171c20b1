// Package traffic plays the callers and the targets of a soak and tells the
// oracle what they see.
package traffic

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickoryrock/internal/soak/link"
	"hickoryrock/internal/soak/oracle"
	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	// Sound targets answer every call.
	Sound Trouble = iota
	// Losing targets run some calls and reset the connection instead of answering.
	Losing
	// Refusing targets prove that they have not run some calls.
	Refusing
	// Extra targets send an answer to another call after some of their own.
	Extra
	// Mute targets run some calls and say nothing.
	Mute
	// Failing targets run some calls and answer 500.
	Failing
)

const (
	// troubled is the share of calls that a target's trouble strikes.
	troubled = 0.3
	// events is the length of a stream, eventGap the pause between its events;
	// one stream in slowStreams takes long enough for its caller to have left.
	events       = 10
	eventGap     = 20 * time.Millisecond
	slowEventGap = 200 * time.Millisecond
	slowStreams  = 10
	workMost     = 20 * time.Millisecond
	// drainBound is when a leaving target must get no more calls, with a margin
	// for the clocks of busy processes.
	drainBound = 2*time.Second + 300*time.Millisecond
	// goneBound is when a target must see that a caller has left, with the same margin.
	goneBound = 800 * time.Millisecond
)

type (
	// Trouble is what a target does to some of its calls.
	Trouble int

	// Target is one incarnation of a server behind a link.
	Target struct {
		ID   string
		Link *link.Link

		book   *oracle.Book
		server *rawserver.Server
		stop   func()

		mu       sync.Mutex
		trouble  Trouble
		leaving  time.Time
		conns    map[net.Conn]struct{}
		workings map[string]time.Time
	}
)

// NewTarget starts a target and returns it with the function that crashes it.
func NewTarget(id string, book *oracle.Book) (*Target, func(), error) {
	t := &Target{ID: id, book: book, conns: make(map[net.Conn]struct{}), workings: make(map[string]time.Time)}
	server, stopServer, err := rawserver.New(t.serve)
	if err != nil {
		return nil, nil, err
	}
	k, stopLink, err := link.New(server.Address())
	if err != nil {
		stopServer()
		return nil, nil, err
	}
	t.server, t.Link = server, k
	t.stop = sync.OnceFunc(func() {
		stopServer()
		stopLink()
		t.mu.Lock()
		defer t.mu.Unlock()
		for c := range t.conns {
			rawserver.Reset(c)
		}
	})
	return t, t.stop, nil
}

// Set changes the target's trouble.
func (t *Target) Set(trouble Trouble) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trouble = trouble
}

// Leave says that the store has acknowledged that the target leaves.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = time.Now()
}

// struck returns the trouble of one call.
func (t *Target) struck() Trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rand.Float64() < troubled {
		return t.trouble
	}
	return Sound
}

func (t *Target) serve(c net.Conn, r rawserver.Request) bool {
	t.mu.Lock()
	t.conns[c] = struct{}{}
	leaving := t.leaving
	t.mu.Unlock()
	sent := platformtest.DecodeSent(r)
	if sent.Expected != "" && sent.Expected != t.ID {
		return t.write(c, platformtest.Replaced(r))
	}
	t.judgeArrival(sent, leaving)
	t.book.Arrived(sent.Call)
	trouble := t.struck()
	if trouble == Refusing {
		return t.write(c, platformtest.NotRun(r))
	}
	t.book.Ran(sent.Call, mostTargets(r.Target), t.ID)
	time.Sleep(rand.N(workMost))
	switch trouble {
	case Losing:
		rawserver.Reset(c)
		return false
	case Mute:
		_, _ = io.Copy(io.Discard, c) // Until the router gives up.
		return false
	case Failing:
		return t.write(c, platformtest.Answer(r, "500 Failed", "", "failed"))
	}
	if isStream(r.Target) {
		return t.stream(c, r, sent)
	}
	extra := ""
	if trouble == Extra {
		extra = platformtest.OfAnotherCall()
	}
	return t.write(c, platformtest.Answer(r, "200 OK", "", WholeBody(sent.Call))+extra)
}

func (t *Target) judgeArrival(sent platformtest.Sent, leaving time.Time) {
	if leaving.IsZero() || sent.Expected == "" {
		return
	}
	since := time.Since(leaving)
	if since > drainBound && t.book.InTouch(since) {
		t.book.Break(oracle.Leaving, "call %s reached %s %v after it was told to leave", sent.Call, t.ID, since)
	}
}

// stream writes the events after the last one that the caller has.
func (t *Target) stream(c net.Conn, r rawserver.Request, sent platformtest.Sent) bool {
	if !t.write(c, platformtest.StreamHead(r)) {
		return false
	}
	gap := eventGap
	if rand.IntN(slowStreams) == 0 {
		gap = slowEventGap
	}
	last, _ := strconv.Atoi(sent.LastEvent) // A stream that is not resumed starts at the first event.
	for n := last + 1; n <= events; n++ {
		event := Event(sent.Call, n)
		if !t.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		if left, ok := t.book.LeftFor(sent.Call); ok && left > goneBound && t.book.InTouch(left) {
			t.book.Break(oracle.Gone, "%s still writes call %s %v after its caller left", t.ID, sent.Call, left)
		}
		time.Sleep(gap)
	}
	return t.write(c, "0\r\n\r\n")
}

func (t *Target) write(c net.Conn, data string) bool {
	_, err := io.WriteString(c, data)
	return err == nil
}

// WholeBody is the whole answer to a call.
func WholeBody(call string) string { return "whole answer to " + call }

// Event is one event of a call's stream.
func Event(call string, n int) string {
	end := ""
	if n == events {
		end = " end"
	}
	return fmt.Sprintf("id: %d\ndata: %s %d%s\n\n", n, call, n, end)
}

func isStream(path string) bool {
	return strings.HasPrefix(path, platformtest.PathStream) || strings.HasPrefix(path, platformtest.PathResume)
}

// mostTargets is the number of targets that the configuration allows a call.
func mostTargets(path string) int {
	if strings.HasPrefix(path, platformtest.PathSafe) || strings.HasPrefix(path, platformtest.PathResume) {
		return 2
	}
	return 1
}

func runsOnce(path string) bool {
	return strings.HasPrefix(path, platformtest.PathStream) || strings.HasPrefix(path, platformtest.PathOnce)
}
