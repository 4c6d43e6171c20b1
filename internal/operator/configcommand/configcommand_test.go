package configcommand

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/command"
	"hickoryrock/platform/platformtest"
)

const (
	sound    = platformtest.CommandSound
	doubtful = platformtest.CommandWarned
	faulty   = platformtest.CommandFaulty
)

// harness runs the command with files in a directory.
type harness struct {
	*qt.C
	dir string
}

func newHarness(t *testing.T) harness {
	h := harness{C: qt.New(t), dir: t.TempDir()}
	for name, text := range map[string]string{"sound": sound, "doubtful": doubtful, "faulty": faulty, "broken": `{"version":`} {
		h.write(name, text)
	}
	return h
}

func (h harness) write(name, text string) {
	h.Assert(os.WriteFile(h.path(name), []byte(text), 0o600), qt.IsNil)
}

func (h harness) path(name string) string { return filepath.Join(h.dir, name) }

func (h harness) run(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errs strings.Builder
	env := command.Env{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	code = command.Dispatch(context.Background(), Commands(), env, append([]string{"check-configuration"}, args...))
	h.Assert(out.String()+errs.String(), qt.Not(qt.Contains), "-secret")
	return code, out.String(), errs.String()
}

// Guards against scripts that take a faulty configuration for a valid one.
func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		about, stdin string
		args         []string
		code         int
		stdout       string
	}{
		{"valid", "", []string{"DIR/sound"}, 0, "version 7: no errors, no warnings\n"},
		{"standard input", sound, []string{"-"}, 0, "version 7: no errors, no warnings\n"},
		{"an object of the store", `{"metadata":{"name":"main"},"spec":` + sound + `}`, []string{"-"}, 0, "version 7: no errors, no warnings\n"},
		{"warnings", doubtful, []string{"-"}, 1, `-:2:34: warning: service "spare": no route uses it (unused-service at "/services/1/name")
version 8: no errors, 1 warning
`},
		{"errors", faulty, []string{"-"}, 3, `-:1:61: error: route "x": prefix "a" does not begin and end with a slash (prefix-without-slash at "` +
			platformtest.CommandFaultyPlace + `")
version 8: 1 error, no warnings
`},
		{"not JSON", `{"version":`, []string{"-"}, 3, `-:1:11: error: unexpected end of JSON input (syntax at "")
- cannot be decoded: 1 error; nothing else was checked
`},
		{"differences", doubtful, []string{"-against", "DIR/sound", "-"}, 1,
			`-:2:34: warning: service "spare": no route uses it (unused-service at "/services/1/name")
version 8: no errors, 1 warning
4 differences from version 7
  configuration: version 7 -> 8
  route "x": timeout 4s -> 3s
  service "spare": added (plain)
  workspace "w": API keys: 1 added, 1 removed
`},
		{"no differences, flags last", sound, []string{"-", "-against", "DIR/sound"}, 0,
			"version 7: no errors, no warnings\nno differences from version 7\n"},
		{"compared with standard input", sound, []string{"DIR/sound", "-against", "-"}, 0,
			"version 7: no errors, no warnings\nno differences from version 7\n"},
		{"compared with one that has errors", sound, []string{"-", "-against=DIR/faulty"}, 1, `-:1:12: warning: version 7: routers with version 8 ` +
			`never apply the differences from it (version-not-higher at "/version")
version 7: no errors, 1 warning
5 differences from version 8
  configuration: version 8 -> 7
  configuration: calls need an API key no -> yes
  route "x": prefix "a" -> "/a/"
  route "x": timeout unset -> 4s
  workspace "w": added (1 API key)
`},
	} {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t)
			args := append([]string{}, test.args...)
			for i, arg := range args {
				args[i] = strings.ReplaceAll(arg, "DIR", h.dir)
			}
			code, stdout, stderr := h.run(test.stdin, args...)
			h.Assert(stderr, qt.Equals, "")
			h.Assert(stdout, qt.Equals, test.stdout)
			h.Assert(code, qt.Equals, test.code)
		})
	}
}

