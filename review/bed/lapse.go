package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	lapsePath    = "/pufi791/"
	lapseService = "model-servers"
	lapseTargets = 6
	lapseRouters = 6
	// lapseRounds is the number of servers that leave, one after the other.
	lapseRounds = 4
	// lapseBatch is the number of requests to each router at a time. Their streams have
	// lapseEvents events, one each lapseGap.
	lapseBatch  = 12
	lapseEvents = 15
	lapseGap    = 200 * time.Millisecond
	// lapseDown is how long the store is down each time, lapseSilence the time after which the
	// entry of a silent server lapses: more than three heartbeats.
	lapseDown    = 4500 * time.Millisecond
	lapseSilence = 4400 * time.Millisecond
	// lapseMargin is the time after which requests are sent once none may reach the server,
	// lapseRest the time for which it still serves then.
	lapseMargin = 500 * time.Millisecond
	lapseRest   = time.Second
	// drainTime is the time after which a target that drains gets no calls.
	drainTime = 2 * time.Second
)

// lapseLog counts what servers and callers have seen.
type lapseLog struct {
	mu sync.Mutex
	// due is the time from which no request may reach a server that leaves.
	due                     map[string]time.Time
	late, asked, cut, other int
}

// runLapse lets servers leave that do not report it: they stop to renew their entries, which
// lapse while the store is down, and go on serving for a time. Callers come in batches.
func runLapse(b *bed, trouble bool) (bool, error) {
	b.configure(1, []string{key}, []map[string]any{platformtest.EngineService(lapseService)}, chatRoute("advice", lapsePath, lapseService, 15*time.Second))
	seen := &lapseLog{due: make(map[string]time.Time)}
	var targets []*target
	for i := range lapseTargets {
		t, err := b.addTarget(i, lapseService, seen.serve)
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	if err := b.addRouters(lapseRouters); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second) // All routers are in touch.
	seen.batch(b)
	for _, t := range targets[:lapseRounds] {
		b.leaveUnreported(t, seen, trouble)
	}
	b.grepLog("target gone", "targets received", "store available", "listing again", "says that it leaves")
	b.logf("%d requests reached servers that had left; %d requests were sent, the answers of %d were cut, %d were not served", seen.late,
		seen.asked, seen.cut, seen.other)
	return seen.late > 0, nil
}

// leaveUnreported lets a server leave. Without trouble the store stays up, and its entry is
// removed at once.
func (b *bed) leaveUnreported(t *target, seen *lapseLog, trouble bool) {
	t.leaving.Store(true)
	due := time.Now().Add(drainTime)
	if trouble {
		b.store.Fail(http.StatusServiceUnavailable)
		b.logf("the store is down, server %s leaves", t.id)
		time.Sleep(lapseSilence)
	}
	b.store.Remove(platformtest.KindTargets, t.id)
	b.logf("the entry of server %s is removed", t.id)
	if trouble {
		time.Sleep(lapseDown - lapseSilence)
		b.store.Compact()
		b.store.Fail(0)
		b.logf("the store is up, without its history")
		// The store is stable after contactTime; by then, entries that are missing are of
		// servers that have gone.
		due = time.Now().Add(contactTime + drainTime)
	}
	seen.mu.Lock()
	seen.due[t.id] = due
	seen.mu.Unlock()
	time.Sleep(time.Until(due) + lapseMargin)
	time.AfterFunc(lapseRest, func() {
		b.logf("server %s ends, %d requests running", t.id, t.running())
		t.crash()
	})
	seen.batch(b)
}

// serve answers a request, and records it if it should not have come.
func (l *lapseLog) serve(t *target, c net.Conn, r rawserver.Request) bool {
	l.mu.Lock()
	if due, ok := l.due[t.id]; ok && time.Now().After(due) {
		l.late++
		t.bed.logf("request %s reaches server %s, %v too late", platformtest.DecodeForwarded(r).Call, t.id,
			time.Since(due).Round(time.Millisecond))
	}
	l.mu.Unlock()
	return t.streamEvents(c, r, lapseEvents, lapseGap)
}

// batch sends requests to all routers at once and waits for the answers.
func (l *lapseLog) batch(b *bed) {
	var group sync.WaitGroup
	for _, r := range b.routers {
		for range lapseBatch {
			group.Go(func() { l.call(b, r) })
		}
	}
	group.Wait()
}

func (l *lapseLog) call(b *bed, router *router) {
	r := b.callAt(router.address(portCallers), request{method: http.MethodPost, path: lapsePath + "2f", deadline: 15 * time.Second, body: "{}"})
	b.logf("request %s at %s: sent at %.3f, status %d, whole %v", r.id, router.name, r.sent.Sub(b.start).Seconds(), r.status, r.whole)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	switch {
	case r.status != http.StatusOK:
		l.other++
	case !r.whole:
		l.cut++
	}
}
