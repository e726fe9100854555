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
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

const (
	loopback         = "127.0.0.1"
	regions          = 3
	domainsPerRegion = 2
	// memoryMiB is the memory of a host according to its settings.
	memoryMiB = 200
	// slots and serviceTime are those of each upstream.
	slots       = 4
	serviceTime = 25 * time.Millisecond
	// reportWindow and usageDue are shorter than usual, so that a run sees some windows.
	reportWindow = 2 * time.Second
	usageDue     = 6 * time.Second
	// hostRowPrefix is the key prefix of the rows by which hosts find each other.
	hostRowPrefix = "host/"
)

// deployment holds the hosts, which are processes, and the stand-ins of the store
// and the upstreams.
type deployment struct {
	store   *standin.Store
	api     *standin.API
	hosts   []*host
	regions map[id.FailureDomain]id.Region
	record  *record
	client  *http.Client
	// nextPort is the first port to try for the next host.
	nextPort int

	mu        sync.Mutex
	upstreams []*upstream
	// upstreamsStarted numbers the upstreams.
	upstreamsStarted int
	desired          *desired.State
}

// upstream is a stand-in of an upstream with the relay in front of it.
type upstream struct {
	*standin.Upstream
	relay    *faultnet.Relay
	draining bool
	stopped  bool
}

// host is one entry host with its process and the relays around it.
type host struct {
	settings     standin.HostSettings
	settingsPath string
	program      string
	logPath      string
	metricsPort  int
	// storeRelay is between the host and the store, peerRelay between other hosts and
	// this one.
	storeRelay, peerRelay *faultnet.Relay

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// shouldRun is set while the process is supposed to run. Its exit is then
	// unexpected.
	shouldRun bool
	paused    bool
	// unexpectedExit describes the last unexpected exit, if there was one.
	unexpectedExit string
}

func newDeployment(o Options, r *record) (*deployment, error) {
	d := &deployment{
		store: standin.NewStore(), api: standin.NewAPI(o.Seed%2 == 0), regions: map[id.FailureDomain]id.Region{}, record: r,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for region := range regions {
		for domain := range domainsPerRegion {
			d.regions[domainID(region, domain)] = regionID(region)
		}
	}
	if err := d.putInitialState(); err != nil {
		return nil, err
	}
	api, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(api, d.api.Handler()) }()
	duties := platform.Duties{Address: api.Addr().String(), Names: []platform.DutyName{platform.DutyUsageReport}}
	for region := range regions {
		for domain := range domainsPerRegion {
			for n := range o.HostsPerDomain {
				if err := d.addHost(o, duties, region, domain, n); err != nil {
					return nil, err
				}
			}
			for _, service := range services {
				for range o.UpstreamsPerDomain {
					if err := d.addUpstream(service, domainID(region, domain)); err != nil {
						return nil, err
					}
				}
			}
		}
	}
	d.store.RewriteValue = d.rewriteAddresses
	return d, nil
}

func regionID(r int) id.Region { return id.Region("region-" + strconv.Itoa(r)) }

func domainID(r, d int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("region-%d-%d", r, d))
}

// rewriteAddresses replaces the peer address in a host's row by that of the relay in
// front of it, so that traffic between hosts passes the relays.
func (d *deployment) rewriteAddresses(_ id.Host, _, key string, value []byte) []byte {
	name, found := strings.CutPrefix(key, hostRowPrefix)
	if !found {
		return value
	}
	var row map[string]any
	if json.Unmarshal(value, &row) != nil {
		return value
	}
	for _, h := range d.hosts {
		if string(h.settings.Host.ID) == name {
			row["peer_address"] = h.peerRelay.Address()
		}
	}
	rewritten, err := json.Marshal(row)
	if err != nil {
		return value
	}
	return rewritten
}

// addHost adds a host with its relays and writes its settings. It doesn't start the
// process.
func (d *deployment) addHost(o Options, duties platform.Duties, region, domain, n int) error {
	name := id.Host(fmt.Sprintf("host-%d-%d-%d", region, domain, n))
	basePort, err := d.freePorts()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, d.store.Handler(name)) }()
	h := &host{program: o.Program, logPath: filepath.Join(o.Logs, string(name)+".log"), metricsPort: basePort + 5}
	if h.storeRelay, err = faultnet.New(listener.Addr().String()); err != nil {
		return err
	}
	if h.peerRelay, err = faultnet.New(loopbackAddress(basePort + 3)); err != nil {
		return err
	}
	h.settings = standin.HostSettings{
		Host: fleet.Host{ID: name, Region: regionID(region), FailureDomain: domainID(region, domain), Address: loopbackAddress(basePort)},
		IP:   loopback, ReadyAddress: loopbackAddress(basePort + 1), DirectoryAddress: loopbackAddress(basePort + 2), PeerPort: basePort + 3, Store: h.storeRelay.Address(),
		Regions: d.regions, MemoryMiB: memoryMiB, Bounds: standin.Bounds(),
		// Half of the seeds leave the order of calls to the hosts.
		Duties: duties, Fenced: o.Seed%2 == 0,
	}
	h.settings.Bounds["reportWindowS"], h.settings.Bounds["usageLateS"] = reportWindow.Seconds(), usageDue.Seconds()
	h.settingsPath = filepath.Join(o.Logs, string(name)+".json")
	d.hosts = append(d.hosts, h)
	return h.writeSettings()
}

