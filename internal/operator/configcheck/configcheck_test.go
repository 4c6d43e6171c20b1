package configcheck_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/operator/configcheck"
	"hickoryrock/platform"
)

// sound is a configuration without findings.
const sound = `{"version":7,"routes":[
{"name":"r1","host":"h.example","path_prefix":"/a/","route_kind":"streaming","timeout_ms":4000,"slo_ms":500,
 "service":"chat","max_attempts":2,"sticky":true,"resumable":true,"itl_target_ms":250},
{"name":"r2","host":"h.example","path_prefix":"/b/","route_kind":"non_idempotent","timeout_ms":1500,
 "backends":[{"service":"plain","weight":90},{"service":"chat","weight":10}],"max_attempts":1}],
"services":[{"name":"chat","max_connections":360,"engine":{"slots":64,"kv_capacity":1000,"models":[{"name":"m"}]}},
{"name":"plain","health_path":"/healthz","cold_start_s":3,"cold_per_s":20}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"w1","api_keys":["k1-secret","k2-secret"],"priority":1},{"name":"w2","api_keys":["k3-secret"]}]}`

// change replaces one part of the sound configuration, which must be there.
func change(c *qt.C, pairs ...string) string {
	c.Helper()
	text := sound
	for i := 0; i < len(pairs); i += 2 {
		c.Assert(strings.Count(text, pairs[i]), qt.Equals, 1, qt.Commentf("%s", pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// findings returns severity, code and pointer of each finding.
func findings(text string, opts ...configcheck.Option) []string {
	var got []string
	for _, f := range configcheck.Check(platform.DecodeConfigurationDocument([]byte(text)), opts...) {
		got = append(got, fmt.Sprintf("%s %s %s", f.Severity, f.Code, f.Pointer))
	}
	return got
}

// Guards against faults that are not found, and findings about sound configurations.
func TestFindings(t *testing.T) {
	for _, test := range []struct {
		about string
		pairs []string // What to replace, and by what.
		want  []string
	}{
		{"sound", nil, nil},
		{"not JSON", []string{`{"version":7,`, `{"version":`}, []string{"error syntax "}},
		{"wrong type", []string{`"version":7`, `"version":"7"`}, []string{"error wrong-type /version"}},
		{"version too large", []string{`"version":7`, `"version":9007199254740993`}, []string{"error rejected "}},
		{"no version", []string{`"version":7,`, ``}, []string{"warning no-version "}},
		{"unknown field", []string{`"sticky":true`, `"sticky":true,"color":"red"`}, []string{"warning unknown-field /routes/0/color"}},
		{"misspelled field", []string{`"sticky":`, `"stikcy":`}, []string{"error misspelled-field /routes/0/stikcy"}},
		{"duplicate field", []string{`"sticky":true`, `"sticky":true,"sticky":false`}, []string{"error duplicate-key /routes/0/sticky"}},
		{"negative number", []string{`"itl_target_ms":250`, `"itl_target_ms":-250`}, []string{"warning negative-number /routes/0/itl_target_ms"}},
		{"hidden route", []string{`"/b/"`, `"/a/"`}, []string{"warning hidden-route /routes/1/path_prefix"}},
		{"same prefix of another host", []string{"h.example\",\"path_prefix\":\"/b/\"", "i.example\",\"path_prefix\":\"/a/\""}, nil},
		{"prefix without a first slash", []string{`"/b/"`, `"b/"`}, []string{"error prefix-without-slash /routes/1/path_prefix"}},
		{"prefix without a last slash", []string{`"/b/"`, `"/b"`}, []string{"error prefix-without-slash /routes/1/path_prefix"}},
		{"the prefix of a slash", []string{`"/b/"`, `"/"`}, nil},
		{"no prefix", []string{`"path_prefix":"/b/",`, ``}, []string{"error prefix-without-slash /routes/1"}},
		{"no host", []string{`"host":"h.example","path_prefix":"/b/"`, `"path_prefix":"/b/"`}, []string{"warning no-host /routes/1"}},
		{"host with port", []string{`"h.example","path_prefix":"/b/"`, `"h.example:80","path_prefix":"/b/"`}, []string{"warning host-with-port /routes/1/host"}},
		{"unknown service", []string{`"service":"plain"`, `"service":"plan"`},
			[]string{"error unknown-service /routes/1/backends/0", "warning unused-service /services/1/name"}},
		{"no service", []string{`"service":"chat","max_attempts":2`, `"max_attempts":2`}, []string{"error no-service /routes/0"}},
		{"weights of zero", []string{`90`, `0`, `"weight":10}`, `"weight":-10}`},
			[]string{"error zero-weights /routes/1/backends", "warning negative-number /routes/1/backends/1/weight"}},
		{"a weight of zero", []string{`90`, `0`}, []string{"warning zero-weight /routes/1/backends/0"}},
		{"a service beside a split", []string{`"backends"`, `"service":"plain","backends"`}, []string{"warning service-beside-split /routes/1/service"}},
		{"timeout below objective", []string{`"slo_ms":500`, `"slo_ms":5000`}, []string{"warning timeout-below-objective /routes/0/timeout_ms"}},
		{"timeout of the objective", []string{`"slo_ms":500`, `"slo_ms":4000`}, nil},
		{"objective without timeout", []string{`"timeout_ms":4000,`, ``}, nil},
		{"several attempts at most once", []string{`"max_attempts":1`, `"max_attempts":2`}, []string{"warning attempts-of-at-most-once /routes/1/max_attempts"}},
		{"unknown kind", []string{`"non_idempotent"`, `"once"`}, []string{"warning unknown-route-kind /routes/1/route_kind"}},
		{"resumable without streams", []string{`"streaming"`, `"idempotent"`}, []string{"warning resumable-without-streams /routes/0/resumable"}},
		{"duplicate route", []string{`"name":"r2"`, `"name":"r1"`}, []string{"error duplicate-name /routes/1/name"}},
		{"duplicate service", []string{`{"name":"plain",`, `{"name":"chat"},{"name":"plain",`}, []string{"error duplicate-name /services/1/name"}},
		{"duplicate workspace", []string{`"w2"`, `"w1"`}, []string{"error duplicate-name /tenants/1/name"}},
		{"no name", []string{`"name":"w2",`, ``}, []string{"warning no-name /tenants/1"}},
		{"unused service", []string{`{"name":"plain",`, `{"name":"spare"},{"name":"plain",`}, []string{"warning unused-service /services/1/name"}},
		{"cold rate below one", []string{`"cold_per_s":20`, `"cold_per_s":0.5`}, []string{"warning cold-rate-below-one /services/1/cold_per_s"}},
		{"cold rate of one", []string{`"cold_per_s":20`, `"cold_per_s":1`}, nil},
		{"cold time without rate", []string{`,"cold_per_s":20`, ``}, []string{"warning cold-time-without-rate /services/1/cold_start_s"}},
		{"cold rate without time", []string{`"cold_start_s":3,`, ``}, nil},
		{"shared key", []string{`"k3-secret"`, `"k1-secret"`}, []string{"error shared-api-key /tenants/1/api_keys/0"}},
		{"repeated key", []string{`"k2-secret"`, `"k1-secret"`}, []string{"warning repeated-api-key /tenants/0/api_keys/1"}},
		{"empty key", []string{`"k3-secret"`, `""`}, []string{"error empty-api-key /tenants/1/api_keys/0"}},
		{"key with a space", []string{`"k3-secret"`, `"k3-secret "`}, []string{"warning unmatched-api-key /tenants/1/api_keys/0"}},
		{"workspace without keys", []string{`["k3-secret"]`, `[]`}, []string{"warning workspace-without-keys /tenants/1/api_keys"}},
		{"no workspaces", []string{sound[strings.Index(sound, `"tenants"`):], `"tenants":[]}`}, []string{"warning no-workspaces /tenants"}},
		{"idle below header timeout", []string{`"idle_timeout_ms":15000`, `"idle_timeout_ms":2000`},
			[]string{"warning idle-timeout-below-header-timeout /limits/idle_timeout_ms"}},
		{"default idle timeout below header timeout", []string{`3000,"idle_timeout_ms":15000`, `16000`}, []string{"warning idle-timeout-below-header-timeout /limits"}},
		{"body below header limit", []string{`4194304`, `16383`}, []string{"warning body-limit-below-header-limit /limits/max_body_bytes"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			text := change(c, test.pairs...)
			c.Assert(findings(text), qt.DeepEquals, test.want)
			object := `{"metadata":{"name":"main"},"spec":` + text + `}`
			got := configcheck.Check(platform.DecodeConfigurationDocument([]byte(object)))
			c.Assert(got, qt.HasLen, len(test.want))
			for i, f := range got {
				c.Check(strings.HasPrefix(f.Pointer, "/spec") || f.Code == "syntax", qt.IsTrue, qt.Commentf("%s", f.Pointer))
				c.Check(f.Text, qt.Not(qt.Contains), "-secret")
				c.Check(test.want[i], qt.Contains, f.Code)
			}
		})
	}
	t.Run("no routes", func(t *testing.T) {
		qt.Assert(t, findings(`{"version":7,"routes":[]}`), qt.DeepEquals, []string{"error rejected "})
	})
}

// Guards against sentences that do not name what they are about.
func TestSentences(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`"/b/"`, `"/a/"`, `route "r2": prefix "/a/" of host "h.example" is hidden by route "r1", which has the same`},
		{`"slo_ms":500`, `"slo_ms":5000`, `route "r1": timeout 4s is below the latency objective of 5s`},
		{`"k3-secret"`, `"k1-secret"`, `workspace "w2": workspace "w1" has the same API key`},
		{`"w2"`, `"w1"`, `workspace "w1": another workspace has this name, in line 9`},
		{`"sticky":`, `"stikcy":`, `field "stikcy" is not known and has no effect; is "sticky" meant?`},
		{`"version":7`, `"version":[]`, `the value is a list; an integer without exponent that fits 64 bits is needed`},
	} {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			got := configcheck.Check(platform.DecodeConfigurationDocument([]byte(change(c, test.from, test.to))))
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].Text, qt.Equals, test.want)
		})
	}
}

