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
	v := &validator{}
	v.name("name", s.Name)
	v.name("failure-domain", s.FailureDomain)
	v.address("listen.callers", s.Listen.Callers)
	v.address("listen.peers", s.Listen.Peers)
	v.address("listen.admin", s.Listen.Admin)
	v.urls("platform.addresses", s.Platform.Addresses)
	v.duration("platform.timeout", s.Platform.Timeout, 100*time.Millisecond, time.Minute)
	v.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	v.oneOf("log.format", s.Log.Format, "json", "console")
	v.callers(s.Callers)
	v.duration("peers.probe-interval", s.Peers.ProbeInterval, 50*time.Millisecond, 10*time.Second)
	v.integer("peers.control-bytes-per-second", int64(s.Peers.ControlBytesPerSecond), 1_000, 10_000_000)
	v.duration("peers.permit-timeout", s.Peers.PermitTimeout, 10*time.Millisecond, 5*time.Second)
	v.duration("peers.isolation-timeout", s.Peers.IsolationTimeout, time.Second, time.Hour)
	v.duration("claims.window", s.Claims.Window, time.Minute, 7*24*time.Hour)
	v.duration("drain.timeout", s.Drain.Timeout, 0, 24*time.Hour)
	return v.problems
}

func (v *validator) callers(s Callers) {
	v.duration("callers.keep-address", s.KeepAddress, time.Second, time.Hour)
	v.integer("callers.max-body-bytes", s.MaxBodyBytes, 1<<10, 64<<20)
	v.integer("callers.max-header-bytes", int64(s.MaxHeaderBytes), 1<<10, 1<<20)
	v.duration("callers.header-timeout", s.HeaderTimeout, 100*time.Millisecond, time.Minute)
	v.duration("callers.body-timeout", s.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	v.integer("callers.max-in-flight", int64(s.MaxInFlight), 1, 1_000_000)
}

func (v *validator) add(field, given, allowed string) {
	v.problems = append(v.problems, Problem{Field: field, Given: given, Allowed: allowed})
}

func (v *validator) name(field, value string) {
	if !namePattern.MatchString(value) {
		v.add(field, value, "1 to 63 of a-z, 0-9 and -")
	}
}

func (v *validator) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.add(field, value, "IP:port")
	}
}

func (v *validator) urls(field string, list []string) {
	if len(list) == 0 {
		v.add(field, "", "one or more of http://IP:port or https://IP:port")
	}
	for _, value := range list {
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			v.add(field, value, "http://IP:port or https://IP:port")
		}
	}
}

func (v *validator) duration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		v.add(field, value.String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (v *validator) integer(field string, value, low, high int64) {
	if value < low || value > high {
		v.add(field, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	v.add(field, value, strings.Join(allowed, ", "))
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
