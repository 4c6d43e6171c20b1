package stream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"pgregory.net/rapid"

	"hickoryrock/internal/caller/sse"
)

type (
	// testCaller appends every event that it receives, without checking the order, and treats
	// [DONE] as the end.
	testCaller struct {
		t               *rapid.T
		want            string
		text            string
		token           string
		last            int
		disconnectAfter int
		complete        bool
	}
)

// connect starts or resumes the stream at one router and disconnects after disconnectAfter events;
// 0 means never.
func (c *testCaller) connect(url string) {
	method := http.MethodPost
	if c.token != "" {
		method, url = http.MethodGet, url+"/"+c.token
	}
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set(sse.HeaderLastEventID, strconv.Itoa(c.last))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return
	}
	c.token = resp.Header.Get(HeaderStream)
	reader, release := sse.NewReader(resp.Body)
	defer release()
	for n := 0; n < c.disconnectAfter || c.disconnectAfter == 0; n++ {
		e, err := reader.Next()
		if err != nil || !c.accept(e) {
			return
		}
	}
}

func (c *testCaller) accept(e sse.Event) bool {
	if e.Kind == sse.Done {
		c.complete = true
		return false
	}
	if e.ID == 0 {
		return true
	}
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(e.Data, &chunk); err != nil {
		c.t.Fatalf("event %d: %v", e.ID, err)
	}
	c.text += chunk.Choices[0].Delta.Content
	c.last = e.ID
	if !strings.HasPrefix(c.want, c.text) {
		c.t.Fatalf("%q is not a prefix of %q", c.text, c.want)
	}
	return true
}
