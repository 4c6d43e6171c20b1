package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	host       = "ficu95.example"
	chatPath   = "/lohu930/"
	service    = "dele69a"
	key        = "n2ctnfzs989anu6wsjnb"
	tenantPart = "5c1e07a2"
	topicPart  = "b7720d5e"
	poisonPart = "91bd3f06"

	// contactTime is contact_ms of the settings.
	contactTime = 3 * time.Second
	// excuseCrashes is the number of the crash from which the rule counts.
	excuseCrashes = 5
	// minSound is the number of sound requests that LOST needs in each period, maxPoison the number of
	// requests with the part that BUDGET allows.
	minSound  = 20
	maxPoison = 3

	ruleLost   = "LOST"
	ruleBudget = "BUDGET"

	poisonPrefix = "poison-"
)

type (
	// poisonPlan describes a run in which a prompt part crashes engines.
	poisonPlan struct {
		// rule is the rule that is checked: ruleLost or ruleBudget.
		rule           string
		engines        int
		prefill        time.Duration
		downTime       time.Duration
		sendsHeadFirst bool
		// soundPeriod is the time between groups of soundGroup sound requests.
		soundPeriod time.Duration
		soundGroup  int
		// usualTime is the time before the first request with the part, judgedTime that which is judged.
		usualTime, judgedTime time.Duration
		// burst requests with the part come burstGap apart, then one each poisonPeriod.
		burst                  int
		burstGap, poisonPeriod time.Duration
	}

	// poisonRun is the state of such a run.
	poisonRun struct {
		poisonPlan
		record *record
		fleet  *fleet

		mu      sync.Mutex
		crashes []time.Time
		// begun holds when an engine has begun to work on a request.
		begun map[string]time.Time
		sound []soundRequest
	}

	soundRequest struct {
		answer
		id     string
		sentAt time.Time
	}
)

// runPoison plays the plan and returns the exit status.
func runPoison(r *record, trouble bool, plan poisonPlan) (int, error) {
	route := platformtest.ChatRoute(host, "chat", chatPath, service, 6*time.Second)
	configuration := platformtest.DeploymentConfiguration(1, "hule930", []string{key},
		[]map[string]any{platformtest.EngineService(service)}, []map[string]any{route})
	f, stop, err := newFleet(r, configuration)
	if err != nil {
		return exitUnable, err
	}
	defer stop()
	p := &poisonRun{poisonPlan: plan, record: r, fleet: f, begun: make(map[string]time.Time)}
	for i := range plan.engines {
		e := &engine{
			record: r, store: f.store, service: service, domain: domains[i%len(domains)], number: i + 1, prefill: plan.prefill,
			downTime: plan.downTime, sendsHeadFirst: plan.sendsHeadFirst, poison: poisonPart, onRun: p.recordRun, onCrash: p.recordCrash,
		}
		if err := e.run(); err != nil {
			return exitUnable, err
		}
		defer e.close()
	}
	if err := f.start(); err != nil {
		return exitUnable, err
	}
	time.Sleep(2 * time.Second)
	return p.play(trouble)
}

func (p *poisonRun) play(trouble bool) (int, error) {
	started := time.Now()
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { p.sendSound(end) })
	time.Sleep(p.usualTime)
	firstPoison := time.Now()
	if trouble {
		group.Go(func() { p.sendPoison(end) })
	}
	time.Sleep(p.burstGap*time.Duration(p.burst) + 2*contactTime + p.judgedTime)
	close(end)
	group.Wait()
	return p.judge(started, firstPoison, trouble)
}

// sendSound sends groups of sound requests, which share the tenant's part and the topic's.
func (p *poisonRun) sendSound(end <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(p.soundPeriod)
	defer ticker.Stop()
	for first := 1; ; first += p.soundGroup {
		for n := first; n < first+p.soundGroup; n++ {
			group.Go(func() { p.sendOneSound(n) })
		}
		select {
		case <-end:
			return
		case <-ticker.C:
		}
	}
}

func (p *poisonRun) sendOneSound(n int) {
	id, at := fmt.Sprintf("sound-%d", n), time.Now()
	a := call(p.record, p.address(n), p.request(id, topicPart))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, soundRequest{a, id, at})
}

// sendPoison sends requests with the part that crashes engines. They share the other parts and the
// key with the sound ones, and come at all routers.
func (p *poisonRun) sendPoison(end <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s%d", poisonPrefix, n)
		group.Go(func() { call(p.record, p.address(n), p.request(id, poisonPart)) })
		pause := p.burstGap
		if n >= p.burst {
			pause = p.poisonPeriod
		}
		select {
		case <-end:
			return
		case <-time.After(pause):
		}
	}
}

func (p *poisonRun) address(n int) string { return p.fleet.routers[n%len(p.fleet.routers)].address }

func (p *poisonRun) request(id, second string) platformtest.CallerRequest {
	return platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Host: host, Path: chatPath, Key: key, Body: "prompt", Deadline: 6 * time.Second,
		Parts: fmt.Sprintf("%s:800,%s:410,%s:250", tenantPart, second, id),
	}
}

func (p *poisonRun) recordRun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun[id] = time.Now()
}

func (p *poisonRun) recordCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}
