package storewatch_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/platform/platformtest"
)

// deepObject returns an object that is nested more deeply than encoding/json decodes.
func deepObject(name string) string {
	return string(platformtest.Entry(name, strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)))
}

// Guards against a router that follows no more changes once the store holds an entry that
// encoding/json rejects.
func TestChangesAreFollowedBesideOddEntries(t *testing.T) {
	for name, set := range map[string]func(s *platformtest.Store, kind string){
		"nested": func(s *platformtest.Store, kind string) { s.SetRaw(kind, "odd", deepObject("odd")) },
		"number": func(s *platformtest.Store, kind string) { s.Set(kind, "odd", `{"slots":Infinity}`) },
		"null":   func(s *platformtest.Store, kind string) { s.SetRaw(kind, "odd", "null") },
	} {
		t.Run("listed: "+name, func(t *testing.T) {
			store := platformtest.NewStore()
			set(store, platformtest.KindTargets)
			set(store, platformtest.KindConfigurations)
			f := newFixtureWithStore(t, true, store)
			f.assertFollows()
		})
		t.Run("watched: "+name, func(t *testing.T) {
			f := newFixture(t, true)
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
			f.eventually("the first configuration", func() bool { return f.version() == 1 })
			set(f.store, platformtest.KindTargets)
			set(f.store, platformtest.KindConfigurations)
			f.assertFollows()
		})
	}
}

// assertFollows checks that changes of targets and of the configuration are applied.
func (f *fixture) assertFollows() {
	f.Helper()
	f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
	f.eventually("a target", func() bool { return f.ready() == 1 })
	f.store.Remove(platformtest.KindTargets, "i-1")
	f.store.Set(platformtest.KindTargets, "i-2", target("ready"))
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(2))
	f.eventually("configuration 2 and the other target", func() bool {
		return f.version() == 2 && f.ready() == 1 && f.View().Targets.ByService["s"][0].ID == "i-2"
	})
}

// Guards against a configuration that cannot be read and takes the last one out of force, or
// hides the next.
func TestOddConfigurationKeepsTheLast(t *testing.T) {
	routes := `"routes":[{"name":"r","host":"h","path_prefix":"/","service":"s","timeout_ms":`
	for name, spec := range map[string]string{
		"nested":     `{"version":2,"routes":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		"extra":      `{"version":2,"x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,` + routes + `1}]}`,
		"number":     `{"version":2,` + routes + `1e999}]}`,
		"not JSON":   `{"version":2,` + routes + `NaN}]}`,
		"text":       `{"version":2,` + routes + `"NaN"}]}`,
		"version":    `{"version":1e30,` + routes + `1}]}`,
		"no routes":  `{"version":2,"routes":[]}`,
		"null":       `null`,
		"not a spec": `"text"`,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, true)
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(1))
			f.eventually("configuration 1", func() bool { return f.version() == 1 })
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, spec)
			f.store.Set(platformtest.KindTargets, "i-1", target("ready"))
			f.eventually("a target", func() bool { return f.ready() == 1 })
			f.Assert(f.version(), qt.Equals, int64(1))
			f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, platformtest.Configuration(3))
			f.eventually("configuration 3", func() bool { return f.version() == 3 })
		})
	}
}
