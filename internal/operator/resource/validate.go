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
	v := &validator{}
	v.name("name", s.Name)
	switch s.Protocol {
	case ProtocolChat:
		v.model("spec.model", s.Model)
		v.check(len(s.Methods) == 0, "spec.methods", len(s.Methods), "none, for a chat service")
		v.check(len(s.Targets) == 0, "spec.targets", len(s.Targets), "none, for a chat service: its engines belong to model deployments")
	case ProtocolPlain:
		v.check(s.Model == "", "spec.model", s.Model, "empty, for a plain service")
		v.methods(s.Methods)
		v.targets(s.Targets)
	default:
		v.check(false, "spec.protocol", string(s.Protocol), "chat or plain")
	}
	return v.err(s.Key())
}

// Validate implements Resource.
func (d *ModelDeployment) Validate() error {
	v := &validator{}
	v.name("name", d.Name)
	v.name("spec.service", d.Service)
	v.model("spec.model", d.Model)
	v.model("spec.version", d.Version)
	v.targets(d.Targets)
	return v.err(d.Key())
}

// Validate implements Resource.
func (w *Workspace) Validate() error {
	v := &validator{}
	v.name("name", w.Name)
	sum, err := hex.DecodeString(w.TokenSHA256)
	v.check(err == nil && len(sum) == 32, "spec.token-sha256", w.TokenSHA256, "64 hexadecimal digits")
	v.check(len(w.Services) > 0, "spec.services", len(w.Services), "at least one service")
	seen := map[string]bool{}
	for i, s := range w.Services {
		path := fmt.Sprintf("spec.services[%d]", i)
		v.name(path, s)
		v.check(!seen[s], path, s, allowedUnique)
		seen[s] = true
	}
	v.check(w.Priority >= 0 && w.Priority <= MaxPriority, "spec.priority", w.Priority, "0 to 9")
	v.count("spec.max-in-flight", w.MaxInFlight)
	if w.TimeZone != "" {
		_, err := time.LoadLocation(w.TimeZone)
		v.check(err == nil && w.TimeZone != "Local", "spec.time-zone", w.TimeZone, "an IANA time zone such as Europe/Copenhagen")
	}
	v.duration("spec.late-after", w.LateAfter)
	return v.err(w.Key())
}

// Validate implements Resource.
func (p *TrafficPolicy) Validate() error {
	v := &validator{}
	v.name("name", p.Name)
	v.name("spec.service", p.Service)
	// The comparisons are written so that NaN fails them.
	validBound := p.LoadBound == 0 || p.LoadBound > 1 && p.LoadBound <= MaxLoadBound
	v.check(validBound, "spec.load-bound", p.LoadBound, "above 1 to 10, or 0 for the default")
	v.count("spec.load-floor", p.LoadFloor)
	v.count("spec.max-in-flight", p.MaxInFlight)
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.Shares)) {
		share := p.Shares[name]
		path := "spec.shares." + name
		v.name(path, name)
		v.check(share >= 0 && share <= MaxCount, path, share, allowedCount)
		total += share
	}
	v.check(len(p.Shares) == 0 || total > 0, "spec.shares", total, "a sum above 0")
	v.check(p.RetryBudget >= 0 && p.RetryBudget <= 1, "spec.retry-budget", p.RetryBudget, "0 to 1")
	v.duration("spec.silence-timeout", p.SilenceTimeout)
	return v.err(p.Key())
}

func (v *validator) name(path, s string) {
	v.check(namePattern.MatchString(s), path, s, allowedName)
}

func (v *validator) model(path, s string) {
	v.check(len(s) <= maxModelLength && modelPattern.MatchString(s), path, s, allowedModel)
}

func (v *validator) count(path string, n int) {
	v.check(n >= 0 && n <= MaxCount, path, n, allowedCount)
}

func (v *validator) duration(path string, d Duration) {
	valid := d == 0 || time.Duration(d) >= time.Millisecond && time.Duration(d) <= MaxTimeout
	v.check(valid, path, time.Duration(d), "1ms to 10m")
}

func (v *validator) methods(methods []Method) {
	n := len(methods)
	v.check(n > 0 && n <= MaxMethods, "spec.methods", n, "1 to 256 methods")
	seen := map[string]bool{}
	for i, m := range methods {
		path := fmt.Sprintf("spec.methods[%d]", i)
		v.name(path+".name", m.Name)
		v.check(!seen[m.Name], path+".name", m.Name, allowedUnique)
		seen[m.Name] = true
		validSemantics := m.Semantics == Idempotent || m.Semantics == AtMostOnce
		v.check(validSemantics, path+".semantics", string(m.Semantics), "idempotent or at-most-once")
		v.duration(path+".timeout", m.Timeout)
	}
}

func (v *validator) targets(targets []Target) {
	n := len(targets)
	v.check(n > 0 && n <= MaxTargets, "spec.targets", n, "1 to 6000 targets")
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, t := range targets {
		path := fmt.Sprintf("spec.targets[%d]", i)
		v.name(path+".name", t.Name)
		v.check(!names[t.Name], path+".name", t.Name, allowedUnique)
		names[t.Name] = true
		a, err := netip.ParseAddrPort(t.Address)
		v.check(err == nil && a.Port() > 0 && !a.Addr().IsUnspecified(), path+".address", t.Address, "IP:port")
		v.check(!addresses[t.Address], path+".address", t.Address, "an address that occurs once")
		addresses[t.Address] = true
		v.name(path+".failure-domain", t.FailureDomain)
		validWeight := t.Weight >= 0 && t.Weight <= MaxWeight && !math.IsInf(t.Weight, 0)
		v.check(validWeight, path+".weight", t.Weight, "0 to 100; 0 counts as 1")
	}
}
