package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

// startTimeout bounds the wait until a host serves; it is no performance target.
const startTimeout = 20 * time.Second

const testVirtualHost = "a.example"

// testDeployment is one host in region "r", on loopback, with stand-ins of the store and
// of upstreams.
type testDeployment struct {
	t     *testing.T
	store *standin.Store
	host  *Host
	// options are those of the host.
	options []Option
	// address is the address for clients' requests.
	address string
	// sent counts the requests of sendAll.
	sent int

	mu         sync.Mutex
	executions []standin.Execution
}

// testDesired returns a desired state with one service and an open route of each kind.
func testDesired() *desired.State {
	s := &desired.State{
		Version: 1, Limits: desired.Limits{HeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second},
		Services: []*desired.Service{{Name: "desk", MaxConnections: 100}},
	}
	for name, kind := range map[id.Route]desired.Kind{"look": desired.Idempotent, "swap": desired.NonIdempotent, "photo": desired.Upload} {
		s.Routes = append(s.Routes, &desired.Route{
			Name: name, VirtualHost: testVirtualHost, Prefix: "/" + string(name) + "/", Kind: kind, Open: true, Sticky: true, MaxAttempts: 2,
			Targets: []desired.Target{{Service: "desk", Weight: 1}}, Timeout: 10 * time.Second, Objective: time.Second,
		})
	}
	return s
}

// startDeployment starts a host with the platform's usual bounds, of which bounds replaces
// some. Each of prepare is called with the store before the host starts.
func startDeployment(t *testing.T, bounds map[string]float64, prepare ...func(*standin.Store)) *testDeployment {
	t.Helper()
	return startDeploymentWith(t, nil, bounds, prepare...)
}

// startDeploymentWith is startDeployment with options of the host.
func startDeploymentWith(t *testing.T, options []Option, bounds map[string]float64, prepare ...func(*standin.Store)) *testDeployment {
	t.Helper()
	d := &testDeployment{t: t, store: standin.NewStore(), options: options}
	if err := d.store.PutDesired(testDesired()); err != nil {
		t.Fatal(err)
	}
	for _, f := range prepare {
		f(d.store)
	}
	store := httptest.NewServer(d.store.Handler("a"))
	t.Cleanup(store.Close)
	h := standin.HostSettings{
		Host: fleet.Host{ID: "a", Region: "r", FailureDomain: "d", Address: "127.0.0.1:0"}, IP: "127.0.0.1",
		PeerPort: freePeerPort(t), Store: store.Listener.Addr().String(), MemoryMiB: 200, Bounds: standin.Bounds(),
		Regions: map[id.FailureDomain]id.Region{"d": "r", "e": "far"},
	}
	for name, value := range bounds {
		h.Bounds[name] = value
	}
	data, err := h.SettingsFile()
	if err != nil {
		t.Fatal(err)
	}
	s, err := platform.ParseSettings(data)
	if err != nil {
		t.Fatal(err)
	}
	d.host = New(s, clock.System{}, logging.Discard(), d.options...)
	if err := d.host.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !d.host.leaving.Load() {
			d.host.Stop()
		}
	})
	d.address = d.host.listeners[0].Addr().String()
	return d
}

// freePeerPort returns the first of two consecutive ports that are free now.
func freePeerPort(t *testing.T) int {
	t.Helper()
	for range 100 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1)))
		_ = first.Close()
		if err == nil {
			_ = second.Close()
			return port
		}
	}
	t.Fatal("no two consecutive free ports")
	return 0
}

// startUpstream starts an upstream of the service in a failure domain.
func (d *testDeployment) startUpstream(name id.Upstream, domain id.FailureDomain, serviceTime time.Duration) *standin.Upstream {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	info := fleet.Upstream{
		ID: name, Service: "desk", Release: "v1", FailureDomain: domain, Address: listener.Addr().String(), Slots: 16,
		Incarnation: id.Incarnation(time.Now().UnixMilli()),
	}
	u := standin.StartUpstream(info, listener, d.store, serviceTime, func(e standin.Execution) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.executions = append(d.executions, e)
	}, func(standin.Refusal) {})
	d.t.Cleanup(u.Stop)
	return u
}

// get sends a request on a new connection and returns the status, or 0 without an answer.
func (d *testDeployment) get(path string, attempt id.Attempt) int {
	return d.getWithin(startTimeout, path, attempt)
}

// getWithin is like get, for a client that waits for a limited time.
func (d *testDeployment) getWithin(timeout time.Duration, path string, attempt id.Attempt) int {
	status, _ := d.send(timeout, http.MethodGet, path, attempt)
	return status
}

// ask is like get, and returns the time after which the client is asked to come back, too.
func (d *testDeployment) ask(path string, attempt id.Attempt) (status int, retryAfter time.Duration) {
	return d.send(startTimeout, http.MethodGet, path, attempt)
}

// send sends a request on a new connection.
func (d *testDeployment) send(timeout time.Duration, method, path string, attempt id.Attempt) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.address+path, body)
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host, r.Close = testVirtualHost, true
	standin.SetAttempt(r.Header, attempt)
	standin.SetObject(r.Header, id.Object(path))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// awaitServing waits until a request is served.
func (d *testDeployment) awaitServing() {
	d.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.get("/look/first", "first") == http.StatusOK {
			return
		}
	}
	d.t.Fatal("the host does not serve")
}
