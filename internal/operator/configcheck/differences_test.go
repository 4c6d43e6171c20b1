package configcheck_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/configcheck"
	"hickoryrock/platform"
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
	const r2 = `{"name":"r2","host":"h.example","path_prefix":"/b/","route_kind":"non_idempotent","timeout_ms":1500,
 "backends":[{"service":"plain","weight":90},{"service":"chat","weight":10}],"max_attempts":1}`
	for _, test := range []struct {
		about string
		pairs []string
		want  []string
	}{
		{"none", nil, nil},
		{"only the order", []string{`["k1-secret","k2-secret"]`, `["k2-secret","k1-secret"]`}, nil},
		{"a default that is written", []string{`,"max_attempts":1`, ``}, nil},
		{"version", []string{`"version":7`, `"version":8`}, []string{"configuration: version 7 -> 8"}},
		{"timeout", []string{`4000`, `3000`}, []string{`route "r1": timeout 4s -> 3s`}},
		{"timeout removed", []string{`"timeout_ms":4000,`, ``}, []string{`route "r1": timeout 4s -> unset`}},
		{"several fields of a route", []string{`"/b/"`, `"/c/"`, `"timeout_ms":1500`, `"timeout_ms":1400,"public":true,"priority":2`},
			[]string{`route "r2": prefix "/b/" -> "/c/"`, `route "r2": timeout 1.5s -> 1.4s`, `route "r2": priority 0 -> 2`, `route "r2": public no -> yes`}},
		{"split", []string{`90`, `80`}, []string{`route "r2": services "plain" weight 90, "chat" weight 10 -> "plain" weight 80, "chat" weight 10`}},
		{"route removed", []string{",\n" + r2, ``}, []string{`route "r2": removed (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`}},
		{"route renamed", []string{`"r2"`, `"r0"`}, []string{
			`route "r0": added (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`,
			`route "r2": removed (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`}},
		{"two routes of one name", []string{`"r2"`, `"r1"`}, []string{
			`route "r1": added (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`,
			`route "r2": removed (host "h.example", prefix "/b/", services "plain" weight 90, "chat" weight 10)`}},
		{"service", []string{`360`, `400`, `"slots":64`, `"slots":128`, `"cold_per_s":20`, `"cold_per_s":2.5`},
			[]string{`service "chat": connections 360 -> 400`, `service "chat": slots 64 -> 128`, `service "plain": cold calls a second 20 -> 2.5`}},
		{"service added", []string{`{"name":"plain"`, `{"name":"new"},{"name":"plain"`}, []string{`service "new": added (plain)`}},
		{"fields that routers do not read", []string{`"/healthz"`, `"/ready"`, `"m"`, `"n"`, `"version":7`, `"version":7,"note":"x"`},
			[]string{`configuration: field "note" added; routers do not read it`, `service "chat": field "engine/models" changed; routers do not read it`,
				`service "plain": field "health_path" changed; routers do not read it`}},
		{"limits", []string{`16384`, `8192`, `"idle_timeout_ms":15000`, `"idle_timeout_ms":20000`},
			[]string{`limits: header bytes 16384 -> 8192`, `limits: idle timeout 15s -> 20s`}},
		{"keys", []string{`["k1-secret","k2-secret"]`, `["k2-secret","k4-secret","k5-secret"]`}, []string{`workspace "w1": API keys: 2 added, 1 removed`}},
		{"a key that changes its workspace", []string{`"k1-secret",`, ``, `["k3-secret"]`, `["k3-secret","k1-secret"]`},
			[]string{`workspace "w1": API keys: 1 removed`, `workspace "w2": API keys: 1 added`}},
		{"keys in a misspelled field", []string{`"api_keys":["k3-secret"]`, `"api_kyes":["k3-secret"]`},
			[]string{`workspace "w2": API keys: 1 removed`, `workspace "w2": field "api_kyes" added; routers do not read it`}},
		{"priority", []string{`,"priority":1`, ``}, []string{`workspace "w1": priority 1 -> unset`}},
		{"workspace removed", []string{`,{"name":"w2","api_keys":["k3-secret"]}`, ``}, []string{`workspace "w2": removed (1 API key)`}},
		{"no workspaces at all", []string{"\n" + sound[strings.Index(sound, `"tenants"`):], `"tenants":null}`}, []string{
			`configuration: calls need an API key yes -> no`, `workspace "w1": removed (2 API keys)`, `workspace "w2": removed (1 API key)`}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			got := compare(sound, change(c, test.pairs...))
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(strings.Join(got, " "), qt.Not(qt.Contains), "-secret")
		})
	}
}

// Guards against a change that routers never apply because of its version.
func TestVersionsThatAreNotHigher(t *testing.T) {
	earlier := configcheck.WithEarlier(platform.DecodeConfigurationDocument([]byte(sound)))
	for _, test := range []struct {
		about string
		pairs []string
		want  []string
	}{
		{"the same configuration", nil, nil},
		{"a higher version", []string{`"version":7`, `"version":8`, `4000`, `3000`}, nil},
		{"the same version", []string{`4000`, `3000`}, []string{"warning version-not-higher /version"}},
		{"a lower version", []string{`"version":7`, `"version":6`}, []string{"warning version-not-higher /version"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(findings(change(c, test.pairs...), earlier), qt.DeepEquals, test.want)
		})
	}
}
