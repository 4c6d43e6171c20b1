package replica

import (
	"maps"
	"slices"
	"time"

	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
)

// absence records how long a router has been missing from the platform's VM list, and
// whether it was ever listed.
type absence struct {
	wasListed    bool
	missingSince time.Time
}

// WriterRank returns 0 for the router that writes the status, 1 for the standby
// writer, and -1 for all other routers.
func (s *State) WriterRank() int {
	return slices.Index(s.roles.writers, s.self)
}

// RemovableRegistrations compares the registrations with the platform's VM list and
// returns those of routers that have been missing from it for long enough. Loss of
// contact is not sufficient, because a router that is partitioned from this one may
// still serve callers. Acknowledgements of routers that never registered are dropped
// by the same rule.
func (s *State) RemovableRegistrations(now time.Time, vms []objects.VM) []objects.Object {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
	}
	if !listed[s.self.Name] {
		// This router is running, so a list without it is incomplete and cannot be
		// trusted about others either.
		return nil
	}
	// Live peers count as listed.
	for _, p := range s.peers {
		listed[p.Name] = true
	}
	registered := map[string]bool{}
	var removable []objects.Object
	s.config.registrations(func(o objects.Object, _ status.Registration) {
		registered[o.Name] = true
		if o.Name != s.self.Name && s.trackAbsence(now, o.Name, listed[o.Name]) {
			removable = append(removable, o)
		}
	})
	for name := range s.acks {
		if !registered[name] && s.trackAbsence(now, name, listed[name]) {
			s.statusRevision++
			delete(s.acks, name)
			delete(s.bootstrapped, name)
		}
	}
	maps.DeleteFunc(s.absences, func(name string, _ absence) bool {
		_, reported := s.acks[name]
		return !registered[name] && !reported
	})
	return removable
}

// trackAbsence records whether a router is listed and reports whether it has been
// missing longer than its timeout.
func (s *State) trackAbsence(now time.Time, name string, listed bool) bool {
	a, ok := s.absences[name]
	if listed {
		s.absences[name] = absence{wasListed: true}
		return false
	}
	if !ok || a.missingSince.IsZero() {
		a.missingSince = now
		s.absences[name] = a
	}
	wait := s.timing.UnlistedTimeout
	if a.wasListed {
		wait = s.timing.AbsenceTimeout
	}
	return now.Sub(a.missingSince) >= wait
}
