package configcheck_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/operator/configcheck"
	"hickoryrock/platform"
	"hickoryrock/platform/platformtest"
)

// change replaces one part of platformtest.SoundConfiguration, which must be there.
func change(c *qt.C, pairs ...string) string {
	c.Helper()
	text := platformtest.SoundConfiguration
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

// located adds the places that a change concerns to severities and codes of findings.
func located(c *qt.C, codes []string, change platformtest.Change) []string {
	c.Helper()
	c.Assert(change.Places, qt.HasLen, len(codes))
	var want []string
	for i, code := range codes {
		want = append(want, code+" "+change.Places[i])
	}
	return want
}

// Guards against faults that are not found, and findings about sound configurations.
func TestFindings(t *testing.T) {
	faults := platformtest.ConfigurationFaults()
	for _, test := range []struct {
		about string
		want  []string // Severities and codes.
	}{
		{"not JSON", []string{"error syntax"}},
		{"wrong type", []string{"error wrong-type"}},
		{"list for a version", []string{"error wrong-type"}},
		{"version too large", []string{"error rejected"}},
		{"no version", []string{"warning no-version"}},
		{"unknown field", []string{"warning unknown-field"}},
		{"misspelled field", []string{"error misspelled-field"}},
		{"duplicate field", []string{"error duplicate-key"}},
		{"negative number", []string{"warning negative-number"}},
		{"hidden route", []string{"warning hidden-route"}},
		{"same prefix of another host", nil},
		{"prefix without a first slash", []string{"error prefix-without-slash"}},
		{"prefix without a last slash", []string{"error prefix-without-slash"}},
		{"the prefix of a slash", nil},
		{"no prefix", []string{"error prefix-without-slash"}},
		{"no host", []string{"warning no-host"}},
		{"host with port", []string{"warning host-with-port"}},
		{"unknown service", []string{"error unknown-service", "warning unused-service"}},
		{"no service", []string{"error no-service"}},
		{"weights of zero", []string{"error zero-weights", "warning negative-number"}},
		{"a weight of zero", []string{"warning zero-weight"}},
		{"a service beside a split", []string{"warning service-beside-split"}},
		{"timeout below objective", []string{"warning timeout-below-objective"}},
		{"timeout of the objective", nil},
		{"objective without timeout", nil},
		{"several attempts at most once", []string{"warning attempts-of-at-most-once"}},
		{"unknown kind", []string{"warning unknown-route-kind"}},
		{"resumable without streams", []string{"warning resumable-without-streams"}},
		{"duplicate route", []string{"error duplicate-name"}},
		{"duplicate service", []string{"error duplicate-name"}},
		{"duplicate workspace", []string{"error duplicate-name"}},
		{"no name", []string{"warning no-name"}},
		{"unused service", []string{"warning unused-service"}},
		{"cold rate below one", []string{"warning cold-rate-below-one"}},
		{"cold rate of one", nil},
		{"cold time without rate", []string{"warning cold-time-without-rate"}},
		{"cold rate without time", nil},
		{"shared key", []string{"error shared-api-key"}},
		{"repeated key", []string{"warning repeated-api-key"}},
		{"empty key", []string{"error empty-api-key"}},
		{"key with a space", []string{"warning unmatched-api-key"}},
		{"workspace without keys", []string{"warning workspace-without-keys"}},
		{"no workspaces", []string{"warning no-workspaces"}},
		{"idle below header timeout", []string{"warning idle-timeout-below-header-timeout"}},
		{"default idle timeout below header timeout", []string{"warning idle-timeout-below-header-timeout"}},
		{"body below header limit", []string{"warning body-limit-below-header-limit"}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			fault, ok := faults[test.about]
			c.Assert(ok, qt.IsTrue)
			delete(faults, test.about)
			text := change(c, fault.Pairs...)
			c.Assert(findings(text), qt.DeepEquals, located(c, test.want, fault))
			got := configcheck.Check(platform.DecodeConfigurationDocument(platformtest.Entry(platformtest.CurrentConfiguration, text)))
			c.Assert(got, qt.HasLen, len(test.want))
			for i, f := range got {
				c.Check(strings.HasPrefix(f.Pointer, platformtest.SpecPointer) || f.Code == "syntax", qt.IsTrue, qt.Commentf("%s", f.Pointer))
				c.Check(f.Text, qt.Not(qt.Contains), "-secret")
				c.Check(test.want[i], qt.Contains, f.Code)
			}
		})
	}
	t.Run("sound", func(t *testing.T) { qt.Assert(t, findings(platformtest.SoundConfiguration), qt.HasLen, 0) })
	t.Run("all faults", func(t *testing.T) { qt.Assert(t, faults, qt.HasLen, 0) })
	t.Run("no routes", func(t *testing.T) {
		qt.Assert(t, findings(platformtest.NoRoutes), qt.DeepEquals, []string{"error rejected "})
	})
}

