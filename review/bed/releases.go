package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	releaseService = "model-servers"
	releasePath    = "/lohu930/"
	releaseRouters = 2
	// releaseTargets is the number of servers in use. In each step a quarter more are added, over
	// releaseGap, and a quarter leaves.
	releaseTargets = 32
	releaseQuarter = releaseTargets / 4
	releaseGap     = 2 * time.Second
	releaseSteps   = 29
	releaseStep    = 2500 * time.Millisecond
	// spreadTime is the time until all routers know of new servers.
	spreadTime = 150 * time.Millisecond
	// keptCallers is the number of callers at each router, which keep their connections.
	keptCallers = 560
	// newCallers is the number of callers that try a new connection at the end, each second.
	newCallers = 20
	// minTries is the number of callers that must try a new connection.
	minTries = 7
	// releaseCalm is the time after the last step, in which nothing changes.
	releaseCalm = contactTime + 2*time.Second
	probeTime   = 10 * time.Second
	// releaseTimeout is the route's timeout; callers wait longer.
	releaseTimeout  = 1500 * time.Millisecond
	releaseDeadline = 3 * time.Second
)

type (
	// keptCaller is a caller that keeps its connection.
	keptCaller struct {
		bed     *bed
		address string
		conn    net.Conn
		reader  *bufio.Reader
	}

	// releaseLog counts what callers have seen.
	releaseLog struct {
		mu       sync.Mutex
		statuses map[int]int
		// ready counts the probes that each router answered with 200, unready the others.
		ready, unready map[string]int
		tries          []result
	}
)

// runReleases adds servers and lets others leave while callers use their connections, and looks
// at the end whether the routers take new connections.
func runReleases(b *bed, trouble bool) (bool, error) {
	b.configure(1, []string{key}, []map[string]any{platformtest.EngineService(releaseService)}, chatRoute("answer", releasePath, releaseService, releaseTimeout))
	var targets []*target
	add := func() error {
		t, err := b.addTarget(len(targets), releaseService, func(t *target, c net.Conn, r rawserver.Request) bool {
			return t.streamEvents(c, r, 4, 60*time.Millisecond)
		})
		targets = append(targets, t)
		return err
	}
	for range releaseTargets {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := b.addRouters(releaseRouters); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	seen := &releaseLog{statuses: make(map[int]int), ready: make(map[string]int), unready: make(map[string]int)}
	callers := b.keptCallers()
	for step := range releaseSteps {
		begun := time.Now()
		if trouble {
			for range releaseQuarter {
				if err := add(); err != nil {
					return false, err
				}
				time.Sleep(releaseGap / releaseQuarter)
			}
			last := len(targets) - releaseTargets
			for _, t := range targets[last-releaseQuarter : last] {
				t.leave()
			}
			time.Sleep(spreadTime)
		}
		seen.burst(callers)
		b.logf("step %d: %d servers were started so far; answers in this step: %s", step, len(targets), seen.take())
		time.Sleep(releaseStep - time.Since(begun))
	}
	b.logf("no more servers come or leave")
	time.Sleep(releaseCalm)
	b.probe(seen, callers)
	b.grepLog("too many open files")
	return seen.judge(b), nil
}

// leave drains the target, which ends a little later than drainTime.
func (t *target) leave() {
	t.leaving.Store(true)
	t.register(platformtest.StateDraining)
	time.AfterFunc(drainTime+spreadTime, func() {
		t.bed.store.Remove(platformtest.KindTargets, t.id)
		t.crash()
	})
}

func (b *bed) keptCallers() []*keptCaller {
	var callers []*keptCaller
	for _, r := range b.routers {
		for range keptCallers {
			callers = append(callers, &keptCaller{bed: b, address: r.address(portCallers)})
		}
	}
	return callers
}

// burst lets all callers send a request at once, and waits for the answers.
func (l *releaseLog) burst(callers []*keptCaller) {
	var group sync.WaitGroup
	for _, c := range callers {
		group.Go(func() {
			status := c.call()
			l.mu.Lock()
			defer l.mu.Unlock()
			l.statuses[status]++
		})
	}
	group.Wait()
}

// take returns the counts of the answers since the last call.
func (l *releaseLog) take() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprint(l.statuses)
	clear(l.statuses)
	return text
}

// call sends a request and returns the status of the answer, or 0 if there is no whole one.
func (c *keptCaller) call() int {
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", c.address)
		if err != nil {
			return 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(releaseDeadline))
	status, keep := c.exchange()
	if !keep {
		_ = c.conn.Close()
		c.conn = nil
	}
	return status
}

func (c *keptCaller) exchange() (status int, keep bool) {
	if _, err := io.WriteString(c.conn, releaseRequest().encode(c.bed.nextCall())); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, !resp.Close
}

func releaseRequest() request {
	return request{method: http.MethodPost, path: releasePath + "2f", deadline: releaseDeadline, body: "{}"}
}

// probe lets new callers try each router while the others go on, and asks whether it is ready.
func (b *bed) probe(seen *releaseLog, callers []*keptCaller) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			seen.burst(callers)
			time.Sleep(time.Second)
		}
	})
	each(ctx, time.Second, func(int) {
		for _, r := range b.routers {
			status, _ := get(fmt.Sprintf("http://%s:%d/readyz", r.ip, portReady))
			b.logf("%s says it is ready: %v", r.name, status == http.StatusOK)
			seen.mu.Lock()
			if status == http.StatusOK {
				seen.ready[r.name]++
			} else {
				seen.unready[r.name]++
			}
			seen.mu.Unlock()
			for range newCallers {
				group.Go(func() { b.try(seen, r) })
			}
		}
	})
	group.Wait()
	b.logf("answers to the callers that keep their connections: %s", seen.take())
}

func (b *bed) try(seen *releaseLog, r *router) {
	caller := &keptCaller{bed: b, address: r.address(portCallers)}
	result := result{router: r.name, sent: time.Now()}
	result.status = caller.call()
	b.logf("request on a new connection to %s: sent at %.3f, status %d after %v", r.name, result.sent.Sub(b.start).Seconds(),
		result.status, time.Since(result.sent).Round(time.Millisecond))
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.tries = append(seen.tries, result)
}

// judge reports whether a router that says it is ready has taken no new connection for
// contactTime, while callers tried.
func (l *releaseLog) judge(b *bed) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.tries, func(x, y result) int { return x.sent.Compare(y.sent) })
	broken := false
	for _, r := range b.routers {
		var since time.Time
		var longest time.Duration
		tried, answered, inSpan, most := 0, 0, 0, 0
		for _, t := range l.tries {
			if t.router != r.name {
				continue
			}
			tried++
			if t.status != 0 {
				answered++
				since, inSpan = time.Time{}, 0
				continue
			}
			if since.IsZero() {
				since = t.sent
			}
			if inSpan++; t.sent.Sub(since) > longest {
				longest, most = t.sent.Sub(since), inSpan
			}
		}
		b.logf("%s: ready %d times; %d new connections tried, %d answered; the longest time without one is %v, with %d tries", r.name,
			l.ready[r.name], tried, answered, longest.Round(time.Millisecond), most)
		broken = broken || (l.ready[r.name] > 0 && l.unready[r.name] == 0 && longest > contactTime && most >= minTries)
	}
	return broken
}
