package replica

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

// maxTombstones limits the number of retained tombstones. A router that is too far
// behind to use them receives a snapshot.
const maxTombstones = 4096

type (
	// Configuration is the configuration that one router holds: the highest version
	// it has received of each object. It is not safe for concurrent use.
	//
	// The complete version is the version up to which every change is held or
	// superseded. An object that is not held has been deleted if its version is not
	// above the complete version.
	Configuration struct {
		entries          map[objects.Key]*entry
		completeVersion  uint64
		compactedVersion uint64
		tombstones       int
	}

	// Update is one object as received from the platform or a peer.
	Update struct {
		Newest objects.Object
		// LastGood is the last valid version if the newest one is invalid.
		LastGood objects.Object
	}

	// Change is a resource version that became active. Resource is nil if the
	// resource was deleted.
	Change struct {
		Key      objects.Key
		Version  uint64
		Resource resource.Resource
	}

	// entry is the newest version of an object and the last valid version, which is
	// the active one.
	entry struct {
		newest          objects.Object
		lastGood        objects.Object
		resource        resource.Resource
		registration    *status.Registration
		validationError string
	}
)

// NewConfiguration returns an empty configuration.
func NewConfiguration() *Configuration {
	return &Configuration{entries: map[objects.Key]*entry{}}
}

// Kinds returns the object kinds that routers replicate.
func Kinds() []string {
	return append(resource.Kinds(), status.KindRouter)
}

// CompleteVersion returns the version up to which every change is held.
func (c *Configuration) CompleteVersion() uint64 { return c.completeVersion }

// Apply applies the updates that are newer than the held versions and returns the
// resulting changes.
func (c *Configuration) Apply(updates []Update) []Change {
	var changes []Change
	for _, u := range updates {
		if change, ok := c.apply(u); ok {
			changes = append(changes, change)
		}
	}
	c.compactTombstones()
	return changes
}

func (c *Configuration) apply(u Update) (Change, bool) {
	e := c.entries[u.Newest.Key]
	// A version not above the complete version is already held or superseded. The
	// object may have been deleted since, even if its tombstone is no longer held.
	isNew := u.Newest.Version > c.completeVersion
	if e == nil && !isNew {
		return Change{}, false
	}
	if e == nil {
		e = &entry{}
		c.entries[u.Newest.Key] = e
	}
	before := e.lastGood.Version
	if isNew && u.Newest.Version > e.newest.Version {
		c.setNewest(e, u.Newest)
	}
	if e.validationError != "" && u.LastGood.Version > e.lastGood.Version && u.LastGood.Version < e.newest.Version {
		e.activate(u.LastGood)
	}
	if e.lastGood.Version == before || u.Newest.Kind == status.KindRouter {
		return Change{}, false
	}
	return Change{Key: u.Newest.Key, Version: e.newest.Version, Resource: e.resource}, true
}

// setNewest makes o the newest version of the entry.
func (c *Configuration) setNewest(e *entry, o objects.Object) {
	if e.newest.Deleted {
		c.tombstones--
	}
	e.newest = o
	e.validationError = ""
	if o.Deleted {
		c.tombstones++
		e.lastGood, e.resource, e.registration = objects.Object{}, nil, nil
		return
	}
	e.activate(o)
}

// activate makes o the active version. If o is invalid, it keeps the last valid
// version active and records the error.
func (e *entry) activate(o objects.Object) {
	r, registration, err := decode(o)
	if err != nil {
		if o.Version == e.newest.Version {
			e.validationError = err.Error()
		}
		return
	}
	e.lastGood, e.resource, e.registration = o, r, registration
}

func decode(o objects.Object) (resource.Resource, *status.Registration, error) {
	if o.Kind == status.KindRouter {
		var registration status.Registration
		if err := json.Unmarshal(o.Data, &registration); err != nil {
			return nil, nil, eris.Wrap(err, "decode registration")
		}
		return nil, &registration, nil
	}
	r, err := resource.Decode(o.Kind, o.Data)
	if err != nil {
		return nil, nil, err
	}
	if r.Key() != o.Key {
		return nil, nil, eris.Errorf("object %q holds the resource %q", o.Name, r.Key().Name)
	}
	return r, nil, nil
}