// Guards against sentences that do not name what they are about.
func TestSentences(t *testing.T) {
	for _, test := range []struct{ fault, want string }{
		{"hidden route", `route "r2": prefix "/a/" of host "h.example" is hidden by route "r1", which has the same`},
		{"timeout below objective", `route "r1": timeout 4s is below the latency objective of 5s`},
		{"shared key", `workspace "w2": workspace "w1" has the same API key`},
		{"duplicate workspace", `workspace "w1": another workspace has this name, in line 9`},
		{"misspelled field", fmt.Sprintf(`field %q is not known and has no effect; is %q meant?`, platformtest.MisspelledField, platformtest.MeantField)},
		{"list for a version", `the value is a list; an integer without exponent that fits 64 bits is needed`},
	} {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			text := change(c, platformtest.ConfigurationFaults()[test.fault].Pairs...)
			got := configcheck.Check(platform.DecodeConfigurationDocument([]byte(text)))
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].Text, qt.Equals, test.want)
		})
	}
}

// Guards against a route that is named as hidden although it is the one that routers choose: with
// many routes of one host, that is not always the first.
func TestHiddenRoutesAreThoseThatRoutersDoNotChoose(t *testing.T) {
	c := qt.New(t)
	d := platform.DecodeConfigurationDocument([]byte(platformtest.RepeatedPrefixes(60, 30)))
	hidden := map[string]bool{}
	for _, f := range configcheck.Check(d) {
		c.Assert(f.Code, qt.Equals, "hidden-route")
		hidden[f.Pointer] = true
	}
	c.Assert(hidden, qt.HasLen, 30)
	for i := range 60 {
		chosen := d.Configuration.Route("h", fmt.Sprintf("/p%d/x", i%30)).Name
		c.Assert(hidden[platformtest.PrefixPointer(i)], qt.Equals, chosen != fmt.Sprintf("r%d", i), qt.Commentf("%d", i))
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
		{"one has none", []*state.Target{{Service: "chat"}, {Service: "other"}}, []string{"warning no-targets " + platformtest.ServicePointer(1)}},
		{"one has only draining ones", []*state.Target{{Service: "chat"}, {Service: "plain", Draining: true}},
			[]string{"warning only-draining-targets " + platformtest.ServicePointer(1)}},
		{"empty list", nil, []string{"warning no-targets " + platformtest.ServicePointer(0), "warning no-targets " + platformtest.ServicePointer(1)}},
	} {
		t.Run(test.about, func(t *testing.T) {
			qt.Assert(t, findings(platformtest.SoundConfiguration, configcheck.WithTargets(test.targets)), qt.DeepEquals, test.want)
		})
	}
}

// FuzzCheck guards against texts that make the checks panic, and against a configuration that is
// called sound although routers reject it.
func FuzzCheck(f *testing.F) {
	for _, seed := range platformtest.OddConfigurations() {
		f.Add([]byte(seed))
	}
	base := platform.DecodeConfigurationDocument([]byte(platformtest.SoundConfiguration))
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
		_, err := platform.DecodeConfiguration(data)
		spec, invalid := platformtest.SpecOf(data)
		if err != nil && (invalid != nil || string(spec) != string(d.Spec)) {
			t.Fatalf("%q is called sound, and neither it nor its spec is what routers decode: %v", data, err)
		}
	})
}
