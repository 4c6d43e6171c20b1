package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	portCallers = 8227
	portReady   = 8220
	portControl = 8229
	portLookup  = 8224
	portPeers   = 7340
	portMetrics = 9464

	// contactTime is the calm time after which a VM is in touch.
	contactTime = 3 * time.Second
	// callerTTL is how long callers keep the answer to a lookup.
	callerTTL = time.Second

	host   = "ficu95.example"
	region = "jylland"
	key    = "n2ctnfzs989anu6wsjnb"
)

var zones = []string{"vejle-a", "vejle-b", "horsens"}

type (
	// bed is a small deployment on loopback: routers as separate processes, and a store,
	// targets and callers in this process.
	bed struct {
		program string
		dir     string
		// subnet holds the second and the third number of the addresses.
		subnet [2]int
		start  time.Time
		store  *platformtest.Store
		// storeAddress is the address in the routers' settings.
		storeAddress string

		mu       sync.Mutex
		record   *os.File
		routers  []*router
		cleanups []func()
		callID   int
	}

	// router is one router process.
	router struct {
		bed      *bed
		name, ip string
		zone     string
		path     string

		mu  sync.Mutex
		cmd *exec.Cmd
		// exited is closed when the process has ended.
		exited chan struct{}
	}
)

// newBed returns a deployment without routers and targets, and a function that stops it.
func newBed(program, recordPath string) (*bed, func(), error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, nil, errors.Join(err, record.Close())
	}
	b := &bed{program: program, dir: dir, start: time.Now(), record: record, store: platformtest.NewStore()}
	b.chooseSubnet()
	stop := func() {
		for i := len(b.cleanups) - 1; i >= 0; i-- {
			b.cleanups[i]()
		}
		_ = os.RemoveAll(dir)
		_ = record.Close()
	}
	address, closeStore, err := b.serveStore(b.store)
	if err != nil {
		stop()
		return nil, nil, err
	}
	b.storeAddress = address
	b.cleanups = append(b.cleanups, closeStore)
	return b, stop, nil
}

// serveStore serves a store on a free port.
func (b *bed) serveStore(store http.Handler) (string, func(), error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", b.ip(250)+":0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: contactTime}
	go func() { _ = server.Serve(l) }() // Returns when the server is closed.
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// chooseSubnet chooses loopback addresses that no other run uses.
func (b *bed) chooseSubnet() {
	for {
		b.subnet = [2]int{10 + rand.IntN(200), rand.IntN(200)}
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", fmt.Sprintf("%s:%d", b.ip(1), portCallers))
		if err == nil {
			_ = l.Close()
			return
		}
	}
}

func (b *bed) ip(n int) string { return b.ipBeside(0, n) }

// ipBeside returns an address in one of the subnets after that of the deployment.
func (b *bed) ipBeside(subnet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.subnet[0], b.subnet[1]+subnet, n)
}

// logf writes a line with the time since the start to the record.
func (b *bed) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// nextCall returns the ID of the next call.
func (b *bed) nextCall() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callID++
	return fmt.Sprintf("%016x", 0x1c41d07be2a00000+b.callID)
}

// addRouters adds and starts routers, spread over the zones, and waits until they are ready.
func (b *bed) addRouters(count int) error {
	for i := range count {
		r := b.newRouter(fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), b.ip(i+1), zones[i%len(zones)], true)
		if err := r.run(); err != nil {
			return err
		}
		b.routers = append(b.routers, r)
	}
	for _, r := range b.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	b.logf("%d routers are ready", count)
	return nil
}

func (b *bed) newRouter(name, ip, zone string, bootstrap bool) *router {
	r := &router{bed: b, name: name, ip: ip, zone: zone, path: filepath.Join(b.dir, name+".json")}
	r.writeSettings(b.storeAddress, bootstrap)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, r.kill)
	return r
}

// writeSettings writes the settings file as the platform does.
func (r *router) writeSettings(store string, bootstrap bool) {
	data := platformtest.RouterSettings{
		Name: r.name, IP: r.ip, Domain: r.zone, Region: region, Domains: zones, Store: store, Bootstrap: bootstrap,
		CallerPort: portCallers, ReadyPort: portReady, ControlPort: portControl, LookupPort: portLookup, PeerPort: portPeers,
		Seeds: []string{r.bed.ip(1), r.bed.ip(2)},
	}.Encode()
	_ = os.WriteFile(r.path+".new", data, 0o600)
	_ = os.Rename(r.path+".new", r.path)
}

func (r *router) address(port int) string { return fmt.Sprintf("%s:%d", r.ip, port) }

// run starts the process with the command of the deploy file.
func (r *router) run() error {
	out, err := os.OpenFile(filepath.Join(r.bed.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), r.bed.program, "edge") //nolint:gosec // The program under review.
	cmd.Env = append(os.Environ(), "HICKORYROCK_SETTINGS="+r.path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait() // Killed processes end with an error.
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Signal(s) // It may have ended.
	}
}

// awaitReady waits until the router's readiness probe succeeds.
func (r *router) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _ := get(fmt.Sprintf("http://%s:%d/readyz", r.ip, portReady)); status == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(r.bed.dir, r.name+".log"))
	return fmt.Errorf("%s is not ready: %s", r.name, log[max(0, len(log)-500):])
}

// countLog returns how often a text stands in the routers' logs.
func (b *bed) countLog(text string) int {
	n := 0
	for _, r := range b.routers {
		data, _ := os.ReadFile(filepath.Join(b.dir, r.name+".log"))
		n += strings.Count(string(data), text)
	}
	return n
}

// grepLog copies the lines of the routers' logs with one of the texts to the record.
func (b *bed) grepLog(texts ...string) {
	for _, r := range b.routers {
		data, _ := os.ReadFile(filepath.Join(b.dir, r.name+".log"))
		for line := range strings.Lines(string(data)) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
				b.logf("log: %s", strings.TrimSpace(line))
			}
		}
	}
}
