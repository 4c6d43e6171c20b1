package storewatch

import (
	"cmp"
	"slices"
	"time"

	"hickoryrock/internal/fleet/state"
	"hickoryrock/platform"
)

const (
	// MaxEvacuatedDomains bounds the failure domains that other routers are told of, so that they
	// fit into a beacon.
	MaxEvacuatedDomains = 32
	// maxEvacuationEntries bounds those that this router reads from the store.
	maxEvacuationEntries = 4096
)

type (
	// Evacuations is the set of the failure domains that operators have evacuated, as of a
	// revision of the store. It is immutable once published.
	Evacuations struct {
		Revision state.Revision
		// Domains are sorted by name.
		Domains []Evacuation
		// provisional is set if the revision cannot be compared with others: the set is from a
		// cached list, which may be older than the era that it states.
		provisional bool
	}

	// Evacuation is an evacuated failure domain.
	Evacuation struct {
		Domain string
		// Since is when this router learned of it. It is zero if the domain was evacuated when
		// this router got to know its first set: the evacuation may have begun long before.
		Since time.Time
	}
)

// Names returns the names of the failure domains.
func (e Evacuations) Names() []string {
	names := make([]string, len(e.Domains))
	for i, d := range e.Domains {
		names[i] = d.Domain
	}
	return names
}

// NamesForPeers returns the names that other routers are told, MaxEvacuatedDomains at most: failure
// domains of listed targets come first, so that entries with other names never displace them.
func (e Evacuations) NamesForPeers(targets *state.Targets) []string {
	names := e.Names()
	if len(names) <= MaxEvacuatedDomains {
		return names
	}
	counts := targetsByDomain(targets)
	slices.SortStableFunc(names, func(a, b string) int { return -cmp.Compare(min(counts[a], 1), min(counts[b], 1)) })
	return names[:MaxEvacuatedDomains]
}

// find returns the evacuation of a failure domain, or false.
func (e *Evacuations) find(domain string) (Evacuation, bool) {
	if e == nil {
		return Evacuation{}, false
	}
	i, ok := slices.BinarySearchFunc(e.Domains, domain, func(d Evacuation, name string) int { return cmp.Compare(d.Domain, name) })
	if !ok {
		return Evacuation{}, false
	}
	return e.Domains[i], true
}

// Evacuations returns the failure domains that operators have evacuated. It returns false if
// this router does not know them, as before the first answer of the store or of another router,
// or does not have to.
func (w *Watcher) Evacuations() (Evacuations, bool) {
	e := w.evacuations.Load()
	if e == nil {
		return Evacuations{}, false
	}
	return *e, !e.provisional
}

// ApplyEvacuations replaces the set of evacuated failure domains by that of another router, from,
// unless this router has one of the same revision or a later one.
func (w *Watcher) ApplyEvacuations(revision state.Revision, domains []string, from string) {
	if w.evacuationWait == 0 {
		return
	}
	if known, ok := w.Evacuations(); ok && !known.Revision.Before(revision) {
		return // Most beacons carry what is known, so that the lock is not taken.
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known, ok := w.Evacuations(); ok && !known.Revision.Before(revision) {
		return
	}
	w.replaceEvacuations(Evacuations{Revision: revision}, domains, from)
}

// TakeEvacuations returns the set of evacuated failure domains if other routers should be told
// of it now, because the store has just changed it.
func (w *Watcher) TakeEvacuations() (Evacuations, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuationSendsLeft == 0 {
		return Evacuations{}, false
	}
	w.evacuationSendsLeft--
	return w.Evacuations()
}

// listEvacuations applies a list of the store. It returns false if the list is older than the
// known set. The set of a provisional list only applies as long as there is none.
func (w *Watcher) listEvacuations(page platform.Page, provisional bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.Evacuations()
	switch {
	case provisional && ok:
		return true
	case ok && page.Revision.Before(known.Revision):
		return false
	}
	domains, skipped := make([]string, 0, len(page.Objects)), 0
	for _, o := range page.Objects {
		name, valid := platform.DecodeEvacuation(o)
		switch {
		case !valid:
			skipped++
		case !o.Deleted:
			domains = append(domains, name)
		}
	}
	w.logSkippedEvacuations(skipped)
	w.replaceEvacuations(Evacuations{Revision: page.Revision, provisional: provisional}, domains, originStore)
	return true
}

// changeEvacuations applies the changes that a watch returned, which are all of those after a
// revision that is not later than the known one. It drops them if they are older than the known
// set.
func (w *Watcher) changeEvacuations(page platform.Page) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.Evacuations()
	if !ok || page.Revision.Before(known.Revision) {
		return
	}
	domains := known.Names()
	for _, o := range page.Objects {
		name, valid := platform.DecodeEvacuation(o)
		if !valid {
			continue // The next list logs it.
		}
		domains = slices.DeleteFunc(domains, func(d string) bool { return d == name })
		if !o.Deleted {
			domains = append(domains, name)
		}
	}
	w.replaceEvacuations(Evacuations{Revision: page.Revision}, domains, originStore)
}

