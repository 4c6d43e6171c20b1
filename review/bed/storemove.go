package main

import (
	"syscall"
	"time"
)

const (
	// moveCalm is the time between the move of the store and the next configuration, in which
	// the routers are in touch again.
	moveCalm = contactTime + 3*time.Second
)

// runStoreMove moves the platform's store to another address, which the routers' settings name
// from then on, and then moves a route to another service.
func runStoreMove(b *bed, trouble bool) (bool, error) {
	services, err := b.addBookingServices()
	if err != nil {
		return false, err
	}
	address, stop, err := b.serveStore(b.store)
	if err != nil {
		return false, err
	}
	b.cleanups = append(b.cleanups, stop)
	first := b.storeAddress
	b.storeAddress = address
	if err := b.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if trouble {
		for _, r := range b.routers {
			r.writeSettings(first, false)
			r.signal(syscall.SIGHUP)
		}
		stop()
		b.logf("the store has moved from %s to %s; the settings are changed and SIGHUP is sent", address, first)
	}
	time.Sleep(moveCalm)
	b.configure(2, []string{key}, services, bookingRoute(serviceNew))
	return b.judgeMove(b.routers, time.Now()), nil
}
