package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"celerypin.example/celerypin/internal/faultnet"
	"celerypin.example/celerypin/pkg/state/desired"
	state "celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

const (
	loopback        = "127.0.0.1"
	regions         = 3
	domainsOfRegion = 2
	// memoryMiB is the memory that a host is told it has.
	memoryMiB = 200
	slots     = 4
	works     = 25 * time.Millisecond
	// rowPrefix is that of the rows by which hosts find each other.
	rowPrefix = "host/"
)

// fleet is the deployment: hosts as processes, and stand-ins around them.
type fleet struct {
	store   *standin.Store
	hosts   []*host
	regions map[id.FailureDomain]id.Region
	record  *record
	client  *http.Client
	// nextPort is where the ports of the next host are looked for.
	nextPort int

	mu        sync.Mutex
	upstreams []*worker
	started   int
	desired   *desired.State
}

// worker is an upstream with the relay before it.
type worker struct {
	*standin.Upstream
	relay   *faultnet.Relay
	leaving bool
	ended   bool
}

// host is one entry host, its process and the relays around it.
type host struct {
	settings standin.HostSettings
	path     string
	program  string
	logs     string
	metrics  int
	// store and peers are the relays to the store, and from other hosts to this one.
	store, peers *faultnet.Relay

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// wanted tells that the process is to live; one that ends all the same has
	// failed by itself.
	wanted  bool
	paused  bool
	endedBy string
}

func newFleet(o Options, r *record) (*fleet, error) {
	f := &fleet{
		store: standin.NewStore(), regions: map[id.FailureDomain]id.Region{}, record: r,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for reg := range regions {
		for dom := range domainsOfRegion {
			f.regions[domainOf(reg, dom)] = regionOf(reg)
		}
	}
	if err := f.putFirst(); err != nil {
		return nil, err
	}
	for reg := range regions {
		for dom := range domainsOfRegion {
			for n := range o.HostsPerDomain {
				if err := f.addHost(o, reg, dom, n); err != nil {
					return nil, err
				}
			}
			for _, service := range services {
				for range o.UpstreamsPerDomain {
					if err := f.addUpstream(service, domainOf(reg, dom)); err != nil {
						return nil, err
					}
				}
			}
		}
	}
	f.store.RewriteValue = f.behindRelays
	return f, nil
}

func regionOf(r int) id.Region { return id.Region("region-" + strconv.Itoa(r)) }

func domainOf(r, d int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("region-%d-%d", r, d))
}

// behindRelays shows hosts each other at the addresses of relays.
func (f *fleet) behindRelays(_ id.Host, _, key string, value []byte) []byte {
	name, found := strings.CutPrefix(key, rowPrefix)
	if !found {
		return value
	}
	var row map[string]any
	if json.Unmarshal(value, &row) != nil {
		return value
	}
	for _, h := range f.hosts {
		if string(h.settings.Host.ID) == name {
			row["peer_address"] = h.peers.Address()
		}
	}
	shown, err := json.Marshal(row)
	if err != nil {
		return value
	}
	return shown
}

func (f *fleet) addHost(o Options, reg, dom, n int) error {
	name := id.Host(fmt.Sprintf("host-%d-%d-%d", reg, dom, n))
	ports, err := f.freePorts()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, f.store.Handler(name)) }()
	h := &host{program: o.Program, logs: filepath.Join(o.Logs, string(name)+".log"), metrics: ports + 5}
	if h.store, err = faultnet.New(listener.Addr().String()); err != nil {
		return err
	}
	if h.peers, err = faultnet.New(address(ports + 3)); err != nil {
		return err
	}
	h.settings = standin.HostSettings{
		Host: state.Host{ID: name, Region: regionOf(reg), FailureDomain: domainOf(reg, dom), Address: address(ports)},
		IP:   loopback, Ready: address(ports + 1), Directory: address(ports + 2), PeerPort: ports + 3, Store: h.store.Address(),
		Regions: f.regions, MemoryMiB: memoryMiB, Bounds: standin.Bounds(),
	}
	h.path = filepath.Join(o.Logs, string(name)+".json")
	f.hosts = append(f.hosts, h)
	return h.writeSettings()
}

func address(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

// portsOfHost is how many ports in a row a host needs.
const portsOfHost = 6

// Ports of hosts are below those that the system gives to outgoing connections,
// which could take them while a host is down.
const firstPort, lastPort = 12000, 31000

// freePorts returns the first of some ports in a row that are free now, and that
// no host of this run has: those do not listen yet.
func (f *fleet) freePorts() (int, error) {
	if f.nextPort == 0 {
		f.nextPort = firstPort + rand.IntN((lastPort-firstPort)/2)
	}
	for f.nextPort < lastPort {
		port := f.nextPort
		f.nextPort += portsOfHost
		if free(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row below %d", portsOfHost, lastPort)
}

func free(port int) bool {
	for i := range portsOfHost {
		l, err := net.Listen("tcp", address(port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) addUpstream(service id.Service, domain id.FailureDomain) error {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	relay, err := faultnet.New(listener.Addr().String())
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	info := state.Upstream{
		ID: id.Upstream(fmt.Sprintf("upstream-%d", f.started)), Service: service, Release: "v1", FailureDomain: domain, Address: relay.Address(),
		Slots: slots, Incarnation: id.Incarnation(time.Now().UnixMilli()),
	}
	w := &worker{relay: relay, Upstream: standin.StartUpstream(info, listener, f.store, works, f.record.ran)}
	f.upstreams = append(f.upstreams, w)
	return nil
}

// living returns the upstreams that are neither ended nor leaving.
func (f *fleet) living() []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*worker
	for _, u := range f.upstreams {
		if !u.ended && !u.leaving {
			out = append(out, u)
		}
	}
	return out
}

func (h *host) writeSettings() error {
	data, err := h.settings.SettingsFile()
	if err != nil {
		return err
	}
	return os.WriteFile(h.path, data, 0o644)
}

// start begins a process of the host.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.process = exec.Command(h.program, "serve", "--metrics-port", strconv.Itoa(h.metrics))
	h.process.Env = append(os.Environ(), platform.SettingsVariable+"="+h.path)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	h.wanted, h.paused, h.done = true, false, make(chan struct{})
	go h.watch(h.process, h.done)
	return nil
}

func (h *host) watch(p *exec.Cmd, done chan struct{}) {
	err := p.Wait()
	h.mu.Lock()
	if h.process == p && h.wanted {
		h.endedBy = fmt.Sprintf("%s ended by itself: %v", h.settings.Host.ID, err)
	}
	h.mu.Unlock()
	close(done)
}

// signal sends a signal to the host's process; wanted tells whether it is to live on.
func (h *host) signal(s syscall.Signal, wanted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = wanted
	switch s {
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
	// The process may have ended meanwhile, which is what the signal is for.
	_ = h.process.Process.Signal(s)
}

// end waits until the host's process has ended.
func (h *host) end(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (h *host) lives() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wanted && !h.paused
}

// ready tells whether all hosts say that they are ready.
func (f *fleet) ready(ctx context.Context) bool {
	for _, h := range f.hosts {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Ready+platform.PathReady, nil)
		if err != nil {
			return false
		}
		response, err := f.client.Do(r)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// stopAll ends all processes that this run has started.
func (s *soak) stopAll() {
	if s.fleet == nil {
		return
	}
	for _, h := range s.hosts {
		if h.process == nil || h.process.Process == nil {
			continue
		}
		h.signal(syscall.SIGCONT, false)
		h.signal(syscall.SIGKILL, false)
		h.end(time.Second)
	}
}