// logSkippedEvacuations logs how many entries of a list name no failure domain, unless as many did
// before: lists are made every few seconds. w.mu must be held.
func (w *Watcher) logSkippedEvacuations(n int) {
	if n != w.evacuationsSkipped {
		w.evacuationsSkipped = n
		w.log.Warn().Int("entries", n).Msg("entries of evacuations skipped that name no failure domain")
	}
}

// replaceEvacuations publishes a set with the given failure domains. Those that were evacuated
// before keep their time. The log names the origin of the set, from. w.mu must be held.
func (w *Watcher) replaceEvacuations(set Evacuations, domains []string, from string) {
	old := w.evacuations.Load()
	since := time.Now()
	if old == nil || old.provisional {
		since = time.Time{}
	}
	for _, name := range w.normalizeDomains(domains) {
		e, ok := old.find(name)
		if !ok {
			e = Evacuation{Domain: name, Since: since}
		}
		set.Domains = append(set.Domains, e)
	}
	w.evacuations.Store(&set)
	if !w.logEvacuations(old, &set, from) {
		return
	}
	w.publishTargets()
	if from == originStore && old != nil && !old.provisional {
		w.evacuationSendsLeft = announcementSends - 1
		w.onChange(nil) // Sends the first one.
	}
}

// normalizeDomains returns the valid names, sorted and without repetitions, and
// maxEvacuationEntries of them at most. w.mu must be held.
func (w *Watcher) normalizeDomains(domains []string) []string {
	domains = slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return d == "" || len(d) > platform.MaxDomainBytes })
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if len(domains) > MaxEvacuatedDomains && len(domains) != w.evacuationsFound {
		w.evacuationsFound = len(domains)
		w.log.Warn().Int("domains", len(domains)).Int("limit", MaxEvacuatedDomains).Msg("too many evacuated failure domains")
	}
	return domains[:min(len(domains), maxEvacuationEntries)]
}

// logEvacuations logs the differences between two sets and reports whether there are any. w.mu
// must be held.
func (w *Watcher) logEvacuations(old, set *Evacuations, from string) bool {
	var targets map[string]int
	log := func(domain, message string) {
		if targets == nil {
			targets = targetsByDomain(w.View().Targets)
		}
		w.log.Info().Str("domain", domain).Stringer("revision", set.Revision).Str("from", from).
			Int("targets", targets[domain]).Msg(message)
	}
	for _, e := range set.Domains {
		if _, ok := old.find(e.Domain); !ok {
			log(e.Domain, "failure domain evacuated")
		}
	}
	if old != nil {
		for _, e := range old.Domains {
			if _, ok := set.find(e.Domain); !ok {
				log(e.Domain, "failure domain in use again")
			}
		}
	}
	return targets != nil
}

// targetsByDomain returns the number of listed targets of each failure domain.
func targetsByDomain(targets *state.Targets) map[string]int {
	counts := make(map[string]int)
	for _, list := range targets.ByService {
		for _, t := range list {
			counts[t.FailureDomain]++
		}
	}
	return counts
}
