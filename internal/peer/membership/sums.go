package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "hickoryrock/api/peer/v1"
)

const (
	// relaysPerDomain is the number of routers of a failure domain that receive all
	// its reports.
	relaysPerDomain = 2
	// minReportInterval is the minimum time between two reports of a router.
	minReportInterval = time.Second
	// reportFraction is the fraction of the byte cap that a relay's incoming reports
	// may use.
	reportFraction = 0.5
	// sumRetransmits is how often a router forwards each sum of a failure domain.
	sumRetransmits = 4
	// staleIntervals is the age, in report intervals, above which a report or a sum
	// is ignored.
	staleIntervals = 10
)

type (
	// Load is the load of one service, summed over some of its targets.
	Load struct {
		Service string
		// Units is the load in load units.
		Units uint64
		// Targets is the number of targets in the sum.
		Targets uint32
	}

	// Total is the load of a service over the whole fleet.
	Total struct {
		Load
		// Age is the age of the oldest sum included in the total.
		Age time.Duration
	}

	sums struct {
		ownLoads   []*peerv1.LoadSum
		reports    map[string]report
		domains    map[string]*domainSum
		nextReport time.Time
		sequence   uint64
	}

	// report holds the loads that a router of the failure domain sent to this relay.
	report struct {
		loads      []*peerv1.LoadSum
		receivedAt time.Time
	}

	// domainSum is the sum of the loads of a failure domain.
	domainSum struct {
		message *peerv1.DomainSum
		// measuredAt is when the oldest report in the sum arrived at its relay, by
		// the local clock.
		measuredAt     time.Time
		remainingSends int
	}
)

func newSums() sums {
	return sums{reports: make(map[string]report), domains: make(map[string]*domainSum)}
}

func (s *sums) removeReport(name string) { delete(s.reports, name) }

// SetLoads sets the loads, by service, of the targets that this router owns.
func (d *Detector) SetLoads(loads []Load) {
	d.sums.ownLoads = make([]*peerv1.LoadSum, 0, len(loads))
	for _, l := range loads {
		d.sums.ownLoads = append(d.sums.ownLoads, &peerv1.LoadSum{Service: l.Service, Load: l.Units, Targets: l.Targets})
	}
}

// Totals returns the load of each service over the fleet, sorted by service.
func (d *Detector) Totals(now time.Time) []Total {
	byService := make(map[string]Total)
	for _, s := range d.sums.domains {
		if d.isStale(now, s) {
			continue
		}
		addTotals(byService, s.message.GetLoads(), now.Sub(s.measuredAt))
	}
	if s, ok := d.sums.domains[d.self.FailureDomain]; !ok || d.isStale(now, s) {
		addTotals(byService, d.sums.ownLoads, 0)
	}
	totals := make([]Total, 0, len(byService))
	for _, t := range byService {
		totals = append(totals, t)
	}
	slices.SortFunc(totals, func(a, b Total) int { return strings.Compare(a.Service, b.Service) })
	return totals
}

func addTotals(byService map[string]Total, loads []*peerv1.LoadSum, age time.Duration) {
	for _, l := range loads {
		t := byService[l.GetService()]
		t.Service = l.GetService()
		t.Units += l.GetLoad()
		t.Targets += l.GetTargets()
		t.Age = max(t.Age, age)
		byService[t.Service] = t
	}
}

// tickSums sends the router's report to the relays of its failure domain and, on
// the first relay, publishes the domain's sum.
func (d *Detector) tickSums(now time.Time) []Packet {
	if now.Before(d.sums.nextReport) {
		return nil
	}
	relays, routers := d.relays(d.self.FailureDomain)
	d.sums.nextReport = now.Add(d.reportInterval(routers))
	if len(d.sums.ownLoads) == 0 && len(d.sums.reports) == 0 {
		return nil
	}
	d.sums.reports[d.self.Name] = report{loads: d.sums.ownLoads, receivedAt: now}
	if len(relays) > 0 && relays[0].Name == d.self.Name {
		d.publishSum(now)
	}
	var out []Packet
	for _, m := range relays {
		if m.Name != d.self.Name && len(d.sums.ownLoads) > 0 {
			out = append(out, d.buildPacket(now, m.PeerAddress, peerv1.Probe_KIND_REPORT, 0, "")...)
		}
	}
	return out
}

// relays returns the relays of a failure domain, chosen by rendezvous hashing, and
// the number of its live routers.
func (d *Detector) relays(domain string) ([]Member, int) {
	var live []Member
	for _, m := range d.View().Live {
		if m.FailureDomain == domain {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(relayRank(b), relayRank(a)), strings.Compare(a.Name, b.Name))
	})
	return live[:min(relaysPerDomain, len(live))], len(live)
}

