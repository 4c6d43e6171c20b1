package configcheck_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/configcheck"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// compare returns the texts of the differences.
func compare(from, to string) []string {
	var texts []string
	for _, c := range configcheck.Compare(platform.DecodeConfigurationDocument([]byte(from)), platform.DecodeConfigurationDocument([]byte(to))) {
		texts = append(texts, c.Text)
	}
	return texts
}

// Guards against differences that are not shown, or not in words.
func TestDifferences(t *testing.T) {
	changes := platformtest.ConfigurationChanges()
	for _, test := range []struct {
		about string
		want  []string // With %q for each place.
	}{
		{"only the order", nil},
		{"a default that is written", nil},
		{"version", []string{"configuration: version 7 -> 8"}},
		{"timeout", []string{`route "r1": timeout 4s -> 3s`}},
		{"timeout removed", []string{`route "r1": timeout 4s -> unset`}},
		{"several fields of a route", []string{`route "r2": prefix "/b/" -> "/c/"`, `route "r2": timeout 1.5s -> 1.4s`, `route "r2": priority 0 -> 2`, `route "r2": public no -> yes`}},
		{"split", []string{`route "r2": services "plain" weight 90, "chat" weight 10 -> "plain" weight 80, "chat" weight 10`}},
		{"route removed", []string{`route "r2": removed (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`}},
		{"route renamed", []string{`route "r0": added (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`, `route "r2": removed (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`}},
		{"two routes of one name", []string{`route "r1": added (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`, `route "r2": removed (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`}},
		{"service", []string{`service "chat": connections 360 -> 400`, `service "chat": slots 64 -> 128`, `service "plain": cold calls a second 20 -> 2.5`}},
		{"service added", []string{`service "new": added (plain)`}},
		{"fields that routers do not read", []string{`configuration: field %q added; routers do not read it`, `service "chat": field %q changed; routers do not read it`, `service "plain": field %q changed; routers do not read it`}},
		{"limits", []string{`limits: header bytes 16384 -> 8192`, `limits: idle timeout 15s -> 20s`}},
		{"keys", []string{`workspace "w1": API keys: 2 added, 1 removed`}},
		{"a key that changes its workspace", []string{`workspace "w1": API keys: 1 removed`, `workspace "w2": API keys: 1 added`}},
		{"keys in a misspelled field", []string{`workspace "w2": API keys: 1 removed`, `workspace "w2": field %q added; routers do not read it`}},
		{"priority", []string{`workspace "w1": priority 1 -> unset`}},
		{"workspace removed", []string{`workspace "w2": removed (1 API key)`}},
		{"no workspaces at all", []string{`configuration: calls need an API key yes -> no`, `workspace "w1": removed (2 API keys)`, `workspace "w2": removed (1 API key)`}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			changed, ok := changes[test.about]
			c.Assert(ok, qt.IsTrue)
			delete(changes, test.about)
			var places []any
			for _, place := range changed.Places {
				places = append(places, place)
			}
			got := strings.Join(compare(platformtest.SoundConfiguration, change(c, changed.Pairs...)), "\n")
			c.Assert(got, qt.Equals, fmt.Sprintf(strings.Join(test.want, "\n"), places...))
			c.Assert(got, qt.Not(qt.Contains), "-secret")
		})
	}
	t.Run("none", func(t *testing.T) {
		qt.Assert(t, compare(platformtest.SoundConfiguration, platformtest.SoundConfiguration), qt.HasLen, 0)
	})
	t.Run("all changes", func(t *testing.T) { qt.Assert(t, changes, qt.HasLen, 0) })
}

// Guards against a change that routers never apply because of its version.
func TestVersionsThatAreNotHigher(t *testing.T) {
	earlier := configcheck.WithEarlier(platform.DecodeConfigurationDocument([]byte(platformtest.SoundConfiguration)))
	changes := platformtest.VersionChanges()
	for _, test := range []struct {
		about string
		want  []string // Severities and codes.
	}{
		{"the same configuration", nil},
		{"a higher version", nil},
		{"the same version", []string{"warning version-not-higher"}},
		{"a lower version", []string{"warning version-not-higher"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			changed := changes[test.about]
			c.Assert(findings(change(c, changed.Pairs...), earlier), qt.DeepEquals, located(c, test.want, changed))
		})
	}
}
