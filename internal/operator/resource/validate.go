package resource

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

const (
	// MaxTargets bounds the targets of one resource, so that the resource stays
	// within the platform's limit of 1 MiB per object.
	MaxTargets = 6000
	// MaxMethods bounds the methods of one service.
	MaxMethods = 256
	// MaxTimeout bounds the timeout of one call.
	MaxTimeout = 10 * time.Minute
	// MaxPriority is the highest priority of a workspace.
	MaxPriority = 9
	// MaxLoadBound is the highest load bound, as a multiple of the mean load.
	MaxLoadBound = 10.0
	// MaxWeight is the highest relative speed of a target.
	MaxWeight = 100.0
	// MaxCount bounds limits that count requests or load units, and traffic shares.
	MaxCount = 1_000_000

	maxModelLength = 128
	allowedName    = "1 to 63 of a-z, 0-9 and -, with a letter or digit at both ends"
	allowedModel   = "1 to 128 printable characters without spaces"
	allowedCount   = "0 to 1000000"
	allowedUnique  = "a name that occurs once"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[!-~]+$`)
)

// Validate implements Resource.
func (s *Service) Validate() error {
	c := &validator{}
	c.name("name", s.Name)
	switch s.Protocol {
	case ProtocolChat:
		c.model("spec.model", s.Model)
		c.check(len(s.Methods) == 0, "spec.methods", len(s.Methods), "none, for a chat service")
		c.check(len(s.Targets) == 0, "spec.targets", len(s.Targets), "none, for a chat service: its engines belong to model deployments")
	case ProtocolPlain:
		c.check(s.Model == "", "spec.model", s.Model, "empty, for a plain service")
		c.methods(s.Methods)
		c.targets(s.Targets)
	default:
		c.check(false, "spec.protocol", string(s.Protocol), "chat or plain")
	}
	return c.err(s.Key())
}

// Validate implements Resource.
func (d *ModelDeployment) Validate() error {
	c := &validator{}
	c.name("name", d.Name)
	c.name("spec.service", d.Service)
	c.model("spec.model", d.Model)
	c.model("spec.version", d.Version)
	c.targets(d.Targets)
	return c.err(d.Key())
}

// Validate implements Resource.
func (w *Workspace) Validate() error {
	c := &validator{}
	c.name("name", w.Name)
	sum, err := hex.DecodeString(w.TokenSHA256)
	c.check(err == nil && len(sum) == 32, "spec.token-sha256", w.TokenSHA256, "64 hexadecimal digits")
	c.check(len(w.Services) > 0, "spec.services", len(w.Services), "at least one service")
	seen := map[string]bool{}
	for i, s := range w.Services {
		path := fmt.Sprintf("spec.services[%d]", i)
		c.name(path, s)
		c.check(!seen[s], path, s, allowedUnique)
		seen[s] = true
	}
	c.check(w.Priority >= 0 && w.Priority <= MaxPriority, "spec.priority", w.Priority, "0 to 9")
	c.count("spec.max-in-flight", w.MaxInFlight)
	if w.TimeZone != "" {
		_, err := time.LoadLocation(w.TimeZone)
		c.check(err == nil && w.TimeZone != "Local", "spec.time-zone", w.TimeZone, "an IANA time zone such as Europe/Copenhagen")
	}
	c.duration("spec.late-after", w.LateAfter)
	return c.err(w.Key())
}

// Validate implements Resource.
func (p *TrafficPolicy) Validate() error {
	c := &validator{}
	c.name("name", p.Name)
	c.name("spec.service", p.Service)
	// The comparisons are written so that NaN fails them.
	validBound := p.LoadBound == 0 || p.LoadBound > 1 && p.LoadBound <= MaxLoadBound
	c.check(validBound, "spec.load-bound", p.LoadBound, "above 1 to 10, or 0 for the default")
	c.count("spec.load-floor", p.LoadFloor)
	c.count("spec.max-in-flight", p.MaxInFlight)
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.Shares)) {
		share := p.Shares[name]
		path := "spec.shares." + name
		c.name(path, name)
		c.check(share >= 0 && share <= MaxCount, path, share, allowedCount)
		total += share
	}
	c.check(len(p.Shares) == 0 || total > 0, "spec.shares", total, "a sum above 0")
	c.check(p.RetryBudget >= 0 && p.RetryBudget <= 1, "spec.retry-budget", p.RetryBudget, "0 to 1")
	c.duration("spec.silence-timeout", p.SilenceTimeout)
	return c.err(p.Key())
}

func (c *validator) name(path, s string) {
	c.check(namePattern.MatchString(s), path, s, allowedName)
}

func (c *validator) model(path, s string) {
	c.check(len(s) <= maxModelLength && modelPattern.MatchString(s), path, s, allowedModel)
}

func (c *validator) count(path string, n int) {
	c.check(n >= 0 && n <= MaxCount, path, n, allowedCount)
}

func (c *validator) duration(path string, d Duration) {
	valid := d == 0 || time.Duration(d) >= time.Millisecond && time.Duration(d) <= MaxTimeout
	c.check(valid, path, time.Duration(d), "1ms to 10m")
}

func (c *validator) methods(methods []Method) {
	n := len(methods)
	c.check(n > 0 && n <= MaxMethods, "spec.methods", n, "1 to 256 methods")
	seen := map[string]bool{}
	for i, m := range methods {
		path := fmt.Sprintf("spec.methods[%d]", i)
		c.name(path+".name", m.Name)
		c.check(!seen[m.Name], path+".name", m.Name, allowedUnique)
		seen[m.Name] = true
		validSemantics := m.Semantics == Idempotent || m.Semantics == AtMostOnce
		c.check(validSemantics, path+".semantics", string(m.Semantics), "idempotent or at-most-once")
		c.duration(path+".timeout", m.Timeout)
	}
}

func (c *validator) targets(targets []Target) {
	n := len(targets)
	c.check(n > 0 && n <= MaxTargets, "spec.targets", n, "1 to 6000 targets")
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, t := range targets {
		path := fmt.Sprintf("spec.targets[%d]", i)
		c.name(path+".name", t.Name)
		c.check(!names[t.Name], path+".name", t.Name, allowedUnique)
		names[t.Name] = true
		a, err := netip.ParseAddrPort(t.Address)
		c.check(err == nil && a.Port() > 0 && !a.Addr().IsUnspecified(), path+".address", t.Address, "IP:port")
		c.check(!addresses[t.Address], path+".address", t.Address, "an address that occurs once")
		addresses[t.Address] = true
		c.name(path+".failure-domain", t.FailureDomain)
		validWeight := t.Weight >= 0 && t.Weight <= MaxWeight && !math.IsInf(t.Weight, 0)
		c.check(validWeight, path+".weight", t.Weight, "0 to 100; 0 counts as 1")
	}
}
