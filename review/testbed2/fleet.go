package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	program = "target/hickoryrock"
	region  = "jylland"
	// routerCount is the number of routers.
	routerCount = 4

	readyTimeout = 10 * time.Second
)

// domains are the failure domains of the routers and the targets.
var domains = []string{"vejle-a", "vejle-b", "horsens", "fredericia"}

type (
	// fleet is a store and the router processes that use it.
	fleet struct {
		record   *record
		store    *platformtest.Store
		server   *httptest.Server
		dir      string
		settings platformtest.RouterSettings
		routers  []*router
	}

	router struct {
		name, ip string
		// address is where callers connect.
		address string
		path    string
		// settings are those of the first start.
		settings platformtest.RouterSettings
		cmd      *exec.Cmd
		exited   chan struct{}
	}
)

// newFleet starts a store with a configuration. The returned function ends all processes.
func newFleet(r *record, configuration string) (*fleet, func(), error) {
	dir, err := os.MkdirTemp("", "hickoryrock-review-")
	if err != nil {
		return nil, nil, fmt.Errorf("create a folder for settings: %w", err)
	}
	f := &fleet{record: r, store: platformtest.NewStore(), dir: dir}
	f.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, configuration)
	f.server = httptest.NewServer(f.store)
	return f, f.close, nil
}

// serveFrom lets the store be served from replicas, of which one lags. The returned function ends them.
func (f *fleet) serveFrom(lag time.Duration) func() {
	f.server.Close()
	handler, end := newReplicas(f.store, lag)
	f.server = httptest.NewServer(handler)
	return end
}

// restart starts the process of a router that has ended, with the settings of a later start.
func (f *fleet) restart(r *router) error {
	s := r.settings
	s.Bootstrap = false
	if err := os.WriteFile(r.path, s.Encode(), 0o600); err != nil {
		return fmt.Errorf("settings of %q: %w", r.name, err)
	}
	return f.run(r)
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	f.server.CloseClientConnections()
	f.server.Close()
	_ = os.RemoveAll(f.dir)
}

// start starts routers on loopback addresses of this run and waits until all are ready.
func (f *fleet) start() error {
	pid := os.Getpid()
	network := fmt.Sprintf("127.%d.%d", 64+pid>>8&63, pid&255)
	ports, err := freePorts(network+".1", 5)
	if err != nil {
		return err
	}
	f.settings = platformtest.RouterSettings{
		Region: region, Domains: domains, CallerPort: ports[0], ReadyPort: ports[1], ControlPort: ports[2], LookupPort: ports[3],
		PeerPort: ports[4], Bootstrap: true, Store: strings.TrimPrefix(f.server.URL, "http://"), Seeds: []string{network + ".1", network + ".2"},
	}
	for i := range routerCount {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", network, i+1)}
		r.address = fmt.Sprintf("%s:%d", r.ip, ports[0])
		r.path = filepath.Join(f.dir, r.name+".json")
		s := f.settings
		s.Name, s.IP, s.Domain = r.name, r.ip, domains[i%len(domains)]
		r.settings = s
		if err := os.WriteFile(r.path, s.Encode(), 0o600); err != nil {
			return fmt.Errorf("settings of %q: %w", r.name, err)
		}
		f.routers = append(f.routers, r)
		if err := f.run(r); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// run starts the process of a router.
func (f *fleet) run(r *router) error {
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %q: %w", r.name, err)
	}
	cmd := exec.CommandContext(context.Background(), program, "edge")
	cmd.Env = append(os.Environ(), "HICKORYROCK_SETTINGS="+r.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := processes.start(cmd); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %q: %w", r.name, err)
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	f.record.add("router %s starts at %s", r.name, r.address)
	return nil
}

func (f *fleet) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if f.isReady(r) {
				ready++
			}
		}
		if ready == len(f.routers) {
			return nil
		}
	}
	return fmt.Errorf("the routers are not ready after %v", readyTimeout)
}

func (f *fleet) isReady(r *router) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/readyz", r.ip, f.settings.ReadyPort)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// recordLogs adds the first lines of the routers' logs that contain a text to the record.
func (f *fleet) recordLogs(text string, most int) {
	for _, r := range f.routers {
		data, err := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
		if err != nil {
			f.record.add("%v", err)
		}
		found := 0
		for line := range strings.Lines(string(data)) {
			if found < most && strings.Contains(line, text) {
				found++
				f.record.add("log of %s: %s", r.name, strings.TrimSpace(line))
			}
		}
	}
}

func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

func (r *router) kill() {
	if r.cmd == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	<-r.exited
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find a free port at %q: %w", ip, err)
		}
		defer l.Close()
		if tcp, ok := l.Addr().(*net.TCPAddr); ok {
			ports = append(ports, tcp.Port)
		}
	}
	return ports, nil
}
