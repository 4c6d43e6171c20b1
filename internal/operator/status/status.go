// Package status defines the object that records which configuration versions
// are in force on the fleet.
package status

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/platform/objects"
)

const (
	// Kind is the platform kind of the status object.
	Kind = "configuration-status"
	// Name is the name of the fleet's single status object.
	Name = "fleet"
	// KindRouter is the platform kind of router registrations.
	KindRouter = "router"

	// StateInForce means that every router has the resource's version in force.
	StateInForce State = "in-force"
	// StatePending means that at least one router has not reported the resource's version yet.
	StatePending State = "pending"
	// StateInvalid means that routers reject the version and keep the last valid one.
	StateInvalid State = "invalid"
)

type (
	// Status is the fleet's single status object. A router in the writer role
	// writes it.
	Status struct {
		// InForce is the version up to which all changes are in force on every router.
		InForce uint64 `json:"in-force"`
		// Accepted is the highest configuration version that the writer has seen.
		Accepted uint64 `json:"accepted"`
		// Domains has one entry for each failure domain, ordered by name.
		Domains []Domain `json:"domains,omitempty"`
		// Conditions lists the resources that need an operator's attention, ordered by key.
		Conditions []Condition `json:"conditions,omitempty"`
		// Writer is the router that wrote this status.
		Writer string `json:"writer,omitempty"`
		// Written is the time of the write by the writer's clock; informational only.
		Written time.Time `json:"written,omitzero"`
	}

	// Domain summarizes one failure domain.
	Domain struct {
		Name string `json:"name"`
		// InForce is the lowest version that a router of the domain reports.
		InForce uint64 `json:"in-force"`
		// Routers counts the routers that must report.
		Routers int `json:"routers"`
		// Missing names the routers that have not reported the accepted version.
		Missing []string `json:"missing,omitempty"`
	}

	// Registration is the object that a router writes under its own name before
	// it lists the configuration. A change with a higher version is in force
	// only when the router has reported it.
	Registration struct {
		// Incarnation distinguishes the restarts of the router; a later one is higher.
		Incarnation   uint64 `json:"incarnation"`
		FailureDomain string `json:"failure-domain"`
	}

	// Condition describes a problem of one version of a resource.
	Condition struct {
		Kind    string `json:"kind"`
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		State   State  `json:"state"`
		Message string `json:"message"`
		// InForceVersion is the version that routers use instead; 0 when there is none.
		InForceVersion uint64 `json:"in-force-version,omitempty"`
	}

	// State is the rollout state of one version of a resource.
	State string
)

// Key returns the key of the status object.
func Key() objects.Key { return objects.Key{Kind: Kind, Name: Name} }

// Decode decodes a status object.
func Decode(data []byte) (Status, error) {
	var s Status
	err := json.Unmarshal(data, &s)
	return s, eris.Wrap(err, "decode configuration status")
}

// Encode encodes a status object.
func Encode(s Status) (json.RawMessage, error) {
	data, err := json.Marshal(s)
	return data, eris.Wrap(err, "encode configuration status")
}

// StateOf returns the state of one version of a resource, and the message of its
// condition if it has one.
func (s Status) StateOf(k objects.Key, version uint64) (State, string) {
	for _, c := range s.Conditions {
		if c.Kind == k.Kind && c.Name == k.Name && c.Version == version && c.State == StateInvalid {
			return StateInvalid, c.Message
		}
	}
	if version > s.InForce {
		return StatePending, ""
	}
	return StateInForce, s.conditionMessage(k, version)
}

// conditionMessage returns the message of the condition of one version of a
// resource, or "". Such a condition does not keep the version from being in force.
func (s Status) conditionMessage(k objects.Key, version uint64) string {
	for _, c := range s.Conditions {
		if c.Kind == k.Kind && c.Name == k.Name && c.Version == version {
			return c.Message
		}
	}
	return ""
}

// Missing names the routers that have not reported the accepted version.
func (s Status) Missing() []string {
	var names []string
	for _, d := range s.Domains {
		names = append(names, d.Missing...)
	}
	return names
}

// Routers counts the routers that must report.
func (s Status) Routers() int {
	n := 0
	for _, d := range s.Domains {
		n += d.Routers
	}
	return n
}

// Merge returns the status that replaces s after a writer has computed newer.
// InForce and Accepted never decrease, and a status with a lower Accepted
// contributes nothing else, so that concurrent writers are safe.
func (s Status) Merge(newer Status) Status {
	merged := newer
	if newer.Accepted < s.Accepted {
		merged = s
	}
	merged.InForce = max(s.InForce, newer.InForce)
	merged.Accepted = max(s.Accepted, newer.Accepted)
	return merged
}

// EqualContent reports whether two statuses are equal, ignoring Writer and Written.
func (s Status) EqualContent(other Status) bool {
	s.Writer, s.Written = other.Writer, other.Written
	return reflect.DeepEqual(s, other)
}
