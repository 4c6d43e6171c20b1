// Package testbed3 starts routers as separate processes and gives them stand-ins of the platform's
// store, of servers and of clients on loopback addresses. It is for the scripts of review/11 and later.
package testbed3

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hickoryrock/platform/platformtest"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

const (
	// Host is that of all requests.
	Host = "orders.example"
	// Workspace is that of all requests.
	Workspace = "workshop"
	// Key is the API key of Workspace.
	Key = "key-of-the-workshop"
	// Region is that of all failure domains.
	Region = "region"

	callerPort, readyPort, controlPort, lookupPort, peerPort = 8227, 8220, 8229, 8224, 7340

	readyTimeout  = 15 * time.Second
	readyInterval = 50 * time.Millisecond

	// WarmUp is the time from the readiness of all routers until trouble begins.
	WarmUp = 3 * time.Second
)

// Domains are the failure domains of the deployment.
var Domains = []string{"domain-a", "domain-b", "domain-c", "domain-d"}

type (
	// Bed is a small deployment.
	Bed struct {
		Store   *platformtest.Store
		Routers []*Router

		// StoreAddress is where routers that are started later reach the store.
		StoreAddress string

		program, dir string
		started      time.Time
		cleanups     []func()

		mu     sync.Mutex
		record *os.File
		lastID int
	}

	// Router is one router process.
	Router struct {
		Name, Address, Ready string

		settings string
		command  *exec.Cmd
		exited   chan struct{}
	}
)

// HasTrouble reports whether the script runs with the disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// New starts the store. program is the router's executable and recordPath the file for the record.
// The returned function ends all processes and stand-ins.
func New(program, recordPath string) (*Bed, func(), error) {
	dir, err := os.MkdirTemp("", "hickoryrock-review")
	if err != nil {
		return nil, nil, err
	}
	record, err := os.Create(recordPath) //nolint:gosec // The path is the script's argument.
	if err != nil {
		return nil, nil, err
	}
	b := &Bed{Store: platformtest.NewStore(), program: program, dir: dir, started: time.Now(), record: record}
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	b.StoreAddress = l.Addr().String()
	server := &http.Server{Handler: b.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go b.closeOnSignal()
	b.cleanups = append(b.cleanups, func() {
		_ = server.Close()
		_ = record.Close()
		_ = os.RemoveAll(dir)
	})
	return b, b.close, nil
}

// closeOnSignal ends all processes and the script when it is told to stop.
func (b *Bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	b.close()
	os.Exit(ExitNotRun)
}

func (b *Bed) close() {
	for _, r := range b.Routers {
		r.Kill()
	}
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

// Recordf writes one line to the record.
func (b *Bed) Recordf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// Configure writes a version of the configuration.
func (b *Bed) Configure(version int, services, routes []map[string]any) {
	b.Store.Set("config", "main", platformtest.DeploymentConfiguration(version, Workspace, []string{Key}, services, routes))
}

// StartRouters starts a number of routers and waits until all are ready.
func (b *Bed) StartRouters(n int) error {
	ips := make([]string, n)
	pid := os.Getpid()
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, i+1)
	}
	for i, ip := range ips {
		domain := Domains[i%len(Domains)]
		r := &Router{
			Name: fmt.Sprintf("edge-%s-%d", domain, i), Address: fmt.Sprintf("%s:%d", ip, callerPort),
			Ready: fmt.Sprintf("%s:%d", ip, readyPort), settings: filepath.Join(b.dir, fmt.Sprintf("boot-%d.json", i)),
		}
		settings := platformtest.RouterSettings{
			Name: r.Name, IP: ip, Domain: domain, Region: Region, Domains: Domains, CallerPort: callerPort, ReadyPort: readyPort,
			ControlPort: controlPort, LookupPort: lookupPort, PeerPort: peerPort, Seeds: ips[:min(n, 3)], Bootstrap: true, Store: b.StoreAddress,
		}
		if err := os.WriteFile(r.settings, settings.Encode(), 0o600); err != nil {
			return err
		}
		b.Routers = append(b.Routers, r)
		if err := b.Start(r); err != nil {
			return err
		}
	}
	for _, r := range b.Routers {
		if err := r.AwaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of a router with the command of the deploy file.
func (b *Bed) Start(r *Router) error {
	out, err := os.OpenFile(filepath.Join(b.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	r.command = exec.CommandContext(context.Background(), b.program, "edge") //nolint:gosec // The program is the script's argument.
	r.command.Env = append(os.Environ(), "HICKORYROCK_SETTINGS="+r.settings)
	r.command.Stdout, r.command.Stderr = out, out
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	command, exited := r.command, make(chan struct{})
	r.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	b.Recordf("start router=%s pid=%d", r.Name, command.Process.Pid)
	return nil
}

// AwaitReady waits until the router says that it is ready.
func (r *Router) AwaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		if r.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("router %q is not ready after %v", r.Name, readyTimeout)
}

// IsReady asks the router once whether it is ready.
func (r *Router) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Kill sends SIGKILL and waits until the process has ended.
func (r *Router) Kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	_ = r.command.Process.Kill()
	<-r.exited
}

// NewID returns an ID for a request that no other one has.
func (b *Bed) NewID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), b.lastID)
}
