package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/node/settings"
)

const valid = `name: router-1
failure-domain: jylland-1
listen:
  callers: 127.0.0.1:8101
  peers: 127.0.0.1:8201
  admin: 127.0.0.1:8301
platform:
  addresses: [http://127.0.0.1:7000]
`

func assertProblem(c *qt.C, text, want string) {
	c.Helper()
	_, err := settings.Parse("router.yaml", []byte(text))
	c.Assert(err, qt.ErrorMatches, want)
}

func TestParse(t *testing.T) {
	c := qt.New(t)

	c.Run("omitted fields have defaults", func(c *qt.C) {
		s, err := settings.Parse("router.yaml", []byte(valid))
		c.Assert(err, qt.IsNil)
		c.Assert(s.Name, qt.Equals, "router-1")
		c.Assert(s.Callers.KeepAddress, qt.Equals, 15*time.Second)
	})

	c.Run("unknown field", func(c *qt.C) {
		assertProblem(c, valid+"colour: red\n", `router.yaml:9: colour: unknown field; allowed: .*`)
	})

	c.Run("wrong type", func(c *qt.C) {
		assertProblem(c, valid+"callers:\n  max-in-flight: many\n", `(?s)router.yaml:10: many: .*`)
	})

	c.Run("out of range", func(c *qt.C) {
		assertProblem(c, valid+"callers:\n  keep-address: 2h\n",
			`router.yaml:10: callers.keep-address: 2h0m0s; allowed: 1s to 1h0m0s`)
	})

	c.Run("missing", func(c *qt.C) {
		assertProblem(c, valid[len("name: router-1\n"):], `router.yaml: name: missing; allowed: .*`)
	})

	c.Run("value outside the enumeration", func(c *qt.C) {
		assertProblem(c, valid+"log: {level: loud}\n", `router.yaml:9: log.level: loud; allowed: debug, info, warn, error`)
	})

	c.Run("a tag without a value", func(c *qt.C) {
		assertProblem(c, "platform:\n  addresses: !000 #0", `(?s)router.yaml.*`)
	})

	c.Run("broken YAML", func(c *qt.C) {
		assertProblem(c, "name: [", `(?s)router.yaml.*`)
	})
}

func TestLoad(t *testing.T) {
	c := qt.New(t)

	c.Run("file", func(c *qt.C) {
		path := filepath.Join(c.TempDir(), "router.yaml")
		c.Assert(os.WriteFile(path, []byte(valid), 0o600), qt.IsNil)
		_, err := settings.Load(path)
		c.Assert(err, qt.IsNil)
	})

	c.Run("no file", func(c *qt.C) {
		_, err := settings.Load(filepath.Join(c.TempDir(), "none.yaml"))
		c.Assert(err, qt.ErrorMatches, `.*a readable file`)
	})
}