// ApplySnapshot applies a snapshot of all objects as of a version. Held objects that are
// missing from it are deleted, unless their version is higher.
func (c *Configuration) ApplySnapshot(updates []Update, version uint64) []Change {
	changes := c.Apply(updates)
	present := make(map[objects.Key]bool, len(updates))
	for _, u := range updates {
		present[u.Newest.Key] = true
	}
	for k, e := range c.entries {
		if present[k] || e.newest.Deleted || e.newest.Version > version {
			continue
		}
		c.setNewest(e, objects.Object{Key: k, Version: version, Deleted: true})
		if k.Kind != status.KindRouter {
			changes = append(changes, Change{Key: k, Version: version})
		}
	}
	c.completeVersion = max(c.completeVersion, version)
	c.compactedVersion = max(c.compactedVersion, version)
	return changes
}

// AdvanceTo records that every change after one version and up to another has been
// received. It has no effect if changes before that range are missing.
func (c *Configuration) AdvanceTo(after, complete uint64) {
	if c.completeVersion >= after {
		c.completeVersion = max(c.completeVersion, complete)
	}
}

// ChangesAfter returns the changes after a version. If tombstones since that version
// may have been dropped, it returns all objects and sets snapshot.
func (c *Configuration) ChangesAfter(version uint64) (updates []Update, snapshot bool) {
	snapshot = version < c.compactedVersion
	for _, e := range c.entries {
		if e.newest.Version <= version && !snapshot {
			continue
		}
		if snapshot && e.newest.Deleted && e.newest.Version <= c.completeVersion {
			continue
		}
		updates = append(updates, e.toUpdate())
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Newest.Version, b.Newest.Version) })
	return updates, snapshot
}

func (e *entry) toUpdate() Update {
	u := Update{Newest: e.newest}
	if e.validationError != "" {
		u.LastGood = e.lastGood
	}
	return u
}

// compactTombstones drops the older half of the tombstones if there are more than
// maxTombstones.
func (c *Configuration) compactTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	var deleted []objects.Object
	for _, e := range c.entries {
		if e.newest.Deleted && e.newest.Version <= c.completeVersion {
			deleted = append(deleted, e.newest)
		}
	}
	slices.SortFunc(deleted, func(a, b objects.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, o := range deleted[:len(deleted)/2] {
		delete(c.entries, o.Key)
		c.tombstones--
		c.compactedVersion = max(c.compactedVersion, o.Version)
	}
}

// Version returns the newest held version of an object, or 0.
func (c *Configuration) Version(k objects.Key) uint64 {
	if e := c.entries[k]; e != nil {
		return e.newest.Version
	}
	return 0
}

// Resources returns the active resources.
func (c *Configuration) Resources() []resource.Resource {
	var rs []resource.Resource
	for _, e := range c.entries {
		if e.resource != nil {
			rs = append(rs, e.resource)
		}
	}
	return rs
}

// registrations calls fn for each registered router.
func (c *Configuration) registrations(fn func(o objects.Object, r status.Registration)) {
	for k, e := range c.entries {
		if k.Kind == status.KindRouter && e.registration != nil {
			fn(e.newest, *e.registration)
		}
	}
}

// conditions returns the problems of resources, ordered by kind and name: newest
// versions that are invalid and not active, and problems among active resources.
func (c *Configuration) conditions() []status.Condition {
	var cs []status.Condition
	for k, e := range c.entries {
		if e.validationError == "" {
			continue
		}
		cs = append(cs, status.Condition{Kind: k.Kind, Name: k.Name, Version: e.newest.Version,
			State: status.StateInvalid, Message: e.validationError, InForceVersion: e.lastGood.Version})
	}
	for _, p := range resource.CheckReferences(c.Resources()) {
		e := c.entries[p.Key]
		cs = append(cs, status.Condition{Kind: p.Key.Kind, Name: p.Key.Name, Version: e.lastGood.Version,
			State: status.StateInForce, Message: p.Message, InForceVersion: e.lastGood.Version})
	}
	slices.SortStableFunc(cs, func(a, b status.Condition) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return cs
}
