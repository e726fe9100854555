package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	operatorprotocol "celerypin.example/celerypin/internal/protocol/operator"
	platformprotocol "celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/internal/standin/platform"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/internal/transport/operator"
	platformtransport "celerypin.example/celerypin/internal/transport/platform"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

const (
	testToken  = "a token of the tests"
	testSecret = "a secret of the tests"
	testKey    = "a-key-of-the-tests-0123456789"
	// conditionTimeout limits the wait for a condition that must become true. It is not a
	// latency objective.
	conditionTimeout = 20 * time.Second
)

var testConfig = config.Config{
	Accounts: []config.Account{{ID: "parish", RatePerSecond: 100_000, Burst: 100_000}},
	Classes: []config.Class{
		{ID: "read", Deadline: config.Duration(5 * time.Second), Idempotent: true, MaxBody: 1 << 16},
		{ID: "once", Deadline: config.Duration(5 * time.Second), MaxBody: 1 << 16},
		{ID: "upload", Deadline: config.Duration(30 * time.Second), MaxBody: 64 << 20},
	},
	Routes: []config.Route{
		{ID: "read", PathPrefix: "/read/", Service: "reads", Class: "read"},
		{ID: "open", PathPrefix: "/open/", Service: "reads", Class: "read", Open: true},
		{ID: "once", PathPrefix: "/once/", Service: "swaps", Class: "once"},
		{ID: "upload", PathPrefix: "/upload/", Service: "photos", Class: "upload"},
	},
}

// deployment is a stand-in platform, stand-in upstreams and hosts on loopback.
type deployment struct {
	t        testing.TB
	platform *platform.Server
	workers  map[id.Upstream]*upstream.Worker
	hosts    []*Host
	// log holds the log lines of all hosts.
	log *lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newDeployment(t testing.TB, hosts int) *deployment {
	t.Helper()
	d := &deployment{t: t, workers: map[id.Upstream]*upstream.Worker{}, log: &lockedBuffer{}}
	server, err := platform.New("127.0.0.1:0", platformprotocol.Knobs{}, clock.System{})
	if err != nil {
		t.Fatal(err)
	}
	d.platform = server
	server.Start()
	t.Cleanup(server.Close)
	for _, w := range []settings.Worker{{ID: "reads-1", Service: "reads"}, {ID: "swaps-1", Service: "swaps"}, {ID: "photos-1", Service: "photos"}} {
		w.Release, w.Region, w.FailureDomain, w.Listen, w.Slots = "v1", "r0", "r0-a", "127.0.0.1:0", 64
		d.startWorker(w)
	}
	for n := range hosts {
		d.startHost(n)
	}
	d.configure()
	return d
}

func (d *deployment) startWorker(s settings.Worker) {
	d.t.Helper()
	w, err := upstream.New(s, clock.System{})
	if err != nil {
		d.t.Fatal(err)
	}
	w.Start()
	d.t.Cleanup(w.Close)
	d.workers[s.ID] = w
	d.registerUpstream(s.Upstream(w.Address()))
}

// registerUpstream reports an upstream to the platform.
func (d *deployment) registerUpstream(u fleet.Upstream) {
	d.t.Helper()
	client := platformtransport.New(d.platform.URL(), "", time.Second)
	defer client.Close()
	if err := client.ReportUpstream(context.Background(), platformprotocol.UpstreamRequest{Upstream: u}); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) startHost(n int) {
	d.t.Helper()
	name := id.Host("host-" + string(rune('a'+n)))
	h, err := New(settings.Serve{
		Host: name, Region: "r0", FailureDomain: id.FailureDomain("r0-" + string(rune('a'+n/2))), CallerListen: "127.0.0.1:0", HostListen: "127.0.0.1:0",
		Platform: d.platform.URL(), FleetSecret: testSecret, OperatorToken: testToken,
	}, clock.System{}, logging.New(d.log, "debug", ""))
	if err != nil {
		d.t.Fatal(err)
	}
	if err := h.Start(context.Background()); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(h.Kill)
	d.hosts = append(d.hosts, h)
}

func (d *deployment) operator(n int) *operator.Client {
	return operator.NewClient(d.hosts[n].CallerAddress(), testToken)
}

// configure applies the configuration, grants the key and waits until all hosts serve
// requests with it.
func (d *deployment) configure() {
	d.t.Helper()
	ctx := context.Background()
	d.eventually("all hosts to have leases", func() bool {
		for n := range d.hosts {
			list, err := operator.Get[operatorprotocol.HostList](ctx, d.operator(n), operatorprotocol.HostsPath)
			if err != nil || !list.Leased || !list.ServesKeyed || len(list.Hosts) != len(d.hosts) {
				return false
			}
		}
		return true
	})
	document := operatorprotocol.ConfigDocument{Config: testConfig}
	if _, err := operator.Send[operatorprotocol.ConfigDocument, operatorprotocol.ConfigApplied](ctx, d.operator(0), http.MethodPut, operatorprotocol.ConfigPath, document); err != nil {
		d.t.Fatal(err)
	}
	grant := operatorprotocol.KeyGrant{Account: "parish", Key: testKey}
	if _, err := operator.Send[operatorprotocol.KeyGrant, operatorprotocol.KeyGranted](ctx, d.operator(0), http.MethodPost, operatorprotocol.KeysPath, grant); err != nil {
		d.t.Fatal(err)
	}
	d.eventually("all hosts to serve reads", func() bool {
		for n := range d.hosts {
			if response := d.request(n, http.MethodGet, "/read/warm", nil, nil); response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (d *deployment) eventually(what string, ready func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// answer is a response with its whole body, or the error of the exchange.
type answer struct {
	*http.Response
	body string
	err  error
}

// request sends a request with testKey, unless header sets another Authorization.
func (d *deployment) request(n int, method, path string, header http.Header, body io.Reader) answer {
	d.t.Helper()
	request, err := http.NewRequest(method, "http://"+d.hosts[n].CallerAddress()+path, body)
	if err != nil {
		d.t.Fatal(err)
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{Response: &http.Response{}, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{response, string(data), err}
}

func (d *deployment) post(n int, path, requestID, body string) answer {
	d.t.Helper()
	return d.request(n, http.MethodPost, path, http.Header{"Request-Id": {requestID}}, strings.NewReader(body))
}