func loopbackAddress(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

// portsPerHost is the number of consecutive ports that a host needs.
const portsPerHost = 6

// The ports of hosts are below the range that the system uses for outgoing
// connections, which could otherwise take a port while its host is down.
const (
	firstPort = 12000
	lastPort  = 31000
)

// freePorts returns the first of portsPerHost consecutive ports that are free now and
// belong to no other host of this run. Checking whether they are free is not enough,
// as the other hosts do not listen yet.
func (d *deployment) freePorts() (int, error) {
	if d.nextPort == 0 {
		d.nextPort = firstPort + rand.IntN((lastPort-firstPort)/2)
	}
	for d.nextPort < lastPort {
		port := d.nextPort
		d.nextPort += portsPerHost
		if portsFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports below %d", portsPerHost, lastPort)
}

// portsFree reports whether the ports of a host that begin with port are free.
func portsFree(port int) bool {
	for i := range portsPerHost {
		l, err := net.Listen("tcp", loopbackAddress(port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addUpstream starts an upstream behind a relay.
func (d *deployment) addUpstream(service id.Service, domain id.FailureDomain) error {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	relay, err := faultnet.New(listener.Addr().String())
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreamsStarted++
	info := fleet.Upstream{
		ID: id.Upstream(fmt.Sprintf("upstream-%d", d.upstreamsStarted)), Service: service, Release: "v1", FailureDomain: domain, Address: relay.Address(),
		Slots: slots, Incarnation: id.Incarnation(time.Now().UnixMilli()),
	}
	u := &upstream{relay: relay, Upstream: standin.StartUpstream(info, listener, d.store, serviceTime, d.record.executed, d.record.refused)}
	d.upstreams = append(d.upstreams, u)
	return nil
}

// liveUpstreams returns the upstreams that are neither stopped nor draining.
func (d *deployment) liveUpstreams() []*upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*upstream
	for _, u := range d.upstreams {
		if !u.stopped && !u.draining {
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
	return os.WriteFile(h.settingsPath, data, 0o644)
}

// start starts a process of the host.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	logFile, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	h.process = exec.Command(h.program, "serve", "--metrics-port", strconv.Itoa(h.metricsPort))
	h.process.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settingsPath)
	h.process.Stdout, h.process.Stderr = logFile, logFile
	if err := h.process.Start(); err != nil {
		return err
	}
	h.shouldRun, h.paused, h.done = true, false, make(chan struct{})
	go h.watch(h.process, h.done)
	return nil
}

// watch waits for the process to exit, and notes an unexpected exit.
func (h *host) watch(p *exec.Cmd, done chan struct{}) {
	err := p.Wait()
	h.mu.Lock()
	if h.process == p && h.shouldRun {
		h.unexpectedExit = fmt.Sprintf("%s exited unexpectedly: %v", h.settings.Host.ID, err)
	}
	h.mu.Unlock()
	close(done)
}

// signal sends a signal to the host's process. shouldRun is whether the process is
// supposed to run on.
func (h *host) signal(sig syscall.Signal, shouldRun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shouldRun = shouldRun
	switch sig {
	case syscall.SIGSTOP:
		h.paused = true
	case syscall.SIGCONT:
		h.paused = false
	}
	// An error means that the process has already exited, which needs no action.
	_ = h.process.Process.Signal(sig)
}

// waitForExit waits for the host's process to exit. It returns false on a timeout.
func (h *host) waitForExit(timeout time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// isRunning reports whether the process is supposed to run and is not paused.
func (h *host) isRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shouldRun && !h.paused
}

// ready reports whether all hosts report that they are ready.
func (d *deployment) ready(ctx context.Context) bool {
	for _, h := range d.hosts {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.ReadyAddress+platform.PathReady, nil)
		if err != nil {
			return false
		}
		response, err := d.client.Do(r)
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

// stopAll kills all host processes that this run has started.
func (s *soak) stopAll() {
	if s.deployment == nil {
		return
	}
	for _, h := range s.hosts {
		if h.process == nil || h.process.Process == nil {
			continue
		}
		h.signal(syscall.SIGCONT, false)
		h.signal(syscall.SIGKILL, false)
		h.waitForExit(time.Second)
	}
}
