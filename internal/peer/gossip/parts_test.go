package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/platform"
)

// Guards against a router that brings back what a newer part of another's list lacked (issue 55).
func TestSnapshotsTellTheRevisionsOfTheirParts(t *testing.T) {
	c := qt.New(t)
	d := storewatch.Delta{
		After: state.Revision{Era: 2, Number: 3}, Revision: state.Revision{Era: 2, Number: 5},
		ListRevision: state.Revision{Era: 2, Number: 4}, Parts: []platform.ListPart{{Last: "i-2", Revision: 7}, {Revision: 5}},
	}
	encoded := encodeDelta(d)
	item := storewatch.TargetChange{Entry: []byte(`{"metadata":{"name":"i-1"}}`), KeptFor: time.Second}
	encoded.Items = append(encoded.Items, encodeItem(item))
	d.Items = append(d.Items, item)
	c.Assert(decodeChange(encoded), qt.DeepEquals, d)
}
