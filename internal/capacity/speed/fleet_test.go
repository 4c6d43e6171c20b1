// Package speed measures the latency and memory that one router adds to calls of
// the stand-in engine, and its throughput. The tests run and print the results
// only with -measure.
package speed

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"hickoryrock/internal/node/router"
	"hickoryrock/internal/node/settings"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/engine"
	"hickoryrock/internal/standin/platform"
	"hickoryrock/internal/testing/ports"
)

const (
	token = "speed-token"
	// fastModel is served by an engine without delays, pacedModel by an engine that
	// generates a token every tokenTime, the required rate.
	fastModel  = "fast"
	pacedModel = "steady"

	domain      = "a"
	slots       = 4096
	cacheTokens = 1 << 20
	// retainTime is how long an engine keeps answers that are complete or that have no
	// reader.
	retainTime   = 300 * time.Millisecond
	loadFloor    = 100_000
	tokenTime    = 57 * time.Millisecond
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	keepAddress  = 100 * time.Millisecond
)

// fleet is one router, two engines and a stand-in platform, all in this process.
type fleet struct {
	*qt.C
	router  string
	engines map[string]string
	http    *http.Client
}

// newFleet starts a fleet and returns it when both models are served.
func newFleet(t *testing.T) *fleet {
	f := &fleet{C: qt.New(t), engines: map[string]string{}}
	f.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}}
	f.Cleanup(f.http.CloseIdleConnections)
	f.startEngine(fastModel, 0)
	f.startEngine(pacedModel, tokenTime)
	server := httptest.NewServer(platform.New(platform.WithVMLag(0)))
	f.Cleanup(server.Close)
	store, stop := objects.New(objects.WithBaseURLs(server.URL))
	f.Cleanup(stop)
	for _, r := range f.resources() {
		data, err := json.Marshal(r)
		f.Assert(err, qt.IsNil)
		f.Assert(r.Validate(), qt.IsNil)
		_, err = store.Create(f.Context(), r.Key(), data)
		f.Assert(err, qt.IsNil)
	}
	f.startRouter(server.URL)
	for model := range f.engines {
		f.waitUntilServed(model)
	}
	return f
}

func (f *fleet) startEngine(model string, tokenTime time.Duration) {
	e, stop := engine.New(engine.WithOptions(engine.Options{
		Name: "engine-" + model, Slots: slots, TokenTime: tokenTime, CacheTokens: cacheTokens,
		ResumeGrace: retainTime, Retain: retainTime, Heartbeat: time.Second, Models: []string{model},
	}))
	f.Cleanup(stop)
	server := httptest.NewServer(e.Handler())
	f.Cleanup(server.CloseClientConnections)
	f.engines[model] = server.Listener.Addr().String()
}

func (f *fleet) resources() []resource.Resource {
	sum := sha256.Sum256([]byte(token))
	list := []resource.Resource{&resource.Workspace{
		Name: "w1", TokenSHA256: hex.EncodeToString(sum[:]), Services: []string{fastModel, pacedModel},
	}}
	for model, address := range f.engines {
		list = append(list,
			&resource.Service{Name: model, Protocol: resource.ProtocolChat, Model: model},
			&resource.ModelDeployment{Name: model + "-a", Service: model, Model: model, Version: "v1", Targets: []resource.Target{
				{Name: "engine-" + model, Address: address, FailureDomain: domain},
			}},
			&resource.TrafficPolicy{Name: model, Service: model, LoadFloor: loadFloor})
	}
	return list
}

// startRouter runs the router until the test ends.
func (f *fleet) startRouter(platformURL string) {
	s := settings.Default()
	s.Name, s.FailureDomain = "router-1", domain
	s.Listen = settings.Listen{Callers: ports.FreeAddress(f), Peers: ports.FreeAddress(f), Admin: ports.FreeAddress(f)}
	s.Platform.Addresses = []string{platformURL}
	s.Callers.KeepAddress = keepAddress
	s.Drain.Timeout = time.Second
	r, stop, err := router.New(s, zerolog.Nop())
	f.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	f.Cleanup(func() {
		cancel()
		f.Check(<-done, qt.IsNil)
		stop()
	})
	f.router = s.Listen.Callers
}

// waitUntilServed waits until the router serves chat requests for a model: a new
// owner grants permits for a target only after the target's contest has ended.
func (f *fleet) waitUntilServed(model string) {
	status := 0
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := f.post(f.Context(), f.router, model, 1, false)
		if err != nil {
			continue
		}
		status = resp.StatusCode
		_ = resp.Body.Close()
		if status == http.StatusOK {
			return
		}
	}
	f.Fatalf("model %s is not served: status %d", model, status)
}

// post sends a chat request for an answer with the given number of tokens.
func (f *fleet) post(ctx context.Context, address, model string, tokens int, streamed bool) (*http.Response, error) {
	body, err := json.Marshal(engine.ChatRequest{
		Model: model, Stream: streamed,
		Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("length=%d", tokens)}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	return f.http.Do(req)
}
