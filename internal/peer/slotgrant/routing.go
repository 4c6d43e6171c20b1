package slotgrant

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hickoryrock/internal/policy/rendezvous"
)

const (
	// minCPUShare is the part of the largest CPU share of the live routers that a coordinator
	// has at least: a slow coordinator delays the calls of all routers.
	minCPUShare = 0.5
	// maxSilences is the number of requests in a row without an answer after which a router is
	// not asked for avoidTime.
	maxSilences = 2
	avoidTime   = time.Second
	// forgetSilenceAfter is how long the silence of a router counts without a further one.
	forgetSilenceAfter = time.Minute
	// maxSilentRouters and maxRoutedServices bound the state.
	maxSilentRouters  = 1024
	maxRoutedServices = 1024
)

type (
	// routing knows which routers do not answer, and which router coordinates each service.
	routing struct {
		mu     sync.Mutex
		silent map[netip.AddrPort]silence
		// coordinators holds the routers that have answered last, by service.
		coordinators map[string]netip.AddrPort
	}

	// silence counts the requests in a row that a router has not answered.
	silence struct {
		count int
		last  time.Time
	}
)

func newRouting() *routing {
	return &routing{silent: make(map[netip.AddrPort]silence), coordinators: make(map[string]netip.AddrPort)}
}

// rank returns the two members of highest rank that may coordinate a service. Second or both
// are zero if there are fewer.
func rank(members []Member, service string) (first, second Member) {
	largest := 0.0
	for _, m := range members {
		largest = max(largest, m.CPUShare)
	}
	key := xxhash.Sum64String(service)
	var firstRank, secondRank uint64
	for _, m := range members {
		if m.CPUShare < largest*minCPUShare || !m.Address.IsValid() {
			continue
		}
		r := rendezvous.Rank(key, m.Hash)
		switch {
		case !first.Address.IsValid() || r > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = m, r
		case !second.Address.IsValid() || r > secondRank:
			second, secondRank = m, r
		}
	}
	return first, second
}

// choose returns the router to ask for a slot of a service. It returns false if there is none
// or if neither of the first two has answered lately: asking them would only delay the call.
func (r *routing) choose(members []Member, service string, now time.Time) (Member, bool) {
	first, second := rank(members, service)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range []Member{first, second} {
		if m.Address.IsValid() && (m.IsSelf || !r.isAvoided(m.Address, now)) {
			return m, true
		}
	}
	return Member{}, false
}

// isAvoided reports whether a router is not asked now. The caller must hold r.mu.
func (r *routing) isAvoided(address netip.AddrPort, now time.Time) bool {
	s := r.silent[address]
	return s.count >= maxSilences && now.Sub(s.last) < avoidTime
}

// recordSilence records that a router has not answered in time. Its count is kept while it is
// avoided, so that a single further silence is enough to avoid it again.
func (r *routing) recordSilence(address netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.silent[address]
	if now.Sub(s.last) > forgetSilenceAfter {
		s.count = 0
	}
	if s.count == 0 && len(r.silent) >= maxSilentRouters {
		for a, other := range r.silent {
			if now.Sub(other.last) > forgetSilenceAfter {
				delete(r.silent, a)
			}
		}
		if len(r.silent) >= maxSilentRouters {
			return
		}
	}
	r.silent[address] = silence{min(s.count+1, maxSilences), now}
}

// recordAnswer records that a router has answered in time, and logs a change of the
// coordinator of a service. Only an answer makes a router the coordinator, so that the tries
// of a silent one are not logged.
func (r *routing) recordAnswer(address netip.AddrPort, service string, log zerolog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, address)
	previous, isKnown := r.coordinators[service]
	if isKnown && previous == address {
		return
	}
	if !isKnown && len(r.coordinators) >= maxRoutedServices {
		clear(r.coordinators)
	}
	r.coordinators[service] = address
	event := log.Info().Str("service", service).Stringer("to", address)
	if isKnown {
		event.Stringer("from", previous)
	}
	event.Msg("slot coordinator changed")
}
