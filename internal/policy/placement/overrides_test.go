package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func assertOverride(t *testing.T, o *Overrides, key uint64, want string) {
	t.Helper()
	got, ok := o.Get(key)
	qt.New(t).Assert(got, qt.Equals, want)
	qt.New(t).Assert(ok, qt.Equals, want != "")
}

func TestOverrides(t *testing.T) {
	t.Run("evicts the oldest when full", func(t *testing.T) {
		o := NewOverrides(2)
		o.Put(1, "a")
		o.Put(2, "b")
		o.Put(1, "c")
		assertOverride(t, o, 1, "c")
		o.Put(3, "d")
		assertOverride(t, o, 1, "")
		assertOverride(t, o, 2, "b")
		assertOverride(t, o, 3, "d")
	})
	t.Run("deletes a chat", func(t *testing.T) {
		o := NewOverrides(2)
		o.Put(1, "a")
		o.Delete(1)
		assertOverride(t, o, 1, "")
	})
}
