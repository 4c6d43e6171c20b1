package jsonsplit_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/wire/jsonsplit"
)

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for data, want := range map[string][]string{
		`[]`:                              {},
		" [ ] \n":                         {},
		`[1]`:                             {"1"},
		"[ 1 ,\t{\"a\" : [2,3]}\n, null]": {"1", `{"a" : [2,3]}`, "null"},
		`["a\"]","\\",{"}":"]"}]`:         {`"a\"]"`, `"\\"`, `{"}":"]"}`},
		`[NaN,-Infinity,007,"\x"]`:        {"NaN", "-Infinity", "007", `"\x"`},
		`[` + deep + `,2]`:                {deep, "2"},
	} {
		t.Run(data[:min(len(data), 30)], func(t *testing.T) {
			c := qt.New(t)
			got, err := jsonsplit.Elements([]byte(data))
			c.Assert(err, qt.IsNil)
			c.Assert(len(got), qt.Equals, len(want))
			for i := range want {
				c.Assert(string(got[i]) == want[i], qt.IsTrue)
			}
		})
	}
	for _, data := range []string{
		``, `[`, `]`, `{}`, `"[]"`, `[1`, `[1,]`, `[,1]`, `[1 2]`, `["a]`, `["a\"]`, `[{]`, `[[]`, `[}1]`, `[1]]`, `[1][2]`, `[a:b]`,
	} {
		t.Run("malformed: "+data, func(t *testing.T) {
			_, err := jsonsplit.Elements([]byte(data))
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func TestMember(t *testing.T) {
	for data, want := range map[string]string{
		`{"a":1}`:                            "1",
		` { "b" : {"a":2} , "a" : "x}" } `:   `"x}"`,
		`{"a":1,"a":2}`:                      "2",
		`{"\"a":1,"A":2}`:                    "",
		`{}`:                                 "",
		`{"a"}`:                              "",
		`{"a":}`:                             "",
		`{"a":1,}`:                           "",
		`{a:1}`:                              "",
		`{"a":1,"b`:                          "",
		`[{"a":1}]`:                          "",
		`{"b":` + "NaN" + `,"a":[NaN]}`:      "[NaN]",
		`{"` + strings.Repeat("x", 9) + `":`: "",
		``:                                   "",
	} {
		t.Run(data, func(t *testing.T) {
			qt.Assert(t, string(jsonsplit.Member([]byte(data), "a")), qt.Equals, want)
		})
	}
}

func TestMembers(t *testing.T) {
	c := qt.New(t)
	got := jsonsplit.Members([]byte(`{"a":1,"b":[2],"c":3}`), "b", "x", "a")
	c.Assert(got, qt.DeepEquals, [][]byte{[]byte("[2]"), nil, []byte("1")})
	c.Assert(jsonsplit.Members([]byte(`{"a":1,"b":2`), "a", "b"), qt.DeepEquals, [][]byte{nil, nil})
}

// FuzzElements checks that valid arrays are split as encoding/json splits them.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{`[1,{"a":[2]},"]"]`, `[[],[{}], null]`, `["\"",{"a":"\\"}]`, `[`, `{"a":1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := jsonsplit.Elements(data)
		jsonsplit.Member(data, "a")
		var want []json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		c := qt.New(t)
		c.Assert(err, qt.IsNil)
		c.Assert(len(got), qt.Equals, len(want))
		for i := range want {
			c.Assert(string(got[i]), qt.Equals, string(want[i]))
		}
	})
}
