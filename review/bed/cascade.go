package main

import (
	"context"
	"fmt"
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
	cascadeTargets  = 6
	cascadeCrashes  = 6
	cascadeSubjects = 400
	// A stream has streamEvents events, one each streamGap.
	cascadeEvents  = 60
	cascadeGap     = 200 * time.Millisecond
	cascadePath    = "/lohu930/"
	cascadeLength  = 40 * time.Second
	cascadeArrival = 150 * time.Millisecond
	// One target at a time is down for cascadeDown.
	cascadeFirst = 2 * time.Second
	cascadeNext  = 1600 * time.Millisecond
	cascadeDown  = 1500 * time.Millisecond
	// With OVERLAP=1, each target crashes overlapNext after the one before, and is down for
	// overlapDown.
	overlapNext = 800 * time.Millisecond
	overlapDown = 4600 * time.Millisecond
)

// isDenied reports whether a router itself has ended a request with a 3xx or 4xx that is no
// promise.
func (r result) isDenied() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return r.status >= 300 && r.status < 500 && !r.sealed
}

// runCascade lets model servers crash, one after the other, while sound streams are running
// that share the first part of their prompts.
func runCascade(b *bed, trouble bool) (bool, error) {
	b.configure(1, []string{key}, []map[string]any{platformtest.EngineService("walk")}, chatRoute("walkthrough", cascadePath, "walk", 15*time.Second))
	var targets []*target
	for i := range cascadeTargets {
		t, err := b.addTarget(i, "walk", func(t *target, c net.Conn, r rawserver.Request) bool {
			return t.streamEvents(c, r, cascadeEvents, cascadeGap)
		})
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	if err := b.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second) // All routers are in touch.
	ctx, cancel := context.WithTimeout(context.Background(), cascadeLength)
	defer cancel()
	if trouble {
		go b.crashInTurn(targets)
	}
	sent, denied := b.sendWalkthroughs(ctx)
	b.logf("%d requests, %d ended with a 4xx by a router; the rule allows %d", sent, denied, 5+sent/500)
	b.logf("routers' log: %d parts quarantined, %d released", b.countLog("prompt part quarantined"), b.countLog("prompt part released"))
	return denied > 5+sent/500, nil
}

// crashInTurn lets the target with the most running streams crash, several times; the next one
// does so when it is back.
func (b *bed) crashInTurn(targets []*target) {
	next, down := cascadeNext, cascadeDown
	if os.Getenv("OVERLAP") == "1" {
		next, down = overlapNext, overlapDown
	}
	time.Sleep(cascadeFirst)
	for range cascadeCrashes {
		t := slices.MaxFunc(targets, func(x, y *target) int { return x.running() - y.running() })
		b.logf("server %s crashes, %d streams running", t.id, t.running())
		t.crash()
		time.AfterFunc(down, func() {
			if err := t.listen(); err != nil {
				b.logf("server %s: %v", t.id, err)
				return
			}
			b.logf("server %s is back", t.id)
		})
		time.Sleep(next)
	}
}

// sendWalkthroughs sends sound requests until ctx is done and returns how many there were,
// and how many were denied.
func (b *bed) sendWalkthroughs(ctx context.Context) (sent, denied int) {
	callers := b.newCallers(ctx)
	var mu sync.Mutex
	each(ctx, cascadeArrival, func(i int) {
		r := callers.call(request{
			method: http.MethodPost, path: cascadePath + "2f", deadline: 15 * time.Second, body: "{}",
			parts: fmt.Sprintf("5c1e07a2:103,%08x:500,%08x:110", 0x91bd3f00+i%cascadeSubjects, 0xe4400000+i),
		})
		b.logf("request %s at %s: sent at %.3f, status %d, whole %v, by a server %v, %q", r.id, r.router,
			r.sent.Sub(b.start).Seconds(), r.status, r.whole, r.sealed, r.body[:min(len(r.body), 100)])
		mu.Lock()
		defer mu.Unlock()
		sent++
		if r.isDenied() {
			denied++
		}
	})
	return sent, denied
}