// Guards against a route that is named as hidden although it is the one that routers choose: with
// many routes of one host, that is not always the first.
func TestHiddenRoutesAreThoseThatRoutersDoNotChoose(t *testing.T) {
	c := qt.New(t)
	var list []string
	for i := range 60 {
		list = append(list, fmt.Sprintf(`{"name":"r%d","host":"h","path_prefix":"/p%d/","route_kind":"idempotent","service":"s"}`, i, i%30))
	}
	d := platform.DecodeConfigurationDocument([]byte(`{"version":1,"routes":[` + strings.Join(list, ",") + `],"services":[{"name":"s"}]}`))
	hidden := map[string]bool{}
	for _, f := range configcheck.Check(d) {
		c.Assert(f.Code, qt.Equals, "hidden-route")
		hidden[f.Pointer] = true
	}
	c.Assert(hidden, qt.HasLen, 30)
	for i := range 60 {
		chosen := d.Configuration.Route("h", fmt.Sprintf("/p%d/x", i%30)).Name
		c.Assert(hidden[fmt.Sprintf("/routes/%d/path_prefix", i)], qt.Equals, chosen != fmt.Sprintf("r%d", i), qt.Commentf("%d", i))
	}
}

// Guards against services without targets that are not noticed, and against findings about them
// without a list.
func TestFindingsAboutTargets(t *testing.T) {
	for _, test := range []struct {
		about   string
		targets []*state.Target
		want    []string
	}{
		{"all have some", []*state.Target{{Service: "chat"}, {Service: "plain"}, {Service: "plain", Draining: true}}, nil},
		{"one has none", []*state.Target{{Service: "chat"}, {Service: "other"}}, []string{"warning no-targets /services/1/name"}},
		{"one has only draining ones", []*state.Target{{Service: "chat"}, {Service: "plain", Draining: true}},
			[]string{"warning only-draining-targets /services/1/name"}},
		{"empty list", nil, []string{"warning no-targets /services/0/name", "warning no-targets /services/1/name"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			qt.Assert(t, findings(sound, configcheck.WithTargets(test.targets)), qt.DeepEquals, test.want)
		})
	}
}

