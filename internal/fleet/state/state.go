// Package state defines a router's view of the fleet: the configuration and
// the targets. Values are immutable once published.
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
	// Configuration is one version of the operators' configuration.
	Configuration struct {
		// Version increases with each change; a lower one is never applied.
		Version int64
		Routes  []Route
		// Services holds the engines and plain services by name.
		Services map[string]Service
		Limits   Limits
		// Workspaces is indexed by API key; nil means that calls need no key.
		Workspaces map[string]Workspace

		routesByHost map[string][]*Route
	}

	// Route maps a host and a path prefix to the services that handle its calls.
	Route struct {
		Name   string
		Host   string
		Prefix string
		// Idempotent is set when a call may execute more than once.
		Idempotent bool
		// Streaming is set when responses are server-sent event streams.
		Streaming bool
		// Resumable is set when a stream can be resumed on another target, so
		// that its call may also execute more than once.
		Resumable bool
		// Sticky is set when calls carry a prompt whose parts targets cache.
		Sticky bool
		// Public is set when calls need no API key.
		Public bool
		// Timeout bounds the time until a call's response is complete.
		Timeout time.Duration
		// LatencyObjective is the objective for the time to the response, or to a
		// stream's first event.
		LatencyObjective time.Duration
		// MaxEventGap is the objective for the time between two events of a stream.
		MaxEventGap time.Duration
		// Priority orders calls; 0 is the most urgent.
		Priority int
		// MaxAttempts is the number of targets that may execute one call.
		MaxAttempts int
		Services    []WeightedService
	}

	// WeightedService is a service of a route and its share of the route's calls.
	WeightedService struct {
		Service string
		Weight  int
	}

	// Service is a group of targets that handle the same calls.
	Service struct {
		Name string
		// MaxConnections is the number of connections that one target accepts from
		// all routers together.
		MaxConnections int
		// Slots is the number of calls that an engine runs at once, CacheTokens the
		// capacity of its prompt cache; both are zero for a plain service.
		Slots       int
		CacheTokens int
		// CacheTransfer is set when engines can fetch prompt parts from each other's
		// caches.
		CacheTransfer bool
		// ColdTime is how long a target is cold after its start, ColdRate the calls a second
		// that a cold one bears. Zero means that the service has no such targets.
		ColdTime time.Duration
		ColdRate float64
	}

	// Limits bound the size of a caller's requests and the time to receive them.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Workspace is the customer that an API key belongs to.
	Workspace struct {
		Name string
		// Priority overrides the route's when HasPriority is set.
		Priority    int
		HasPriority bool
	}

	// Target is one incarnation of a server.
	Target struct {
		ID            string
		Service       string
		Address       string
		FailureDomain string
		Slots         int
		// Draining is set while the target drains, or is known to have left, and must get no
		// new calls.
		Draining bool
		// Leaving is set when this incarnation has said in an answer that it leaves, which it
		// never takes back. Draining is then set, too.
		Leaving bool
		// Evacuated is set while operators have evacuated the target's failure domain, since
		// EvacuatedAt as far as this router knows.
		Evacuated   bool
		EvacuatedAt time.Time
		// ColdLeft is how long the target stays cold as of its entry, which was received at
		// ReceivedAt; valid when HasCold is set.
		ColdLeft   time.Duration
		HasCold    bool
		ReceivedAt time.Time
		// StartUnixMilli is the start time of this incarnation in Unix milliseconds;
		// zero when unknown.
		StartUnixMilli int64
		// Hash identifies this incarnation in placement and between routers.
		Hash uint64
	}

	// Targets is the set of the fleet's targets as of a revision of the store.
	Targets struct {
		Revision Revision
		// Digest is a checksum of the entries, by which routers compare their sets.
		Digest uint64
		// ListRevision is the revision of the last full list that this set is based on, in
		// the same era as Revision.
		ListRevision Revision
		ByService    map[string][]*Target
	}

	// View is a consistent pair of configuration and targets to decide by.
	View struct {
		// Configuration is nil until the router has received one.
		Configuration *Configuration
		Targets       *Targets
	}
)

// Index builds the table that Route searches; call it once before use.
func (c *Configuration) Index() {
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Route returns the route of the host with the longest prefix of path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns the name of a service of the route, chosen by weight. The
// same key always selects the same service. It returns "" when the weights add
// up to zero.
func (r *Route) PickService(key uint64) string {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(key % uint64(total))
	for _, s := range r.Services {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Service
		}
	}
	return ""
}

// AtMostOnce reports whether a call of the route must not execute twice.
func (r *Route) AtMostOnce() bool {
	return !r.Idempotent && !r.Resumable
}

// NewTargets sets the hash of each target and groups the targets by service,
// sorted by ID so that all routers have the same order.
func NewTargets(targets []*Target) *Targets {
	t := &Targets{ByService: make(map[string][]*Target)}
	for _, target := range targets {
		target.Hash = target.Incarnation()
		t.ByService[target.Service] = append(t.ByService[target.Service], target)
	}
	for _, list := range t.ByService {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t
}

// Name returns the ID of the target with a hash, or the hash if it is not listed.
func (t *Targets) Name(hash uint64) string {
	for _, list := range t.ByService {
		for _, target := range list {
			if target.Hash == hash {
				return target.ID
			}
		}
	}
	return strconv.FormatUint(hash, 16)
}

// Incarnation returns the hash that identifies this incarnation. It includes the start time:
// a target that restarts under the same name has lost its cache and state.
func (t *Target) Incarnation() uint64 {
	return xxhash.Sum64String(t.ID + "/" + strconv.FormatInt(t.StartUnixMilli, 10))
}

// Hashes returns the hashes of targets, in the same order.
func Hashes(targets []*Target) []uint64 {
	hashes := make([]uint64, len(targets))
	for i, t := range targets {
		hashes[i] = t.Hash
	}
	return hashes
}

// WithDefaults returns the limits with unset ones taken from defaults.
func (l Limits) WithDefaults(defaults Limits) Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaults.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaults.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}
