package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every host; the hosts differ in their addresses.
const (
	frontPort     = 8206
	readyPort     = 8201
	directoryPort = 8209
	peerPort      = 7600
)

// host is one entry host: a process of the deploy file's command.
type host struct {
	name         string
	ip           string
	settingsPath string
	process      *exec.Cmd
	exited       chan struct{}
}

func (h *host) front() string     { return fmt.Sprintf("%s:%d", h.ip, frontPort) }
func (h *host) ready() string     { return fmt.Sprintf("%s:%d", h.ip, readyPort) }
func (h *host) directory() string { return fmt.Sprintf("%s:%d", h.ip, directoryPort) }

// zones are the failure domains of the hosts, with their regions.
var zones = map[string]string{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}

// zoneNames are the zones in their order.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small installation on loopback addresses.
type deployment struct {
	store   *store
	folder  string
	hosts   []*host
	record  *record
	version uint64
}

func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{store: newStore(), folder: folder, record: r}
	return d, nil
}

// freeIP returns a loopback address on which the ports of a host are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		if free(ip) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

func free(ip string) bool {
	for _, port := range []int{frontPort, readyPort, directoryPort, peerPort, peerPort + 1} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addHost writes the settings of a host and starts its process.
func (d *deployment) addHost(name string, zone string) (*host, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	h := &host{name: name, ip: ip, settingsPath: filepath.Join(d.folder, name+".json")}
	// The store knows the hosts by the listener that each calls.
	calls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(calls, d.store.handler(name)) }()
	data, err := d.settings(h, zone, calls.Addr().String())
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settingsPath, data, 0o644); err != nil {
		return nil, err
	}
	d.hosts = append(d.hosts, h)
	return h, d.start(h)
}

// start starts the process of a host with the command of the deploy file.
func (d *deployment) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.process = exec.Command("target/celerypin", "serve", "--metrics-port", "7601")
	h.process.Env = append(os.Environ(), "CELERYPIN_SETTINGS="+h.settingsPath)
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	d.record.add("host %s started", h.name)
	h.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(h.process, h.exited)
	return nil
}

// awaitReady waits until all hosts say that they are ready, and a little longer.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for {
			response, err := client.Get("http://" + h.ready() + "/api/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// resolve asks a host where to connect, as clients do.
func (d *deployment) resolve(h *host, virtualHost string, zone string) ([]string, error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s/api/resolve?name=%s&region=%s&zone=%s", h.directory(), virtualHost, zones[zone], zone))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("the directory names no address")
	}
	return answer.Addresses, nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.process == nil || h.process.Process == nil {
			continue
		}
		_ = h.process.Process.Signal(syscall.SIGCONT)
		_ = h.process.Process.Kill()
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}

// register writes the row of a worker.
func (d *deployment) register(name, service, zone, address string, slots int, born int64) {
	d.store.put("servers", name, fmt.Appendf(nil, `{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":1,"coldLeftS":0},"born":%d}`,
		address, service, zone, slots, born))
}

func (d *deployment) unregister(name string) { d.store.remove("servers", name) }

func signature(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
