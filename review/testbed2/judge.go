package main

import (
	"errors"
	"strings"
	"time"
)

// judge applies the rule of the plan to what the engines and the callers have seen.
func (p *poisonRun) judge(started, firstPoison time.Time, trouble bool) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if trouble && len(p.crashes) < excuseCrashes {
		return exitUnable, errors.New("fewer than five engines have crashed")
	}
	// Without the disruption, the same periods are judged as if the fifth crash came at once.
	fifth := firstPoison
	if trouble {
		fifth = p.crashes[excuseCrashes-1]
	}
	p.fleet.recordLogs("prompt part quarantined", 1)
	p.record.add("%d crashes of engines", len(p.crashes))
	status, err := p.judgeLost(started, firstPoison, fifth.Add(2*contactTime))
	if p.rule == ruleBudget && err == nil {
		status = p.judgeBudget(fifth.Add(contactTime))
	}
	switch {
	case err != nil:
	case status == exitBroken:
		p.record.add("%s is broken", p.rule)
	default:
		p.record.add("%s holds", p.rule)
	}
	return status, err
}

// judgeLost checks that from 2 x contact_ms after the fifth crash at least half as many sound requests
// begin as before the first request with the part.
func (p *poisonRun) judgeLost(started, firstPoison, from time.Time) (int, error) {
	usual, usualBegun := p.countSound(started, firstPoison)
	judged, judgedBegun := p.countSound(from, time.Now())
	p.record.add("sound requests before the first request with the part: %d of %d begun", usualBegun, usual)
	p.record.add("sound requests from 2 x contact_ms after the fifth crash: %d of %d begun", judgedBegun, judged)
	outcomes := make(map[string]int)
	for _, s := range p.sound {
		if s.sentAt.Before(from) {
			continue
		}
		outcomes[s.String()]++
		if s.status/100 == 4 && outcomes[s.String()] == 1 {
			p.record.add("the router says to %s: %s", s.id, strings.TrimSpace(string(s.body)))
		}
	}
	for outcome, n := range outcomes {
		p.record.add("%d of the latter get: %s", n, outcome)
	}
	switch {
	case usual < minSound || judged < minSound:
		return exitUnable, errors.New("too few sound requests")
	case 2*judgedBegun*usual < usualBegun*judged:
		return exitBroken, nil
	}
	return exitHeld, nil
}

// countSound returns the number of sound requests that were sent in a period, and of those that an
// engine has begun to work on.
func (p *poisonRun) countSound(from, to time.Time) (sent, begun int) {
	for _, s := range p.sound {
		if s.sentAt.Before(from) || s.sentAt.After(to) {
			continue
		}
		sent++
		if !p.begun[s.id].IsZero() {
			begun++
		}
	}
	return sent, begun
}

// judgeBudget checks that at most three requests with the part reach engines from contact_ms after the
// fifth crash.
func (p *poisonRun) judgeBudget(from time.Time) int {
	reached := 0
	for id, at := range p.begun {
		if strings.HasPrefix(id, poisonPrefix) && at.After(from) {
			reached++
		}
	}
	lost := 0
	for _, s := range p.sound {
		if s.sentAt.After(from) && !p.begun[s.id].IsZero() && (!s.whole || s.status/100 != 2) {
			lost++
		}
	}
	p.record.add("requests with the part that reached engines from contact_ms after the fifth crash: %d", reached)
	p.record.add("sound requests of that time that an engine had begun and that got no whole answer: %d", lost)
	if reached > maxPoison {
		return exitBroken
	}
	return exitHeld
}
