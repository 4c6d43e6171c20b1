package http1client

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// CloseExpired closes the connections that have been idle for too long. Those to a target that
// has left are not used again, but occupy a descriptor.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if now.Before(c.expires) {
				return false
			}
			_ = c.Close() // Idle: no call is lost.
			return true
		})
		p.idle[key] = list
		if len(list) == 0 {
			delete(p.idle, key)
		}
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(e Endpoint) {
	p.mu.Lock()
	list := p.idle[e.Key]
	delete(p.idle, e.Key)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // Idle: no call is lost.
	}
}

func (p *Pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, key)
	}
}

// popIdle returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// isIdle reports whether an idle connection is open and has no unread data:
// unsolicited bytes belong to no call.
func (c *conn) isIdle() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
