package configcheck

import (
	"fmt"
	"strings"

	"hickoryrock/platform"
)

func (c *checker) checkRoutes() {
	checkNames(c, "route", c.Routes, func(r platform.RouteEntry) (string, platform.Entry) { return r.Name, r.Entry })
	for i, r := range c.Routes {
		c.checkMatch(i, r)
		c.checkKind(r)
		c.checkSplit(r)
		if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
			c.warnRoute(r, "timeout-below-objective", platform.FieldTimeout,
				"timeout %v is below the latency objective of %v", r.Timeout, r.LatencyObjective)
		}
		if r.MaxAttempts > 1 && r.AtMostOnce() {
			c.warnRoute(r, "attempts-of-at-most-once", platform.FieldMaxAttempts,
				"%d attempts have no effect, because its calls run at most once", r.MaxAttempts)
		}
	}
}

// checkMatch reports routes that no call or not the expected calls match. i is the index of r.
func (c *checker) checkMatch(i int, r platform.RouteEntry) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.errorRoute(r, "prefix-without-slash", platform.FieldPrefix, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	switch {
	case r.Host == "":
		c.warnRoute(r, "no-host", platform.FieldHost, "without a host, only calls with an empty one match")
	case strings.Contains(r.Host, ":"):
		c.warnRoute(r, "host-with-port", platform.FieldHost, "host %q never matches: routers remove the port from a call's host", r.Host)
	}
	winner := c.Configuration.Route(r.Host, r.Prefix)
	if winner == nil || winner == &c.Configuration.Routes[i] {
		return
	}
	c.warnRoute(r, "hidden-route", platform.FieldPrefix, "prefix %q of host %q is hidden by route %q, which has the same",
		r.Prefix, r.Host, winner.Name)
}

func (c *checker) checkKind(r platform.RouteEntry) {
	if !r.KnowsKind {
		c.warnRoute(r, "unknown-route-kind", platform.FieldKind, "kind %.80q is not known; its calls run at most once and are no streams", r.Kind)
	}
	if r.Resumable && !r.Streaming {
		c.warnRoute(r, "resumable-without-streams", platform.FieldResumable, "resumable has no effect, because its answers are no streams")
	}
}

// checkSplit reports services of a route that do not exist or that get no calls.
func (c *checker) checkSplit(r platform.RouteEntry) {
	total := 0
	for i, s := range r.Services {
		total += s.Weight
		if _, ok := c.Configuration.Services[s.Service]; !ok {
			c.add(SeverityError, "unknown-service", c.Place(r.ServicePointers[i], ""),
				fmt.Sprintf("route %q: service %q does not exist", r.Name, s.Service))
		}
	}
	switch {
	case len(r.Services) == 0:
		c.errorRoute(r, "no-service", platform.FieldService, "it has no service")
		return
	case total == 0:
		c.errorRoute(r, "zero-weights", platform.FieldServices, "the weights of its services add up to zero")
		return
	}
	for i, s := range r.Services {
		if s.Weight == 0 {
			c.add(SeverityWarning, "zero-weight", c.Place(r.ServicePointers[i], ""),
				fmt.Sprintf("route %q: service %q has weight 0 and gets no calls", r.Name, s.Service))
		}
	}
	if r.HasServiceBesideSplit {
		c.warnRoute(r, "service-beside-split", platform.FieldService,
			"service %q is added to the split with weight 1 of %d", r.Services[0].Service, total)
	}
}

func (c *checker) errorRoute(r platform.RouteEntry, code string, field platform.Field, format string, args ...any) {
	c.add(SeverityError, code, c.Place(r.Pointer, field), fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
}

func (c *checker) warnRoute(r platform.RouteEntry, code string, field platform.Field, format string, args ...any) {
	c.add(SeverityWarning, code, c.Place(r.Pointer, field), fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
}

// checkNames reports entries of a kind that have no name, or one that another has.
func checkNames[T any](c *checker, kind string, entries []T, identify func(T) (string, platform.Entry)) {
	first := make(map[string]platform.Place, len(entries))
	for _, e := range entries {
		name, entry := identify(e)
		place := c.Place(entry.Pointer, platform.FieldName)
		earlier, ok := first[name]
		switch {
		case name == "":
			c.add(SeverityWarning, "no-name", place, fmt.Sprintf("%s without a name", kind))
		case ok:
			c.add(SeverityError, "duplicate-name", place, fmt.Sprintf("%s %q: another %s has this name, in line %d", kind, name, kind, earlier.Line))
		default:
			first[name] = place
		}
	}
}
