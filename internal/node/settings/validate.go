package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

type (
	// Problem is one invalid field.
	Problem struct {
		// Field is the path of the field, such as listen.callers.
		Field string
		// Line is the field's line in the file, or 0 when the field is absent.
		Line int
		// Given is the value in the file, or "" when the field is absent.
		Given string
		// Allowed describes the values that the field may hold.
		Allowed string
	}

	// Error lists all problems of a settings file.
	Error struct {
		File     string
		Problems []Problem
	}

	validator struct {
		problems []Problem
	}
)

// Error implements error; it returns one line per problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.format(e.File))
	}
	return strings.Join(lines, "\n")
}

func (p Problem) format(file string) string {
	location := file
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", file, p.Line)
	}
	if p.Given == "" {
		return fmt.Sprintf("%s: %s: missing; allowed: %s", location, p.Field, p.Allowed)
	}
	return fmt.Sprintf("%s: %s: %s; allowed: %s", location, p.Field, p.Given, p.Allowed)
}

// newSyntaxError converts a decoder error to an Error with the line of the fault, if known.
func newSyntaxError(file string, err error) error {
	p := Problem{Field: "settings", Given: err.Error(), Allowed: "a mapping of the documented fields"}
	var unknown *yaml.UnknownFieldError
	var located yaml.Error
	if errors.As(err, &located) {
		p.Given = located.GetMessage()
		if token := located.GetToken(); token != nil {
			p.Line = token.Position.Line
			p.Field = token.Value
		}
	}
	if errors.As(err, &unknown) {
		p.Given = "unknown field"
		p.Allowed = "a documented field; see docs/OPERATORS.md"
	}
	return &Error{File: file, Problems: []Problem{p}}
}

// validate returns the fields whose values are missing or out of range.
func validate(s Settings) []Problem {
	c := &validator{}
	c.name("name", s.Name)
	c.name("failure-domain", s.FailureDomain)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.admin", s.Listen.Admin)
	c.urls("platform.addresses", s.Platform.Addresses)
	c.duration("platform.timeout", s.Platform.Timeout, 100*time.Millisecond, time.Minute)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "console")
	c.callers(s.Callers)
	c.duration("peers.probe-interval", s.Peers.ProbeInterval, 50*time.Millisecond, 10*time.Second)
	c.integer("peers.control-bytes-per-second", int64(s.Peers.ControlBytesPerSecond), 1_000, 10_000_000)
	c.duration("peers.permit-timeout", s.Peers.PermitTimeout, 10*time.Millisecond, 5*time.Second)
	c.duration("peers.isolation-timeout", s.Peers.IsolationTimeout, time.Second, time.Hour)
	c.duration("claims.window", s.Claims.Window, time.Minute, 7*24*time.Hour)
	c.duration("drain.timeout", s.Drain.Timeout, 0, 24*time.Hour)
	return c.problems
}

func (c *validator) callers(s Callers) {
	c.duration("callers.keep-address", s.KeepAddress, time.Second, time.Hour)
	c.integer("callers.max-body-bytes", s.MaxBodyBytes, 1<<10, 64<<20)
	c.integer("callers.max-header-bytes", int64(s.MaxHeaderBytes), 1<<10, 1<<20)
	c.duration("callers.header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.duration("callers.body-timeout", s.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	c.integer("callers.max-in-flight", int64(s.MaxInFlight), 1, 1_000_000)
}

func (c *validator) add(field, given, allowed string) {
	c.problems = append(c.problems, Problem{Field: field, Given: given, Allowed: allowed})
}

func (c *validator) name(field, v string) {
	if !namePattern.MatchString(v) {
		c.add(field, v, "1 to 63 of a-z, 0-9 and -")
	}
}

func (c *validator) address(field, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(field, v, "IP:port")
	}
}

func (c *validator) urls(field string, list []string) {
	if len(list) == 0 {
		c.add(field, "", "one or more of http://IP:port or https://IP:port")
	}
	for _, v := range list {
		u, err := url.Parse(v)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.add(field, v, "http://IP:port or https://IP:port")
		}
	}
}

func (c *validator) duration(field string, v, low, high time.Duration) {
	if v < low || v > high {
		c.add(field, v.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (c *validator) integer(field string, v, low, high int64) {
	if v < low || v > high {
		c.add(field, fmt.Sprint(v), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *validator) oneOf(field, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	c.add(field, v, strings.Join(allowed, ", "))
}

// setLines sets the line numbers of problems whose fields are present in the file.
func setLines(data []byte, problems []Problem) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return
	}
	for i := range problems {
		path, err := yaml.PathString("$." + problems[i].Field)
		if err != nil {
			continue
		}
		node, err := path.FilterFile(file)
		if err != nil || node == nil {
			continue
		}
		problems[i].Line = node.GetToken().Position.Line
	}
}