func relayRank(m Member) uint64 {
	return xxhash.Sum64String(m.FailureDomain + "/" + m.Name)
}

// reportInterval returns the time between two reports. It grows with the number of
// routers in the failure domain, so that a relay's incoming bytes do not.
func (d *Detector) reportInterval(routers int) time.Duration {
	size := headerBytes + 2*len(d.self.Name) + binary.MaxVarintLen64*2
	for _, l := range d.sums.ownLoads {
		size += fieldSize(l)
	}
	perSecond := reportFraction * float64(d.options.bytesPerSecond)
	seconds := float64(routers*size) / perSecond
	return max(minReportInterval, time.Duration(seconds*float64(time.Second)))
}

// publishSum replaces the sum of the router's failure domain with the sum of its
// reports that are not stale.
func (d *Detector) publishSum(now time.Time) {
	interval := d.sums.nextReport.Sub(now)
	oldest := now
	byService := make(map[string]Total)
	for name, r := range d.sums.reports {
		if now.Sub(r.receivedAt) > staleIntervals*interval {
			delete(d.sums.reports, name)
			continue
		}
		if r.receivedAt.Before(oldest) {
			oldest = r.receivedAt
		}
		addTotals(byService, r.loads, 0)
	}
	m := &peerv1.DomainSum{FailureDomain: d.self.FailureDomain, Relay: d.self.Name}
	for _, t := range byService {
		m.Loads = append(m.Loads, &peerv1.LoadSum{Service: t.Service, Load: t.Units, Targets: t.Targets})
	}
	slices.SortFunc(m.Loads, func(a, b *peerv1.LoadSum) int { return strings.Compare(a.GetService(), b.GetService()) })
	d.sums.sequence = max(d.sums.sequence+1, uint64(now.UnixMilli()))
	m.Sequence = d.sums.sequence
	d.sums.domains[d.self.FailureDomain] = &domainSum{message: m, measuredAt: oldest, remainingSends: sumRetransmits}
}

// receiveSums stores the report and the domain sums that a packet carries.
func (d *Detector) receiveSums(now time.Time, p *peerv1.Probe) {
	if e, ok := d.members[p.GetSender()]; ok && len(p.GetLoads()) > 0 && e.FailureDomain == d.self.FailureDomain {
		d.sums.reports[e.Name] = report{loads: p.GetLoads(), receivedAt: now}
	}
	for _, m := range p.GetDomainSums() {
		s := &domainSum{
			message:        m,
			measuredAt:     now.Add(-time.Duration(m.GetAgeMilliseconds()) * time.Millisecond),
			remainingSends: sumRetransmits,
		}
		if m.GetRelay() != d.self.Name && d.shouldReplace(now, s) {
			d.sums.domains[m.GetFailureDomain()] = s
		}
	}
}

// shouldReplace reports whether a received sum replaces the stored one of its domain.
func (d *Detector) shouldReplace(now time.Time, s *domainSum) bool {
	stored, ok := d.sums.domains[s.message.GetFailureDomain()]
	if !ok || d.isStale(now, stored) {
		return !d.isStale(now, s)
	}
	if stored.message.GetRelay() == s.message.GetRelay() {
		return s.message.GetSequence() > stored.message.GetSequence()
	}
	return s.measuredAt.Sub(stored.measuredAt) > minReportInterval
}

func (d *Detector) isStale(now time.Time, s *domainSum) bool {
	_, routers := d.relays(s.message.GetFailureDomain())
	return now.Sub(s.measuredAt) > staleIntervals*d.reportInterval(routers)
}

// addSums piggybacks domain sums and returns the bytes still available.
func (d *Detector) addSums(now time.Time, p *peerv1.Probe, available int) int {
	due := make([]*domainSum, 0, len(d.sums.domains))
	for _, s := range d.sums.domains {
		if s.remainingSends > 0 {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *domainSum) int {
		return cmp.Or(
			cmp.Compare(b.remainingSends, a.remainingSends),
			strings.Compare(a.message.GetFailureDomain(), b.message.GetFailureDomain()),
		)
	})
	for _, s := range due {
		m := &peerv1.DomainSum{
			FailureDomain:   s.message.GetFailureDomain(),
			Relay:           s.message.GetRelay(),
			Sequence:        s.message.GetSequence(),
			AgeMilliseconds: uint64(max(0, now.Sub(s.measuredAt)).Milliseconds()),
			Loads:           s.message.GetLoads(),
		}
		n := fieldSize(m)
		if n > available {
			continue
		}
		p.DomainSums = append(p.DomainSums, m)
		s.remainingSends--
		available -= n
	}
	return available
}