// Guards against command lines that are carried out in part.
func TestUsageErrors(t *testing.T) {
	for _, test := range []struct {
		about  string
		args   []string
		stderr string
	}{
		{"no file", nil, "usage: hickoryrock check-configuration FILE"},
		{"two files", []string{"DIR/sound", "DIR/sound"}, "usage: hickoryrock check-configuration FILE"},
		{"unknown flag", []string{"DIR/sound", "-fix"}, "not defined: -fix"},
		{"help", []string{"-h"}, "usage: hickoryrock check-configuration FILE"},
		{"a file that does not exist", []string{"DIR/none"}, "no such file"},
		{"a directory", []string{"DIR"}, "is a directory"},
		{"comparison with a file that does not exist", []string{"DIR/sound", "-against", "DIR/none"}, "no such file"},
		{"comparison with what cannot be decoded", []string{"DIR/sound", "-against", "DIR/broken"}, "cannot be decoded"},
		{"a version without store", []string{"DIR/sound", "-against", "7"}, "needs -store IP:PORT"},
		{"a store without version", []string{"DIR/sound", "-store", "127.0.0.1:1"}, "-store is only used with"},
		{"a store and a file", []string{"DIR/sound", "-store", "127.0.0.1:1", "-against", "DIR/sound"}, "-store is only used with"},
		{"standard input twice", []string{"-", "-against", "-"}, "only one file"},
		{"targets that are no list", []string{"DIR/sound", "-targets", "DIR/sound"}, "neither an array"},
		{"a store that cannot be reached", []string{"DIR/sound", "-against", "7", "-store", "127.0.0.1:1"}, "read the configuration in the store"},
	} {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t)
			var args []string
			for _, arg := range test.args {
				args = append(args, strings.ReplaceAll(arg, "DIR", h.dir))
			}
			code, stdout, stderr := h.run(sound, args...)
			h.Assert(code, qt.Equals, command.ExitUsage)
			h.Assert(stdout, qt.Equals, "")
			h.Assert(stderr, qt.Contains, test.stderr)
		})
	}
}

// Guards against a comparison with another version than the operator names, and against writes.
func TestComparisonWithTheStore(t *testing.T) {
	h := newHarness(t)
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	h.Run("without a configuration", func(c *qt.C) {
		code, _, stderr := h.run("", h.path("doubtful"), "-against", "7", "-store", address)
		c.Assert(code, qt.Equals, command.ExitUsage)
		c.Assert(stderr, qt.Contains, "the store has no configuration")
	})
	store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, sound)
	revision, calls := store.Revision(), store.Calls()
	h.Run("version in the store", func(c *qt.C) {
		code, stdout, stderr := h.run("", h.path("doubtful"), "-against", "7", "-store", address)
		c.Assert(stderr, qt.Equals, "")
		c.Assert(code, qt.Equals, ExitWarnings)
		c.Assert(stdout, qt.Contains, "4 differences from version 7\n")
		c.Assert(store.Calls(), qt.Equals, calls+1)
	})
	h.Run("another version", func(c *qt.C) {
		code, stdout, stderr := h.run("", h.path("doubtful"), "-against", "6", "-store", address)
		c.Assert(code, qt.Equals, command.ExitUsage)
		c.Assert(stdout, qt.Equals, "")
		c.Assert(stderr, qt.Equals, "check-configuration: the store has version 7, not 6\n")
	})
	h.Assert(store.Revision(), qt.Equals, revision)
	store.Fail(503)
	h.Run("store fails", func(c *qt.C) {
		code, _, stderr := h.run("", h.path("doubtful"), "-against", "7", "-store", address)
		c.Assert(code, qt.Equals, command.ExitUsage)
		c.Assert(stderr, qt.Contains, "503")
	})
}

