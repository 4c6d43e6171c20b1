package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		header             [2]string
		want               int
	}{
		"write without precondition":    {http.MethodPut, "/v1/objects/service/a", "{}", [2]string{}, 428},
		"delete without precondition":   {http.MethodDelete, "/v1/objects/service/a", "", [2]string{}, 428},
		"delete with If-None-Match":     {http.MethodDelete, "/v1/objects/service/a", "", [2]string{"If-None-Match", "*"}, 428},
		"stale version":                 {http.MethodPut, "/v1/objects/service/a", "{}", [2]string{"If-Match", `"7"`}, 412},
		"delete of a missing object":    {http.MethodDelete, "/v1/objects/service/a", "", [2]string{"If-Match", `"7"`}, 412},
		"entity tag without quotes":     {http.MethodPut, "/v1/objects/service/a", "{}", [2]string{"If-Match", "7"}, 400},
		"uppercase letter in the kind":  {http.MethodPut, "/v1/objects/Service/a", "{}", [2]string{"If-None-Match", "*"}, 400},
		"name that ends in a dash":      {http.MethodGet, "/v1/objects/service/a-", "", [2]string{}, 400},
		"value that is not JSON":        {http.MethodPut, "/v1/objects/service/a", "{", [2]string{"If-None-Match", "*"}, 400},
		"value over the limit":          {http.MethodPut, "/v1/objects/service/a", strings.Repeat(" ", 1<<20+1), [2]string{"If-None-Match", "*"}, 413},
		"watch without kinds":           {http.MethodGet, "/v1/watch?after=0", "", [2]string{}, 400},
		"watch from a future version":   {http.MethodGet, "/v1/watch?kind=a&after=9", "", [2]string{}, 410},
		"missing object":                {http.MethodGet, "/v1/objects/service/a", "", [2]string{}, 404},
		"unsupported method":            {http.MethodPost, "/v1/objects/service/a", "{}", [2]string{}, 405},
		"faults that cannot be decoded": {http.MethodPut, "/faults", "[]", [2]string{}, 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if c.header[0] != "" {
				r.Header.Set(c.header[0], c.header[1])
			}
			w := httptest.NewRecorder()
			New().ServeHTTP(w, r)
			qt.Assert(t, w.Code, qt.Equals, c.want)
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	s := New(WithHistoryLimit(2))
	for _, name := range []string{"a", "b", "c"} {
		r := httptest.NewRequest(http.MethodPut, "/v1/objects/service/"+name, strings.NewReader("{}"))
		r.Header.Set("If-None-Match", "*")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/watch?kind=service&after=0", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusGone)
	got, version, _, err := s.store.changesSince([]string{"service"}, 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.HasLen, 2)
	qt.Assert(t, version, qt.Equals, uint64(3))
}
