package main

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hickoryrock/platform/platformtest"
)

type (
	// request is what a caller sends.
	request struct {
		method, path string
		// parts is the value of the prompt header, or empty.
		parts    string
		deadline time.Duration
		body     string
	}

	// result is what a caller has seen of a request.
	result struct {
		id     string
		router string
		sent   time.Time
		status int
		// sealed is set for a target's own answer, whole if the answer has come to its end.
		sealed, whole bool
		took          time.Duration
		body          string
	}

	// callers asks the routers which addresses to use, as callers do.
	callers struct {
		bed *bed

		mu        sync.Mutex
		addresses []string
	}
)

// get returns the status and the body of a GET request; the status is 0 without an answer.
func get(url string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// newCallers starts to look up the routers' addresses, until ctx is done.
func (b *bed) newCallers(ctx context.Context) *callers {
	c := &callers{bed: b}
	c.lookUp()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(callerTTL)
			c.lookUp()
		}
	}()
	return c
}

func (c *callers) lookUp() {
	for range 3 {
		r := c.bed.routers[rand.IntN(len(c.bed.routers))]
		status, body := get(platformtest.LookupURL(r.address(portLookup), host, region, r.zone))
		addresses, _, err := platformtest.Lookup(body)
		if status != http.StatusOK || err != nil || len(addresses) == 0 {
			continue
		}
		c.mu.Lock()
		c.addresses = addresses
		c.mu.Unlock()
		return
	}
}

// address returns the address of a router at random.
func (c *callers) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// call sends a request on a new connection to a router at random and reads the answer.
func (c *callers) call(r request) result { return c.bed.callAt(c.address(), r) }

// callAt sends a request on a new connection to a router and reads the answer.
func (b *bed) callAt(address string, r request) (out result) {
	out = result{id: b.nextCall(), router: address, sent: time.Now()}
	defer func() { out.took = time.Since(out.sent) }()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(conn, r.encode(out.id)); err != nil {
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.sealed = resp.StatusCode, platformtest.IsSealed(resp.Header)
	body, err := io.ReadAll(resp.Body)
	out.body, out.whole = string(body), err == nil
	return out
}

// encode returns the bytes of a request.
func (r request) encode(id string) string {
	return platformtest.CallerRequest{
		ID: id, Method: r.method, Host: host, Path: r.path, Key: key, Parts: r.parts, Body: r.body, Deadline: r.deadline,
	}.Encode()
}

// each runs f in its own goroutine at each interval until ctx is done, and waits for all.
func each(ctx context.Context, interval time.Duration, f func(i int)) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			group.Go(func() { f(i) })
		}
	}
}
