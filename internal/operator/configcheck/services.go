package configcheck

import (
	"fmt"
	"strings"

	"hickoryrock/platform"
)

// minColdRate is the lowest rate of a cold target, in calls a second, that is not doubtful.
const minColdRate = 1

// targetCount counts the targets of a service.
type targetCount struct{ all, draining int }

func (c *checker) checkServices() {
	checkNames(c, "service", c.Services, func(s platform.ServiceEntry) (string, platform.Entry) { return s.Name, s.Entry })
	used := make(map[string]bool)
	for _, r := range c.Routes {
		for _, s := range r.Services {
			used[s.Service] = true
		}
	}
	targets := make(map[string]targetCount)
	for _, t := range c.opts.Targets {
		n := targets[t.Service]
		n.all++
		if t.Draining {
			n.draining++
		}
		targets[t.Service] = n
	}
	for _, s := range c.Services {
		if !used[s.Name] {
			c.warnService(s, "unused-service", platform.FieldName, "no route uses it")
		}
		if c.opts.HasTargets {
			c.checkTargets(s, targets[s.Name])
		}
		switch {
		case s.ColdRate > 0 && s.ColdRate < minColdRate:
			c.warnService(s, "cold-rate-below-one", platform.FieldColdRate, "cold targets get %g calls a second, which is less than one", s.ColdRate)
		case s.ColdTime > 0 && s.ColdRate == 0:
			c.warnService(s, "cold-time-without-rate", platform.FieldColdTime, "a cold time of %v has no effect without a rate for cold targets", s.ColdTime)
		}
	}
}

func (c *checker) checkTargets(s platform.ServiceEntry, n targetCount) {
	switch n.all {
	case 0:
		c.warnService(s, "no-targets", platform.FieldName, "none of the %d targets belongs to it", len(c.opts.Targets))
	case n.draining:
		c.warnService(s, "only-draining-targets", platform.FieldName, "all of its targets (%d) drain", n.all)
	}
}

func (c *checker) warnService(s platform.ServiceEntry, code string, field platform.Field, format string, args ...any) {
	c.add(SeverityWarning, code, c.Place(s.Pointer, field), fmt.Sprintf("service %q: ", s.Name)+fmt.Sprintf(format, args...))
}

func (c *checker) checkWorkspaces() {
	checkNames(c, "workspace", c.Workspaces, func(w platform.WorkspaceEntry) (string, platform.Entry) { return w.Name, w.Entry })
	if c.Configuration.Workspaces != nil && len(c.Workspaces) == 0 {
		c.add(SeverityWarning, "no-workspaces", c.WorkspacesPlace(), "calls need an API key, and there is no workspace that has one")
	}
	holders := make(map[string]int) // Key to the index of the first workspace with it.
	for i, w := range c.Workspaces {
		if len(w.Keys) == 0 {
			c.add(SeverityWarning, "workspace-without-keys", c.Place(w.Pointer, platform.FieldKeys),
				fmt.Sprintf("workspace %q: it has no API key, so that no call belongs to it", w.Name))
		}
		for j, key := range w.Keys {
			c.checkKey(w, i, j, key, holders)
		}
	}
}

// checkKey reports a key that must not be used. The findings never contain the key.
func (c *checker) checkKey(w platform.WorkspaceEntry, workspace, index int, key string, holders map[string]int) {
	place := c.KeyPlace(w, index)
	holder, ok := holders[key]
	switch {
	case key == "":
		c.add(SeverityError, "empty-api-key", place, fmt.Sprintf("workspace %q: an empty API key admits calls without a key", w.Name))
	case ok && holder != workspace:
		c.add(SeverityError, "shared-api-key", place, fmt.Sprintf(
			"workspace %q: workspace %q has the same API key", w.Name, c.Workspaces[holder].Name))
	case ok:
		c.add(SeverityWarning, "repeated-api-key", place, fmt.Sprintf("workspace %q: it lists this API key twice", w.Name))
	case strings.TrimSpace(key) != key:
		c.add(SeverityWarning, "unmatched-api-key", place, fmt.Sprintf(
			"workspace %q: no call has this API key, because it begins or ends with white space", w.Name))
	}
	if !ok {
		holders[key] = workspace
	}
}

func (c *checker) checkLimits() {
	l := c.Configuration.Limits
	if l.IdleTimeout < l.HeaderTimeout {
		c.add(SeverityWarning, "idle-timeout-below-header-timeout", c.Place(c.Limits.Pointer, platform.FieldIdleTimeout),
			fmt.Sprintf("limits: idle timeout %v is below header timeout %v", l.IdleTimeout, l.HeaderTimeout))
	}
	if l.BodyBytes < int64(l.HeaderBytes) {
		c.add(SeverityWarning, "body-limit-below-header-limit", c.Place(c.Limits.Pointer, platform.FieldBodyBytes),
			fmt.Sprintf("limits: %d bytes of body are fewer than %d bytes of header", l.BodyBytes, l.HeaderBytes))
	}
}