// Guards against entries of targets that are taken for targets that can be called.
func TestListsOfTargets(t *testing.T) {
	usable := string(platformtest.Entry("i-1", platformtest.Target("10.0.0.1:80", "ready", 17)))
	deleted := strings.Replace(usable, `"name":`, `"deleting":true,"name":`, 1)
	unusable := string(platformtest.Entry("i-2", `{"service":"s"}`))
	for _, test := range []struct {
		about, list string
		code        int
		stderr      string
	}{
		{"usable", `{"entries":[` + usable + `],"has_more":false}`, 0, ""},
		{"array", `[` + usable + `]`, 0, ""},
		{"unusable", `[` + unusable + `]`, ExitWarnings, "1 of 1 entries of"},
		{"unusable beside usable", `[` + unusable + `,` + usable + `]`, 0, "1 of 2 entries of"},
		{"deleted", `[` + deleted + `]`, ExitWarnings, ""},
	} {
		t.Run(test.about, func(t *testing.T) {
			h := newHarness(t)
			h.write("targets", test.list)
			code, stdout, stderr := h.run("", h.path("sound"), "-targets", h.path("targets"))
			h.Assert(code, qt.Equals, test.code, qt.Commentf("%s%s", stdout, stderr))
			h.Assert(strings.Contains(stdout, "no-targets"), qt.Equals, test.code == ExitWarnings)
			h.Assert(stderr, qt.Contains, test.stderr)
			h.Assert(stderr == "", qt.Equals, test.stderr == "")
		})
	}
}

// Guards against JSON that other programs cannot rely on.
func TestJSON(t *testing.T) {
	decode := func(h harness, code int, stdin string, args ...string) map[string]any {
		got, stdout, stderr := h.run(stdin, append(args, "-json")...)
		h.Assert(got, qt.Equals, code, qt.Commentf("%s", stderr))
		var out map[string]any
		h.Assert(json.Unmarshal([]byte(stdout), &out), qt.IsNil)
		return out
	}
	t.Run("valid", func(t *testing.T) {
		h := newHarness(t)
		h.Assert(decode(h, 0, sound, "-"), qt.DeepEquals, map[string]any{
			"version": 7.0, "errors": 0.0, "warnings": 0.0, "findings": []any{},
		})
	})
	t.Run("findings and differences", func(t *testing.T) {
		h := newHarness(t)
		out := decode(h, ExitWarnings, doubtful, "-", "-against", h.path("sound"))
		h.Assert(out["against"], qt.Equals, 7.0)
		h.Assert(out["findings"], qt.DeepEquals, []any{map[string]any{
			"severity": "warning", "code": "unused-service", "pointer": "/services/1/name", "line": 2.0, "column": 34.0,
			"text": `service "spare": no route uses it`,
		}})
		h.Assert(out["changes"].([]any)[1], qt.DeepEquals, any(map[string]any{
			"entry": "route", "name": "x", "change": "changed", "field": "timeout", "from": "4s", "to": "3s", "text": `route "x": timeout 4s -> 3s`,
		}))
	})
	t.Run("no differences", func(t *testing.T) {
		h := newHarness(t)
		out := decode(h, 0, sound, "-", "-against", h.path("sound"))
		h.Assert(out["changes"], qt.DeepEquals, []any{})
	})
	t.Run("cannot be decoded", func(t *testing.T) {
		h := newHarness(t)
		out := decode(h, ExitErrors, "{", "-", "-against", h.path("sound"))
		_, hasChanges := out["changes"]
		h.Assert(hasChanges, qt.IsFalse)
		h.Assert(out["errors"], qt.Equals, 1.0)
	})
}

// brokenPipe is a stream that fails.
type brokenPipe struct{}

func (brokenPipe) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }
func (brokenPipe) Read([]byte) (int, error)  { return 0, errors.New("broken pipe") }

// Guards against success although nothing was read or printed.
func TestStreamsThatFail(t *testing.T) {
	for _, test := range []struct {
		about string
		env   command.Env
	}{
		{"output", command.Env{Stdin: strings.NewReader(sound), Stdout: brokenPipe{}}},
		{"input", command.Env{Stdin: brokenPipe{}, Stdout: io.Discard}},
	} {
		t.Run(test.about, func(t *testing.T) {
			var stderr strings.Builder
			test.env.Stderr = &stderr
			qt.Assert(t, run(context.Background(), test.env, []string{"-"}), qt.Equals, command.ExitUsage)
			qt.Assert(t, stderr.String(), qt.Contains, "broken pipe")
		})
	}
}
