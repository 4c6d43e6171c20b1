// Package state holds what a router believes of the fleet: the configuration,
// the targets and the other routers. Values are immutable once published.
package state

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Configuration is one version of what operators ask for.
	Configuration struct {
		// Version rises with each change; a lower one is never taken.
		Version int64
		Routes  []Route
		// Services are the engines and plain services by name.
		Services map[string]Service
		Limits   Limits
		// Workspaces are by key; nil means that calls need no key.
		Workspaces map[string]Workspace

		hosts map[string][]*Route
	}

	// Route says what serves the calls to a path of a host.
	Route struct {
		Name   string
		Host   string
		Prefix string
		// Repeatable calls may run more than once.
		Repeatable bool
		// Streaming answers are a series of events.
		Streaming bool
		// Resumable streams may go on at another target; they are repeatable too.
		Resumable bool
		// Sticky calls carry a prompt whose parts targets keep in their caches.
		Sticky bool
		// Public calls need no key.
		Public bool
		// Timeout is the longest time that a call may stay without its final answer.
		Timeout time.Duration
		// Objective is the time to the answer, or to a stream's first event.
		Objective time.Duration
		// EventGap is the longest pause between events of a stream that is on time.
		EventGap time.Duration
		// Rank orders calls; 0 is the most urgent.
		Rank int
		// MaxAttempts is the number of targets that may run one call.
		MaxAttempts int
		Shares      []Share
	}

	// Share is the weight of a service in a route.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a group of targets that serve the same calls.
	Service struct {
		Name string
		// MaxConnections is what one target accepts from all routers together.
		MaxConnections int
		// Slots and CacheTokens describe an engine; zero for a plain service.
		Slots       int
		CacheTokens int
		// Fetch is set when engines can fetch from each other's caches.
		Fetch bool
	}

	// Limits bound what a caller may send and how long it may stay idle.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Workspace is the holder of a key.
	Workspace struct {
		Name string
		// Rank goes before the route's when HasRank is set.
		Rank    int
		HasRank bool
	}

	// Target is one incarnation of a server.
	Target struct {
		ID            string
		Service       string
		Address       string
		FailureDomain string
		Slots         int
		// Leaving targets get no new calls.
		Leaving bool
		// Born is when this incarnation started, in Unix milliseconds; zero when unknown.
		Born int64
		// Hash identifies the target in placement and between routers.
		Hash uint64
	}

	// Targets are the targets of the fleet as of a revision of the store.
	Targets struct {
		Revision uint64
		// Digest differs between sets of targets.
		Digest uint64
		// Listed is the revision of the last list of all targets that they come from.
		Listed    uint64
		ByService map[string][]*Target
	}

	// View is what one decision goes by.
	View struct {
		// Configuration is nil until the router knows one.
		Configuration *Configuration
		Targets       *Targets
	}
)

// Index prepares the configuration for lookups; it is called once before use.
func (c *Configuration) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Route returns the route with the longest prefix of a path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service picks a service of the route by weight; the same key picks the same service.
func (r *Route) Service(key uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(key % uint64(total))
	for _, s := range r.Shares {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}

// RunsOnce reports whether a call of the route must not run twice.
func (r *Route) RunsOnce() bool {
	return !r.Repeatable && !r.Resumable
}

// NewTargets groups targets by service, in an order that all routers share.
func NewTargets(targets []*Target) *Targets {
	t := &Targets{ByService: make(map[string][]*Target)}
	for _, target := range targets {
		// A restart under the same name holds nothing of what was before.
		target.Hash = xxhash.Sum64String(target.ID + "/" + strconv.FormatInt(target.Born, 10))
		t.ByService[target.Service] = append(t.ByService[target.Service], target)
	}
	for _, list := range t.ByService {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t
}

// Hashes returns the hashes of targets, in their order.
func Hashes(targets []*Target) []uint64 {
	hashes := make([]uint64, len(targets))
	for i, t := range targets {
		hashes[i] = t.Hash
	}
	return hashes
}

// Or returns the limits with those of other where none is set.
func (l Limits) Or(other Limits) Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = other.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = other.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = other.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = other.IdleTimeout
	}
	return l
}
