package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	poisonTargets = 6
	poisonPart    = "0badf00d"
	poisonPath    = "/cuti104/"
	poisonLength  = 45 * time.Second
	// soundArrival and poisonArrival are the times between two requests.
	soundArrival  = 100 * time.Millisecond
	poisonArrival = 500 * time.Millisecond
	// poisonDown is how long a crashed server is away.
	poisonDown = 2 * time.Second
	// allowedLate is the number of requests with the part that may reach servers later than
	// contactTime after the fifth crash.
	allowedLate = 3
)

// poisonLog holds the times at which requests with the part have reached servers, and those of
// the crashes.
type poisonLog struct {
	mu                sync.Mutex
	arrivals, crashes []time.Time
}

// runPoison sends requests with a prompt part that crashes each server that begins to write an
// answer on it.
func runPoison(b *bed, trouble bool) (bool, error) {
	b.configure(1, []string{key}, []map[string]any{platformtest.EngineService("walk")}, chatRoute("report", poisonPath, "walk", 6*time.Second))
	var seen poisonLog
	for i := range poisonTargets {
		_, err := b.addTarget(i, "walk", func(t *target, c net.Conn, r rawserver.Request) bool {
			if platformtest.HasPart(r, poisonPart) {
				seen.crash(t, c, r)
				return false
			}
			return t.streamEvents(c, r, 10, 50*time.Millisecond)
		})
		if err != nil {
			return false, err
		}
	}
	if err := b.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second) // All routers are in touch.
	b.sendPoison(trouble)
	return seen.judge(b), nil
}

// crash lets a server crash when it begins to write its answer, and start again later. With
// HEAD=1 the head of the answer has been sent before.
func (p *poisonLog) crash(t *target, c net.Conn, r rawserver.Request) {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	t.bed.logf("request %s with the part reaches server %s", platformtest.DecodeForwarded(r).Call, t.id)
	time.Sleep(20 * time.Millisecond)
	begin := platformtest.CutHead
	if os.Getenv("HEAD") == "1" {
		begin = platformtest.StreamHead(r)
	}
	_, _ = io.WriteString(c, begin) // The server crashes in any case.
	if !t.isUp() {
		return // It has just crashed on another request.
	}
	t.crash()
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	t.bed.logf("server %s crashes", t.id)
	time.AfterFunc(poisonDown, func() {
		if err := t.listen(); err == nil {
			t.bed.logf("server %s is back", t.id)
		}
	})
}

// sendPoison sends sound requests and, if trouble is set, some with the part.
func (b *bed) sendPoison(trouble bool) {
	ctx, cancel := context.WithTimeout(context.Background(), poisonLength)
	defer cancel()
	callers := b.newCallers(ctx)
	send := func(kind, part string, i int) {
		r := callers.call(request{
			method: http.MethodPost, path: poisonPath + "2f", deadline: 6 * time.Second, body: "{}",
			parts: fmt.Sprintf("5c1e07a2:2520,%s:6100,%08x:580", part, 0xe4400000+i),
		})
		b.logf("%s request %s at %s: sent at %.3f, status %d, whole %v, by a server %v", kind, r.id, r.router,
			r.sent.Sub(b.start).Seconds(), r.status, r.whole, r.sealed)
	}
	var group sync.WaitGroup
	group.Go(func() {
		each(ctx, soundArrival, func(i int) { send("sound", fmt.Sprintf("%08x", 0x91bd3f00+i%20), i) })
	})
	if trouble {
		group.Go(func() { each(ctx, poisonArrival, func(i int) { send("bad", poisonPart, 1<<16+i) }) })
	}
	group.Wait()
}

// judge reports whether too many requests with the part have reached servers later than
// contactTime after the fifth crash.
func (p *poisonLog) judge(b *bed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortFunc(p.crashes, time.Time.Compare)
	late := 0
	if len(p.crashes) >= 5 {
		for _, at := range p.arrivals {
			if at.Sub(p.crashes[4]) > contactTime {
				late++
			}
		}
	}
	b.logf("%d crashes, %d requests with the part reached servers, %d of them later than %v after the fifth crash; the rule allows %d",
		len(p.crashes), len(p.arrivals), late, contactTime, allowedLate)
	b.logf("routers' log: %d parts quarantined", b.countLog("prompt part quarantined"))
	return late > allowedLate
}
