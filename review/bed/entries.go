package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	kindRouters = "hickoryrock-routers"
	// replacedRouters is the number of VMs that were replaced before, startsAtOnce how many of
	// them are started at a time.
	replacedRouters = 1800
	startsAtOnce    = 16
	// replaceTime bounds the time in which they are replaced.
	replaceTime   = time.Minute
	entriesCalm   = 20 * time.Second
	entriesLength = 8 * time.Second
	// changeGap is the time between two changes of the configuration.
	changeGap = 200 * time.Millisecond
	// maxChanges is the number of changes before the last one at most, watchTime longer than a
	// router waits in a watch.
	maxChanges     = 15
	watchTime      = 1500 * time.Millisecond
	entriesArrival = 50 * time.Millisecond
	entriesPath    = "/puxa403/"
	serviceOld     = "old"
	serviceNew     = "new"
	// applyTime is the time in which a change must be in force.
	applyTime = 2 * time.Second
)

// watchCounter passes calls on to the store and remembers when the last watch came.
type watchCounter struct {
	store http.Handler
	last  atomic.Int64
}

// ServeHTTP implements http.Handler.
func (w *watchCounter) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if platformtest.IsWatch(r) {
		w.last.Store(time.Now().UnixNano())
	}
	w.store.ServeHTTP(rw, r)
}

// addBookingServices registers two services with one target each, and configures a route of
// bookings to the old one.
func (b *bed) addBookingServices() ([]map[string]any, error) {
	services := []map[string]any{platformtest.PlainService(serviceOld), platformtest.PlainService(serviceNew)}
	b.configure(1, []string{key}, services, bookingRoute(serviceOld))
	for i, service := range []string{serviceOld, serviceNew} {
		_, err := b.addTarget(i, service, func(t *target, c net.Conn, r rawserver.Request) bool {
			_, err := io.WriteString(c, platformtest.Response(r, "200 OK", "", "run by "+t.service))
			return err == nil
		})
		if err != nil {
			return nil, err
		}
	}
	return services, nil
}

func bookingRoute(service string) map[string]any {
	return route("booking", entriesPath, platformtest.RouteOnce, service)
}

// runEntries replaces many VMs, then kills the router that watches the store, and moves a route
// to another service.
func runEntries(b *bed, trouble bool) (bool, error) {
	services, err := b.addBookingServices()
	if err != nil {
		return false, err
	}
	counters := make([]*watchCounter, 3)
	for i := range counters {
		counters[i] = &watchCounter{store: b.store}
	}
	if err := b.addWatchedRouters(counters); err != nil {
		return false, err
	}
	if trouble {
		if err := b.replaceRouters(); err != nil {
			return false, err
		}
	}
	time.Sleep(entriesCalm)
	// Changes in series, until one router alone watches the store.
	version, left := 1, b.routers
	for range maxChanges {
		version++
		b.configure(version, []string{key}, services, bookingRoute(serviceOld), addedRoute(version))
		time.Sleep(changeGap)
		if watching(counters) == 1 {
			break
		}
		time.Sleep(watchTime)
	}
	if trouble {
		left = b.killWatcher(counters)
	}
	version++
	b.configure(version, []string{key}, services, bookingRoute(serviceNew), addedRoute(version))
	return b.judgeMove(left, time.Now()), nil
}

// addedRoute returns a route that a version of the configuration adds.
func addedRoute(version int) map[string]any {
	return route(fmt.Sprint("status-", version), fmt.Sprintf("/cufi%d/", version), platformtest.RouteSafe, serviceOld)
}

// watching returns the number of routers that have watched the store lately.
func watching(counters []*watchCounter) int {
	n := 0
	for _, c := range counters {
		if time.Since(time.Unix(0, c.last.Load())) < watchTime {
			n++
		}
	}
	return n
}

// killWatcher kills the router that has watched the store last and returns the others.
func (b *bed) killWatcher(counters []*watchCounter) []*router {
	watcher := 0
	for i, c := range counters {
		ago := "never"
		if last := c.last.Load(); last > 0 {
			ago = time.Since(time.Unix(0, last)).Round(time.Millisecond).String()
		}
		b.logf("last watch by %s: %s", b.routers[i].name, ago)
		if c.last.Load() > counters[watcher].last.Load() {
			watcher = i
		}
	}
	b.routers[watcher].kill()
	b.logf("router %s, which watches the store, is killed", b.routers[watcher].name)
	return slices.Delete(slices.Clone(b.routers), watcher, watcher+1)
}

// addWatchedRouters starts routers with a counter of watches each.
func (b *bed) addWatchedRouters(counters []*watchCounter) error {
	common := b.storeAddress
	defer func() { b.storeAddress = common }()
	for i, counter := range counters {
		address, stop, err := b.serveStore(counter)
		if err != nil {
			return err
		}
		b.cleanups = append(b.cleanups, stop)
		b.storeAddress = address
		r := b.newRouter(fmt.Sprintf("edge-%s-%d", zones[i], i+1), b.ip(i+1), zones[i], true)
		if err := r.run(); err != nil {
			return err
		}
		b.routers = append(b.routers, r)
	}
	for _, r := range b.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// replaceRouters starts routers at new addresses, which are killed as soon as they have
// registered, as VMs are that are replaced.
func (b *bed) replaceRouters() error {
	count := replacedRouters
	if n, err := strconv.Atoi(os.Getenv("REPLACED")); err == nil {
		count = n
	}
	var group errgroup.Group
	group.SetLimit(startsAtOnce)
	end := time.Now().Add(replaceTime)
	for i := range count {
		if time.Now().After(end) {
			break // A slow machine replaces fewer.
		}
		group.Go(func() error {
			zone := zones[i%len(zones)]
			r := b.newRouter(fmt.Sprintf("edge-%s-%d", zone, 100+i), b.ipBeside(1+i/200, 1+i%200), zone, false)
			if err := r.run(); err != nil {
				return err
			}
			defer r.kill()
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if slices.Contains(b.store.Names(kindRouters), r.name) {
					return nil
				}
			}
			return fmt.Errorf("%s does not register", r.name)
		})
	}
	err := group.Wait()
	b.logf("%d VMs were to be replaced; the store lists %d routers", count, len(b.store.Names(kindRouters)))
	return err
}

// judgeMove sends requests to each router and reports whether one that was sent later than
// applyTime after the acknowledgement was run by the old service.
func (b *bed) judgeMove(routers []*router, acknowledged time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), entriesLength)
	defer cancel()
	var mu sync.Mutex
	late, latest := 0, time.Duration(0)
	each(ctx, entriesArrival, func(i int) {
		router := routers[i%len(routers)]
		r := b.callAt(fmt.Sprintf("%s:%d", router.ip, portCallers), request{
			method: http.MethodPost, path: entriesPath + "2f", deadline: 1500 * time.Millisecond, body: "{}",
		})
		after := r.sent.Sub(acknowledged)
		b.logf("request %s at %s: sent %v after the acknowledgement, status %d, %q", r.id, router.name, after.Round(time.Millisecond), r.status, r.body)
		if r.body != "run by "+serviceOld {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		latest = max(latest, after)
		if after > applyTime {
			late++
		}
	})
	b.logf("%d requests sent later than %v after the acknowledgement were run by the old service; the last one that was run there was sent %v after it",
		late, applyTime, latest.Round(time.Millisecond))
	return late > 0
}
