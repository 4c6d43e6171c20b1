package resource_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/operator/resource"
)

func TestDuration(t *testing.T) {
	c := qt.New(t)

	c.Run("round trip", func(c *qt.C) {
		data, err := json.Marshal(resource.Duration(90 * time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, `"1m30s"`)

		var d resource.Duration
		c.Assert(json.Unmarshal(data, &d), qt.IsNil)
		c.Assert(time.Duration(d), qt.Equals, 90*time.Second)
	})

	c.Run("a number is rejected", func(c *qt.C) {
		var d resource.Duration
		c.Assert(json.Unmarshal([]byte(`90`), &d), qt.IsNotNil)
	})
}
