// Package configcheck checks a configuration before operators write it, and compares two. It
// does no I/O.
package configcheck

import (
	"cmp"
	"slices"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

const (
	// SeverityError is that of findings with which a configuration must not be used.
	SeverityError Severity = "error"
	// SeverityWarning is that of findings that are probably not what the operator wants.
	SeverityWarning Severity = "warning"
)

type (
	// Severity says how serious a finding is.
	Severity string

	// Finding is something that is wrong or doubtful in a configuration.
	Finding struct {
		Severity Severity `json:"severity"`
		// Code is stable, in kebab case.
		Code string `json:"code"`
		// Pointer is the JSON pointer of the place in the text, Line and Column start at 1.
		Pointer string `json:"pointer"`
		Line    int    `json:"line"`
		Column  int    `json:"column"`
		Text    string `json:"text"`
	}

	// Options holds what Check needs beside the configuration.
	Options struct {
		// Targets are the targets in the store; HasTargets is set if they are known.
		Targets    []*state.Target
		HasTargets bool
		// Earlier is the configuration that the checked one replaces, or nil.
		Earlier *platform.ConfigurationDocument
	}

	// Option changes an option of Check.
	Option func(*Options)

	// checker collects the findings about one document.
	checker struct {
		*platform.ConfigurationDocument
		opts     Options
		findings []Finding
	}
)

// WithTargets sets the targets that are in the store, so that services without any are found.
func WithTargets(targets []*state.Target) Option {
	return func(o *Options) { o.Targets, o.HasTargets = targets, true }
}

// WithEarlier sets the configuration that the checked one replaces, which must be decoded.
func WithEarlier(d *platform.ConfigurationDocument) Option {
	return func(o *Options) { o.Earlier = d }
}

// Check returns the findings about a configuration in the order of its text. At least one is an
// error if routers reject the configuration.
func Check(d *platform.ConfigurationDocument, opts ...Option) []Finding {
	c := &checker{ConfigurationDocument: d, findings: []Finding{}}
	for _, o := range opts {
		o(&c.opts)
	}
	c.checkText()
	if d.Configuration != nil {
		c.checkVersion()
		c.checkRoutes()
		c.checkServices()
		c.checkWorkspaces()
		c.checkLimits()
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.findings
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

func (c *checker) add(s Severity, code string, p platform.Place, text string) {
	c.findings = append(c.findings, Finding{
		Severity: s, Code: code, Pointer: p.Pointer, Line: p.Line, Column: p.Column, Text: text,
	})
}
