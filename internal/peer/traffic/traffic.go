// Package traffic counts the bytes of control traffic between routers, by purpose.
package traffic

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// Membership covers the failure detector's probes and updates.
	Membership Purpose = "membership"
	// LoadSums covers the reports and sums of load per service.
	LoadSums Purpose = "load-sums"
	// Permits covers permit requests to the owners of targets.
	Permits Purpose = "permits"
)

type (
	// Purpose is the use of control traffic; its value is a metric label.
	Purpose string

	// Counter counts the bytes of one purpose in both directions.
	Counter struct {
		Sent     *metrics.Counter
		Received *metrics.Counter
	}

	// conn counts the bytes read from and written to a connection.
	conn struct {
		net.Conn
		counter Counter
	}

	// listener counts the bytes of the connections that it accepts.
	listener struct {
		net.Listener
		counter Counter
	}
)

// NewCounter returns the counter of a purpose, registered in a metrics set.
func NewCounter(set *metrics.Set, p Purpose) Counter {
	name := func(direction string) string {
		return `hickoryrock_control_bytes_total{purpose="` + string(p) + `",direction="` + direction + `"}`
	}
	return Counter{
		Sent:     set.GetOrCreateCounter(name("sent")),
		Received: set.GetOrCreateCounter(name("received")),
	}
}

// Conn wraps a connection to count its bytes.
func (c Counter) Conn(nc net.Conn) net.Conn { return &conn{Conn: nc, counter: c} }

// Listener wraps a listener to count the bytes of its connections.
func (c Counter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, counter: c} }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Sent.Add(n)
	return n, err
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(nc), nil
}
