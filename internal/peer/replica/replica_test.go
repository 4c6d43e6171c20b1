package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/api/peer/v1/peerv1connect"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/operator/status"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/standin/pipe"
	"hickoryrock/internal/standin/platform"
)

// oneWayLatency is the one-way latency between routers.
const oneWayLatency = time.Millisecond

type (
	// network carries calls between routers in memory and can disconnect routers.
	network struct {
		mu       sync.Mutex
		handlers map[string]http.Handler
		cut      map[string]bool
		traffic  map[string]*traffic
	}

	// traffic counts the calls of one router and their body bytes, both incoming and
	// outgoing.
	traffic struct{ calls, bytes int }

	// clientTransport is the HTTP transport of one router on the network.
	clientTransport struct {
		network *network
		name    string
	}

	// node is one router of a running fleet.
	node struct {
		*Replica
		stop func()
	}

	// fleet is a platform and its routers, run in a synctest bubble with a fake
	// clock.
	fleet struct {
		c             *qt.C
		server        *platform.Server
		platform      *http.Client
		platformCalls atomic.Int64
		// firstCalls maps each method and path that r0 called on the platform to the
		// sequence number of its first call.
		firstCalls sync.Map
		store      *objects.Client
		network    *network
		nodes      map[string]*node
	}
)

// RoundTrip implements http.RoundTripper.
func (t clientTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	n, to := t.network, req.URL.Hostname()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	n.mu.Lock()
	h := n.handlers[to]
	cut := n.cut[t.name] || n.cut[to] || h == nil
	n.mu.Unlock()
	if cut {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	time.Sleep(oneWayLatency)
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	time.Sleep(oneWayLatency)
	n.count(len(body)+rec.Body.Len(), t.name, to)
	return rec.Result(), nil
}

func (n *network) count(size int, names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		t := n.traffic[name]
		if t == nil {
			t = &traffic{}
			n.traffic[name] = t
		}
		t.calls++
		t.bytes += size
	}
}

// RoundTrip counts the calls from routers to the platform.
func (f *fleet) RoundTrip(req *http.Request) (*http.Response, error) {
	n := f.platformCalls.Add(1)
	if req.Header.Get(objects.ClientNameHeader) == "r0" {
		f.firstCalls.LoadOrStore(req.Method+" "+req.URL.Path, n)
	}
	return f.platform.Transport.RoundTrip(req)
}

// withFleet runs a test with a fleet of n routers in d failure domains.
func withFleet(t *testing.T, n, d int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		server := platform.New(platform.WithVMLag(time.Second))
		client, stop := pipe.Serve(server)
		defer stop()
		f := &fleet{c: qt.New(t), server: server, platform: client, nodes: map[string]*node{},
			network: &network{handlers: map[string]http.Handler{}, cut: map[string]bool{}, traffic: map[string]*traffic{}}}
		f.store, _ = objects.New(objects.WithBaseURLs("http://platform"), objects.WithHTTPClient(client))
		for i := range n {
			f.startRouter(fmt.Sprintf("r%d", i), fmt.Sprintf("d%d", i%d))
		}
		f.connectAll()
		defer func() {
			for _, r := range f.nodes {
				r.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		test(f)
	})
}

// startRouter starts one router with an empty configuration.
func (f *fleet) startRouter(name, domain string) *node {
	store, _ := objects.New(objects.WithBaseURLs("http://platform"), objects.WithName(name),
		objects.WithHTTPClient(&http.Client{Transport: f}))
	transport := &ConnectTransport{client: &http.Client{Transport: clientTransport{f.network, name}},
		clients: map[string]peerv1connect.ConfigurationServiceClient{}}
	self := Peer{Name: name, Address: name + ":1", FailureDomain: domain}
	r, _ := NewReplica(self, store, WithTransport(transport))
	_, h := r.Handler()
	f.network.mu.Lock()
	f.network.handlers[name] = h
	f.network.mu.Unlock()
	f.server.PutVM(objects.VM{Name: name, Role: "router", FailureDomain: domain, State: objects.VMLive})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	n := &node{Replica: r, stop: func() { cancel(); running.Wait() }}
	f.nodes[name] = n
	return n
}

