package resource_test

import (
	"errors"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"
)

const policyFile = `# A comment above.
kind: traffic-policy
name: care
version: 41
spec:
  service: care-reports
  load-bound: 1.25
  silence-timeout: 10s
---
kind: service
name: bookings
spec:
  protocol: plain
  methods:
    - {name: book-batch, semantics: at-most-once}
  targets:
    - {name: order-1, address: "127.0.0.1:9201", failure-domain: a}
`

func TestDecodeFile(t *testing.T) {
	c := qt.New(t)

	c.Run("documents with and without a version", func(c *qt.C) {
		docs, err := resource.DecodeFile([]byte(policyFile))
		c.Assert(err, qt.IsNil)
		c.Assert(docs, qt.HasLen, 2)
		c.Assert(docs[0].Resource.Key(), qt.Equals, objects.Key{Kind: "traffic-policy", Name: "care"})
		c.Assert(*docs[0].Version, qt.Equals, uint64(41))
		c.Assert(docs[1].Version, qt.IsNil)
	})

	c.Run("errors name the field", func(c *qt.C) {
		for _, tt := range []struct{ text, want string }{
			{"kind: servise\nname: a", `kind: given "servise", allowed: .*service.*`},
			{"kind: service\nname: a\nspec: {protokol: chat}", `(?s).*unknown field "protokol".*`},
			{"kind: service\nname: a\nextra: 1\nspec: {protocol: chat, model: m}", `(?s).*unknown field "extra".*`},
			{"kind: service\nname: a\nspec: {name: b, protocol: chat, model: m}", `.*spec.name: given "b".*`},
			{"kind: service\nname: a\nspec: {protocol: chat, model: m}\n---\nkind: service\nname: a\nspec: {protocol: chat, model: m}", `line 5: service "a" is already at line 1`},
		} {
			_, err := resource.DecodeFile([]byte(tt.text))
			c.Check(err, qt.ErrorMatches, `(?s).*`+tt.want, qt.Commentf("%s", tt.text))
		}
	})

	c.Run("the error of an invalid value has its line and allowed range", func(c *qt.C) {
		text := "kind: traffic-policy\nname: p\nspec:\n  service: s\n  load-bound: 0.5\n  shares:\n    a: -1\n"
		_, err := resource.DecodeFile([]byte(text))
		var invalid *resource.InvalidError
		c.Assert(errors.As(err, &invalid), qt.IsTrue)
		c.Assert(invalid.Fields, qt.DeepEquals, []resource.FieldError{
			{Path: "spec.load-bound", Line: 5, Given: "0.5", Allowed: "above 1 to 10, or 0 for the default"},
			{Path: "spec.shares.a", Line: 7, Given: "-1", Allowed: "0 to 1000000"},
			{Path: "spec.shares", Line: 7, Given: "-1", Allowed: "a sum above 0"},
		})
	})
}

func TestExamples(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"kjaergaard", "nusantara"} {
		c.Run(name, func(c *qt.C) {
			data, err := os.ReadFile("../../../examples/" + name + ".yaml")
			c.Assert(err, qt.IsNil)
			docs, err := resource.DecodeFile(data)
			c.Assert(err, qt.IsNil)
			rs := make([]resource.Resource, 0, len(docs))
			for _, d := range docs {
				rs = append(rs, d.Resource)
				assertRoundTrip(c, d.Resource)
			}
			c.Assert(resource.CheckReferences(rs), qt.HasLen, 0)
		})
	}
}

func TestCheckReferences(t *testing.T) {
	c := qt.New(t)
	rs := []resource.Resource{
		&resource.ModelDeployment{Name: "care-a", Service: "care-reports", Model: "care"},
		&resource.Service{Name: "bookings", Protocol: resource.ProtocolPlain},
		&resource.TrafficPolicy{Name: "p", Service: "bookings", Shares: map[string]float64{"none": 1}},
		&resource.TrafficPolicy{Name: "q", Service: "bookings"},
		&resource.Workspace{Name: "w", TokenSHA256: "ab", Services: []string{"bookings", "gone"}},
	}
	var got []string
	for _, p := range resource.CheckReferences(rs) {
		got = append(got, p.Key.Name+": "+p.Message)
	}
	c.Assert(got, qt.DeepEquals, []string{
		`care-a: service "care-reports" does not exist`,
		`p: model deployment "none" of service "bookings" does not exist`,
		`q: service "bookings" has another traffic policy, "p", which is used`,
		`w: service "gone" does not exist`,
	})
}

// FuzzDecodeFile checks that every resource that the decoder accepts is valid
// and is unchanged by a round trip through the platform's JSON and get's YAML.
func FuzzDecodeFile(f *testing.F) {
	f.Add([]byte(policyFile))
	for _, name := range []string{"kjaergaard", "nusantara"} {
		data, err := os.ReadFile("../../../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, err := resource.DecodeFile(data)
		if err != nil {
			return
		}
		for _, d := range docs {
			assertRoundTrip(qt.New(t), d.Resource)
		}
	})
}

// FuzzDecode does the same for the decoder that routers use for the platform's JSON.
func FuzzDecode(f *testing.F) {
	f.Add("service", []byte(`{"name":"a","protocol":"chat","model":"m"}`))
	f.Add("traffic-policy", []byte(`{"name":"a","service":"s","load-bound":1.5,"silence-timeout":"2s"}`))
	f.Add("workspace", []byte(`{"name":"a","services":["s"]}{}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		r, err := resource.Decode(kind, data)
		if err != nil {
			return
		}
		assertRoundTrip(qt.New(t), r)
	})
}

// assertRoundTrip checks that a valid resource is unchanged by encoding and
// decoding it as JSON and as YAML.
func assertRoundTrip(c *qt.C, r resource.Resource) {
	c.Assert(r.Validate(), qt.IsNil)
	data, err := resource.Encode(r)
	c.Assert(err, qt.IsNil)
	again, err := resource.Decode(r.Key().Kind, data)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", data))
	c.Assert(again, qt.DeepEquals, r)
	text, err := resource.EncodeYAML(r, 7)
	c.Assert(err, qt.IsNil)
	docs, err := resource.DecodeFile(text)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", text))
	c.Assert(docs[0].Resource, qt.DeepEquals, r)
	c.Assert(*docs[0].Version, qt.Equals, uint64(7))
}
