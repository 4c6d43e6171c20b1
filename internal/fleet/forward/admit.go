package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/platform"
)

// admit finds the call's route, workspace and service. If it returns false, an
// error response has been sent.
func (c *call) admit() bool {
	configuration := c.view.Configuration
	if configuration == nil {
		c.reject("no-configuration")
		return false
	}
	c.route = configuration.Route(hostName(c.request.Host), c.request.Path())
	if c.route == nil {
		c.respond(http.StatusNotFound, "no-route")
		return false
	}
	if configuration.Workspaces != nil && !c.route.Public {
		w, ok := configuration.Workspaces[c.headers.Key]
		if !ok {
			c.respond(http.StatusUnauthorized, "unknown-key")
			return false
		}
		c.workspace = w
	}
	c.parts = promptParts(c.route, c.headers)
	c.sharedParts = sharedHashes(c.parts)
	c.service = c.route.PickService(c.splitKey())
	return true
}

// splitKey returns the key that selects one of several services of a route. Calls
// with the same shared prompt have the same key.
func (c *call) splitKey() uint64 {
	if len(c.parts) > 1 {
		return c.parts[len(c.parts)-2].Hash
	}
	return xxhash.Sum64String(c.headers.ID)
}

// promptParts returns the parts of a call's prompt, or nil on routes without
// cache affinity.
func promptParts(route *state.Route, headers platform.CallHeaders) []affinity.Part {
	if !route.Sticky {
		return nil
	}
	parts := make([]affinity.Part, len(headers.Parts))
	for i, p := range headers.Parts {
		parts[i] = affinity.Part(p)
	}
	return parts
}

// awaitCacheIndex delays a call with a prompt while the router is still loading
// which targets have which prompt parts cached.
func (c *call) awaitCacheIndex(ctx context.Context) {
	if len(c.parts) == 0 {
		return
	}
	select {
	case <-c.h.CacheIndex.Restored():
		return
	default:
	}
	metrics.GetOrCreateCounter(`hickoryrock_calls_held_total{reason="caches-not-recalled"}`).Inc()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(cacheIndexWaitFraction*float64(c.route.LatencyObjective)))
	defer cancel()
	select {
	case <-c.h.CacheIndex.Restored():
	case <-ctx.Done():
	}
}

// hostName returns a Host header's value without the port.
func hostName(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		if host[i] == ':' {
			return host[:i]
		}
	}
	return host
}
