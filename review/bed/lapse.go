package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	lapsePath    = "/puxa403/"
	lapseService = "order-app"
	lapseTargets = 6
	lapseRouters = 6
	// lapseRounds is the number of servers that leave, one after the other.
	lapseRounds  = 4
	lapseArrival = 10 * time.Millisecond
	lapseWork    = 100 * time.Millisecond
	// lapseDown is how long the store is down each time, lapseSilence the time after which the
	// entry of a silent server lapses: more than three heartbeats.
	lapseDown    = 4500 * time.Millisecond
	lapseSilence = 4400 * time.Millisecond
	// lapseServes is how long a server that leaves goes on serving.
	lapseServes = 9 * time.Second
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
)

// lapseLog holds when the last request has reached each server, and how many came late.
type lapseLog struct {
	mu sync.Mutex
	// due is the time from which no request may reach a server that leaves.
	due   map[string]time.Time
	late  map[string]int
	cuts  int
	asked int
}

// runLapse lets servers leave that do not report it: they stop to renew their entries, which
// lapse while the store is down, and go on serving for a time.
func runLapse(b *bed, trouble bool) (bool, error) {
	services := []map[string]any{plainService(lapseService)}
	b.configure(1, []string{key}, services, route("booking", lapsePath, "non_idempotent", lapseService, nil))
	seen := &lapseLog{due: make(map[string]time.Time), late: make(map[string]int)}
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
	ctx, cancel := context.WithCancel(context.Background())
	callers := b.newCallers(ctx)
	var group sync.WaitGroup
	group.Go(func() { each(ctx, lapseArrival, func(int) { seen.call(callers) }) })
	for _, t := range targets[:lapseRounds] {
		b.leaveUnreported(t, seen, trouble)
	}
	cancel()
	group.Wait()
	b.grepLog("target gone", "targets received", "store available", "listing again")
	return seen.judge(b), nil
}

// leaveUnreported lets a server leave. Without trouble the store stays up, and its entry is
// removed at once.
func (b *bed) leaveUnreported(t *target, seen *lapseLog, trouble bool) {
	due := time.Now().Add(drainTime)
	if trouble {
		b.store.Fail(http.StatusServiceUnavailable)
		b.logf("the store is down")
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
	time.Sleep(lapseServes)
	b.logf("server %s ends, %d requests running", t.id, t.running())
	t.crash()
}

// serve answers a request, and records it if it should not have come.
func (l *lapseLog) serve(t *target, c net.Conn, r rawserver.Request) bool {
	l.mu.Lock()
	if due, ok := l.due[t.id]; ok && time.Now().After(due) {
		l.late[t.id]++
		t.bed.logf("request %s reaches server %s, %v too late", r.HeaderField("x-hickoryrock-attempt-id"), t.id,
			time.Since(due).Round(time.Millisecond))
	}
	l.mu.Unlock()
	time.Sleep(lapseWork)
	_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", "run by "+t.id))
	return err == nil
}

func (l *lapseLog) call(callers *callers) {
	r := callers.call(request{method: http.MethodPost, path: lapsePath + "2f", deadline: 1500 * time.Millisecond, body: "{}"})
	callers.bed.logf("request %s at %s: sent at %.3f, status %d, %q", r.id, r.router, r.sent.Sub(callers.bed.start).Seconds(), r.status, r.body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if r.status != http.StatusOK {
		l.cuts++
	}
}

// judge reports whether requests have reached a server that had left.
func (l *lapseLog) judge(b *bed) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for id := range l.due {
		b.logf("%d requests reached server %s later than drain_ms allows", l.late[id], id)
		total += l.late[id]
	}
	b.logf("%d requests were sent, %d were not served; %d reached servers that had left", l.asked, l.cuts, total)
	return total > 0
}
