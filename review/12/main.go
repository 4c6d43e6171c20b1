// Command 12 lets one server of a service fail a part of its requests with a status 503 of its own, after
// it has run them. It counts the bookings that were answered 429, 503, 408 or 421 and have run.
package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hickoryrock/platform/platformtest"
	"hickoryrock/review/testbed3"
)

const (
	service = "order-app"

	routers, servers = 4, 7
	// failing is the number of servers that fail failingShare of their requests for troubleTime.
	failing      = 1
	failingShare = 0.4
	troubleTime  = 6500 * time.Millisecond
	workTime     = 15 * time.Millisecond
	after        = 3 * time.Second

	clients  = 12
	pause    = 20 * time.Millisecond
	deadline = 1500 * time.Millisecond
)

type trial struct {
	bed       *testbed3.Bed
	isTrouble atomic.Bool

	mu sync.Mutex
	// runs holds how often each request has run, answers the status that its client got.
	runs    map[string]int
	answers map[string]int
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(program, record string) int {
	bed, stop, err := testbed3.New(program, record)
	if err != nil {
		fmt.Println(err)
		return testbed3.ExitNotRun
	}
	defer stop()
	t := &trial{bed: bed, runs: make(map[string]int), answers: make(map[string]int)}
	route := platformtest.Route(testbed3.Host, "bookings", "/bookings/", platformtest.RouteOnce, service)
	bed.Configure(1, []map[string]any{platformtest.PlainService(service)}, []map[string]any{route})
	for i := range servers {
		domain := testbed3.Domains[i%len(testbed3.Domains)]
		if _, err := bed.AddServer(strconv.Itoa(i), service, domain, func(c testbed3.Call) bool { return t.handle(c, i < failing) }); err != nil {
			fmt.Println(err)
			return testbed3.ExitNotRun
		}
	}
	if err := bed.StartRouters(routers); err != nil {
		fmt.Println(err)
		return testbed3.ExitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { t.book(ctx, bed.Routers[i%len(bed.Routers)]) })
	}
	time.Sleep(testbed3.WarmUp)
	t.isTrouble.Store(testbed3.HasTrouble())
	time.Sleep(troubleTime)
	t.isTrouble.Store(false)
	time.Sleep(after)
	cancel()
	group.Wait()
	return t.judge()
}

// handle runs a request. A server that fails answers a part of them with its own 503 instead of the
// result. It does not say that the request has not run.
func (t *trial) handle(c testbed3.Call, isFailing bool) bool {
	t.bed.Recordf("run id=%s server=%s", c.ID, c.Server.ID())
	t.mu.Lock()
	t.runs[c.ID]++
	t.mu.Unlock()
	time.Sleep(workTime)
	if isFailing && t.isTrouble.Load() && rand.Float64() < failingShare {
		c.Respond(http.StatusServiceUnavailable, "X-Hickoryrock-Response-Seal: "+testbed3.Seal+"\r\n", "the answer of the database was lost")
		return true
	}
	c.RespondOK("", "booked "+c.ID)
	return true
}

// book sends bookings, one after the other, on a kept connection to a router until ctx is done.
func (t *trial) book(ctx context.Context, router *testbed3.Router) {
	var c net.Conn
	var reader *bufio.Reader
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = new(net.Dialer).DialContext(ctx, "tcp4", router.Address); err != nil {
				return
			}
			reader = bufio.NewReader(c)
		}
		id := t.bed.NewID()
		result := testbed3.SendOn(c, reader, platformtest.CallerRequest{
			ID: id, Method: http.MethodPost, Host: testbed3.Host, Path: "/bookings/1", Key: testbed3.Key, Body: "{}", Deadline: deadline,
		})
		t.bed.Recordf("answer id=%s router=%s status=%d seal=%q", id, router.Name, result.Status, result.Field("x-hickoryrock-response-seal"))
		t.mu.Lock()
		t.answers[id] = result.Status
		t.mu.Unlock()
		if result.Status == 0 || result.Field("connection") == "close" {
			_ = c.Close()
			c = nil
		}
		time.Sleep(pause)
	}
	if c != nil {
		_ = c.Close()
	}
}

func (t *trial) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	served, broken := 0, 0
	for id, status := range t.answers {
		switch status {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if t.runs[id] > 0 {
				broken++
				t.bed.Recordf("broken id=%s status=%d runs=%d", id, status, t.runs[id])
			}
		}
	}
	t.bed.Recordf("bookings=%d served=%d answered-as-not-run-though-run=%d", len(t.answers), served, broken)
	fmt.Printf("bookings %d, served %d, answered as not run though they have run %d\n", len(t.answers), served, broken)
	switch {
	case broken > 0:
		return testbed3.ExitBroken
	case served == 0:
		return testbed3.ExitNotRun
	}
	return testbed3.ExitHeld
}
