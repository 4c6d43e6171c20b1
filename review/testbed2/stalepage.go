package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hickoryrock/internal/standin/rawserver"
	"hickoryrock/platform/platformtest"
)

const (
	bookingPath    = "/puxa403/"
	bookingService = "xano55b"
	otherService   = "cuti104"
	// otherTargets is the number of targets that sort before those of the bookings: two pages.
	otherTargets   = 2 * pageEntries
	bookingTargets = 4

	// replicaLag is how old the state of the lagging replica is.
	replicaLag = 3 * time.Second
	// drainTime is drain_ms of the settings, serveTime how long a target serves after it has reported
	// that it drains.
	drainTime = 2 * time.Second
	serveTime = 14 * time.Second

	bookingPeriod = 10 * time.Millisecond
	workTime      = 60 * time.Millisecond
)

type (
	// drainRun is a run in which a target drains and a router restarts.
	drainRun struct {
		record *record
		fleet  *fleet

		mu      sync.Mutex
		targets []*bookingTarget
		// routers holds the router to which each booking was sent, sentAt when.
		routers map[string]*router
		sentAt  map[string]time.Time
		// runs holds the bookings that the draining target has run after it had reported, and when.
		late    map[string]time.Time
		drained time.Time
		answers map[string]answer
	}

	bookingTarget struct {
		id, address string
		stop        func()
		conns       map[net.Conn]bool
		isDraining  bool
	}
)

// runStalePage plays the run and returns the exit status.
func runStalePage(r *record, trouble bool) (int, error) {
	d := &drainRun{
		record: r, routers: make(map[string]*router), sentAt: make(map[string]time.Time), late: make(map[string]time.Time),
		answers: make(map[string]answer),
	}
	configuration := platformtest.DeploymentConfiguration(1, "hule930", []string{key},
		[]map[string]any{platformtest.PlainService(bookingService), platformtest.PlainService(otherService)},
		[]map[string]any{platformtest.Route(host, "booking", bookingPath, platformtest.RouteOnce, bookingService)})
	f, stop, err := newFleet(r, configuration)
	if err != nil {
		return exitUnable, err
	}
	defer stop()
	d.fleet = f
	endReplicas := f.serveFrom(replicaLag)
	defer endReplicas()
	for i := range otherTargets + bookingTargets {
		if err := d.addTarget(targetName(i+1), i < otherTargets); err != nil {
			return exitUnable, err
		}
	}
	if err := f.start(); err != nil {
		return exitUnable, err
	}
	return d.play(trouble)
}

func targetName(n int) string { return fmt.Sprintf("i-%04d", n) }

// addTarget starts a target and registers it.
func (d *drainRun) addTarget(id string, other bool) error {
	t := &bookingTarget{id: id, conns: make(map[net.Conn]bool)}
	server, stop, err := rawserver.New(func(c net.Conn, r rawserver.Request) bool { return d.serve(t, c, r) })
	if err != nil {
		return err
	}
	t.address, t.stop = server.Address(), stop
	name := bookingService
	if other {
		name = otherService
	} else {
		d.targets = append(d.targets, t)
	}
	d.register(t, name, platformtest.StateReady)
	return nil
}

func (d *drainRun) register(t *bookingTarget, name, state string) {
	d.fleet.store.Set(platformtest.KindTargets, t.id, platformtest.DeploymentTarget(name, t.address, domains[0], state, bornAt))
}

var bornAt = time.Now()

// serve runs a booking.
func (d *drainRun) serve(t *bookingTarget, c net.Conn, r rawserver.Request) bool {
	id := r.HeaderField(headerID)
	now := time.Now()
	d.mu.Lock()
	t.conns[c] = true
	if t.isDraining && id != "" {
		d.late[id] = now
	}
	d.mu.Unlock()
	d.record.add("target %s runs %s", t.id, id)
	time.Sleep(workTime)
	_, err := fmt.Fprint(c, platformtest.ResponseTo("200 OK", platformtest.SealLine, id))
	return err == nil
}

func (d *drainRun) play(trouble bool) (int, error) {
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { d.sendBookings(end) })
	time.Sleep(8 * time.Second)
	leaving, restarted := d.targets[0], d.fleet.routers[3]
	d.mu.Lock()
	leaving.isDraining = true
	d.mu.Unlock()
	d.register(leaving, bookingService, platformtest.StateDraining)
	d.mu.Lock()
	d.drained = time.Now()
	d.mu.Unlock()
	d.record.add("the store has accepted that %s is draining", leaving.id)
	time.Sleep(time.Second)
	if trouble {
		restarted.signal(syscall.SIGKILL)
		<-restarted.exited
		d.record.add("router %s is killed", restarted.name)
		time.Sleep(300 * time.Millisecond)
		if err := d.fleet.restart(restarted); err != nil {
			return exitUnable, err
		}
	}
	time.Sleep(serveTime)
	d.fleet.store.Remove(platformtest.KindTargets, leaving.id)
	d.end(leaving)
	time.Sleep(2 * time.Second)
	close(end)
	group.Wait()
	return d.judge(restarted)
}

// end ends a target that has served for long enough.
func (d *drainRun) end(t *bookingTarget) {
	t.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range t.conns {
		rawserver.Reset(c)
	}
	d.record.add("target %s has left", t.id)
}

func (d *drainRun) sendBookings(end <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(bookingPeriod)
	defer ticker.Stop()
	for n := 0; ; n++ {
		id, r := fmt.Sprintf("booking-%d", n), d.fleet.routers[n%len(d.fleet.routers)]
		d.mu.Lock()
		d.routers[id], d.sentAt[id] = r, time.Now()
		d.mu.Unlock()
		group.Go(func() { d.sendBooking(id, r) })
		select {
		case <-end:
			return
		case <-ticker.C:
		}
	}
}

func (d *drainRun) sendBooking(id string, r *router) {
	a := call(d.record, r.address, platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Host: host, Path: bookingPath, Key: key, Body: "12 coats", Deadline: 1500 * time.Millisecond,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[id] = a
}

// judge applies the rule: no request reaches the target later than drain_ms after the acknowledgement,
// sent by a machine in touch. Routers that were not restarted are in touch.
func (d *drainRun) judge(restarted *router) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached, lost, before := 0, 0, 0
	for id, at := range d.late {
		switch {
		case at.Before(d.drained.Add(drainTime)):
			before++
			continue
		case d.routers[id] == restarted:
			continue
		}
		reached++
		if !d.answers[id].whole || d.answers[id].status != http.StatusOK {
			lost++
		}
	}
	d.fleet.recordLogs("targets received from another router", 2)
	d.record.add("bookings that reached the target in the first %v: %d", drainTime, before)
	d.record.add("bookings that reached it later, sent by routers that were never disturbed: %d, of which %d got no whole answer",
		reached, lost)
	if len(d.answers) < 100 {
		return exitUnable, errors.New("too few bookings")
	}
	if reached > 0 {
		d.record.add("DRAIN is broken")
		return exitBroken, nil
	}
	d.record.add("DRAIN holds")
	return exitHeld, nil
}