// FuzzCheck guards against texts that make the checks panic, and against a configuration that is
// called sound although routers reject it.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		sound, strings.Replace(sound, `"version":7`, `"version":9007199254740993`, 1), `{"version":7,"routes":[]}`, `{"spec":` + sound + `}`, `{"routes":[{"name":"r"}]}`, `{"routes":[null],"spec":{}}`, `null`, `[]`, `{"a":`,
		`{"version":1e3,"Routes":[{}],"routes":[{}]}`, `{"spec":{"spec":{}},"spec":null}`, `{"spec":{"routes":[{}]},"Spec":{}}`, "{\"\xff\":[]}",
		`{"routes":[{"backends":[{"weight":9223372036854775807},{"weight":-1}]},null]}`, strings.Repeat("[", 11_000),
		`{"routes":[{}],"services":[{"engine":{"models":{"a":[1e400]}}}],"tenants":[{"api_keys":[null]}]}`,
	} {
		f.Add([]byte(seed))
	}
	base := platform.DecodeConfigurationDocument([]byte(sound))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := platform.DecodeConfigurationDocument(data)
		got := configcheck.Check(d, configcheck.WithTargets(nil))
		if d.Configuration != nil {
			configcheck.Compare(base, d)
			configcheck.Compare(d, base)
			if changes := configcheck.Compare(d, d); len(changes) > 0 {
				t.Fatalf("differences from itself: %v", changes)
			}
		}
		_, rejection := platform.DecodeConfiguration(d.Spec)
		if (rejection == nil) != (d.Rejection == nil) {
			t.Fatalf("%q: routers: %v, check: %v", data, rejection, d.Rejection)
		}
		if configcheck.Count(got, configcheck.SeverityError) > 0 {
			return
		}
		if rejection != nil {
			t.Fatalf("%q is called sound and rejected: %v", data, rejection)
		}
		var object struct{ Spec json.RawMessage }
		if _, err := platform.DecodeConfiguration(data); err != nil && (json.Unmarshal(data, &object) != nil || string(object.Spec) != string(d.Spec)) {
			t.Fatalf("%q is called sound, and neither it nor its spec is what routers decode: %v", data, err)
		}
	})
}