// connectAll sets the peers of every router to all other routers.
func (f *fleet) connectAll() {
	for name, r := range f.nodes {
		var peers []Peer
		for other, n := range f.nodes {
			if other != name {
				peers = append(peers, n.state.self)
			}
		}
		r.SetPeers(peers)
	}
}

// createService creates a service and returns its version.
func (f *fleet) createService(name string) uint64 {
	return f.create(objects.Object{Key: objects.Key{Kind: resource.KindService, Name: name}, Data: serviceData(name, true)})
}

func (f *fleet) create(o objects.Object) uint64 {
	created, err := f.store.Create(context.Background(), o.Key, o.Data)
	f.c.Assert(err, qt.IsNil)
	return created.Version
}

// status reads the status object, or returns an empty status if it cannot be read.
func (f *fleet) status() status.Status {
	o, err := f.store.Get(context.Background(), status.Key())
	if err != nil {
		return status.Status{}
	}
	s, err := status.Decode(o.Data)
	f.c.Assert(err, qt.IsNil)
	return s
}

// waitInForce waits until a version is reported in force and returns how long that
// took. It fails the test after the required 5 s.
func (f *fleet) waitInForce(version uint64) time.Duration {
	started := time.Now()
	for f.status().InForce < version {
		f.c.Assert(time.Since(started) < convergenceTime, qt.IsTrue, qt.Commentf("%+v", f.status()))
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(started)
}

func (f *fleet) cut(name string, cut bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.cut[name] = cut
}

func TestInForce(t *testing.T) {
	t.Run("within 5 s and on every router", func(t *testing.T) {
		withFleet(t, 6, 3, func(f *fleet) {
			version := f.createService("a")
			f.waitInForce(version)
			for _, r := range f.nodes {
				f.c.Assert(r.CompleteVersion() >= version, qt.IsTrue)
			}
			f.c.Assert(f.status().Missing(), qt.HasLen, 0)
		})
	})

	t.Run("a router registers before it lists", func(t *testing.T) {
		withFleet(t, 1, 1, func(f *fleet) {
			registered, ok := f.firstCalls.Load("PUT /v1/objects/router/r0")
			f.c.Assert(ok, qt.IsTrue)
			for _, kind := range Kinds() {
				listed, ok := f.firstCalls.Load("GET /v1/objects/" + kind)
				f.c.Assert(ok && listed.(int64) > registered.(int64), qt.IsTrue)
			}
		})
	})

	t.Run("not while a router is isolated, which stops serving and is reported missing", func(t *testing.T) {
		withFleet(t, 6, 3, func(f *fleet) {
			f.cut("r1", true)
			f.server.SetFaults(platform.Faults{PartitionedClients: []string{"r1"}})
			version := f.createService("a")
			time.Sleep(2 * time.Second)
			f.c.Assert(f.nodes["r1"].Serving(), qt.IsTrue)
			time.Sleep(6 * time.Second)
			f.c.Assert(f.nodes["r1"].Serving(), qt.IsFalse)
			f.c.Assert(f.status().InForce < version, qt.IsTrue)
			f.c.Assert(f.status().Missing(), qt.DeepEquals, []string{"r1"})
			f.cut("r1", false)
			f.server.SetFaults(platform.Faults{})
			f.waitInForce(version)
			f.c.Assert(f.nodes["r1"].Serving(), qt.IsTrue)
		})
	})

	t.Run("when the first writer cannot reach the platform", func(t *testing.T) {
		withFleet(t, 6, 3, func(f *fleet) {
			first := f.nodes["r0"].state.roles.writers[0].Name
			f.server.SetFaults(platform.Faults{PartitionedClients: []string{first}})
			f.waitInForce(f.createService("a"))
		})
	})

	t.Run("without waiting for a stopped router", func(t *testing.T) {
		withFleet(t, 4, 2, func(f *fleet) {
			r := f.nodes["r2"]
			r.Stop(context.Background())
			time.Sleep(time.Second)
			r.stop()
			delete(f.nodes, "r2")
			f.connectAll()
			f.waitInForce(f.createService("a"))
		})
	})
}

func TestOutage(t *testing.T) {
	t.Run("a router replaced during a platform outage pulls the configuration from its peers", func(t *testing.T) {
		withFleet(t, 6, 3, func(f *fleet) {
			version := f.createService("a")
			f.waitInForce(version)
			f.server.SetFaults(platform.Faults{Down: true})
			time.Sleep(20 * time.Second)
			f.nodes["r3"].stop()
			r := f.startRouter("r3", "d0")
			f.connectAll()
			f.c.Assert(r.Serving(), qt.IsFalse)
			time.Sleep(3 * time.Second)
			f.c.Assert(r.Serving(), qt.IsTrue)
			f.c.Assert(r.CompleteVersion() >= version, qt.IsTrue)
			for _, n := range f.nodes {
				f.c.Assert(n.Serving(), qt.IsTrue)
			}
			f.server.SetFaults(platform.Faults{})
			time.Sleep(5 * time.Second)
			f.waitInForce(f.createService("b"))
		})
	})

	t.Run("routers that all restart during a platform outage do not serve", func(t *testing.T) {
		withFleet(t, 2, 1, func(f *fleet) {
			f.waitInForce(f.createService("a"))
			f.server.SetFaults(platform.Faults{Down: true})
			for _, name := range []string{"r0", "r1"} {
				f.nodes[name].stop()
				f.startRouter(name, "d0")
			}
			f.connectAll()
			time.Sleep(time.Minute)
			f.c.Assert(f.nodes["r0"].Serving() || f.nodes["r1"].Serving(), qt.IsFalse)
		})
	})

	t.Run("relay restarts, a watch gap and lost replies only delay a change", func(t *testing.T) {
		withFleet(t, 8, 2, func(f *fleet) {
			relays := f.nodes["r0"].state.roles.relays
			for _, p := range relays {
				if p.Name == "r0" {
					continue
				}
				f.nodes[p.Name].stop()
				f.nodes[p.Name] = f.startRouter(p.Name, p.FailureDomain)
			}
			f.connectAll()
			f.server.SetFaults(platform.Faults{WatchGap: true})
			version := f.createService("a")
			f.server.SetFaults(platform.Faults{LoseReplies: 2})
			time.Sleep(5 * time.Second)
			for _, r := range f.nodes {
				f.c.Assert(r.CompleteVersion() >= version, qt.IsTrue)
			}
			f.waitInForce(version)
		})
	})
}

// withLoopback runs a test with one replica served over a real TCP connection.
func withLoopback(c *qt.C, test func(c *qt.C, r *Replica, transport *ConnectTransport, to Peer)) {
	r, cleanup := NewReplica(Peer{Name: "r0", FailureDomain: "a"}, nil)
	defer cleanup()
	mux := http.NewServeMux()
	mux.Handle(r.Handler())
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	transport, closeTransport := NewConnectTransport()
	defer closeTransport()
	test(c, r, transport, Peer{Name: "r0", Address: server.Listener.Addr().String()})
}

func TestConnectTransport(t *testing.T) {
	withLoopback(qt.New(t), func(c *qt.C, r *Replica, transport *ConnectTransport, to Peer) {
		c.Run("a large push arrives complete and compressed", func(c *qt.C) {
			data := slices.Concat([]byte(`{"name":"x","protocol":"chat","model":"m"`), bytes.Repeat([]byte(" "), 100_000), []byte("}"))
			before := controlBytes.Get()
			resp, err := transport.Push(c.Context(), to, &peerv1.PushRequest{CompleteVersion: 7, Objects: []*peerv1.Object{
				{Kind: resource.KindService, Name: "x", Version: 7, Data: data}}})
			c.Assert(err, qt.IsNil)
			c.Assert(resp.GetCompleteVersion(), qt.Equals, uint64(7))
			c.Assert(r.Resources(), qt.HasLen, 1)
			cost := controlBytes.Get() - before
			c.Assert(cost > 0 && cost < 50_000, qt.IsTrue, qt.Commentf("%d bytes", cost))
		})

		c.Run("a pull and an acknowledgement", func(c *qt.C) {
			pulled, err := transport.Pull(c.Context(), to, &peerv1.PullRequest{Requester: "r1"})
			c.Assert(err, qt.IsNil)
			c.Assert(pulled.GetObjects(), qt.HasLen, 1)
			ack, err := transport.Acknowledge(c.Context(), to, &peerv1.AcknowledgeRequest{Sender: "r1"})
			c.Assert(err, qt.IsNil)
			c.Assert(ack.GetCompleteVersion(), qt.Equals, uint64(7))
		})
	})
}
