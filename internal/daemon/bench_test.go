package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/settings"
	standin "celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/internal/transport/caller"
	"celerypin.example/celerypin/internal/transport/upstream"
	"celerypin.example/celerypin/pkg/coordination/admit"
	"celerypin.example/celerypin/pkg/coordination/budget"
	"celerypin.example/celerypin/pkg/coordination/claim"
	"celerypin.example/celerypin/pkg/coordination/lookup"
	"celerypin.example/celerypin/pkg/coordination/pick"
	"celerypin.example/celerypin/pkg/coordination/release"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/key"
	"celerypin.example/celerypin/pkg/state/rcu"
	"celerypin.example/celerypin/pkg/state/table"
	"celerypin.example/celerypin/pkg/state/unit"
)

// newForwardingServer starts a server that only forwards requests, to the upstream at an
// address, with a budget that never runs out.
func newForwardingServer(b testing.TB, upstreamAddress string) *httptest.Server {
	b.Helper()
	return newForwardingServerWith(b, upstreamAddress, clock.System{}, nil)
}

// newForwardingServerWith is newForwardingServer with a given clock. If borrow is not nil,
// it receives the pool, which starts empty, and returns the borrower to use.
func newForwardingServerWith(b testing.TB, upstreamAddress string, c clock.Clock, borrow func(*budget.Pool[id.Account, unit.Tokens]) caller.Borrower) *httptest.Server {
	b.Helper()
	lease := &budget.Lease{}
	lease.Extend(c.Now().Add(time.Hour))
	pool := budget.New[id.Account, unit.Tokens](lease)
	var borrower caller.Borrower
	if borrow == nil {
		pool.Set("parish", budget.Share[unit.Tokens]{Rate: unit.Whole(100_000_000), Burst: unit.Whole(1_000_000)}, c.Now().Add(-time.Second))
	} else {
		borrower = borrow(pool)
	}
	hasher := key.NewHasher([]byte(testSecret))
	ring := key.NewRing([]key.Record{{Hash: hasher.Hash(testKey), Account: "parish"}}, nil)
	splits := release.NewSplits()
	picker := pick.New(splits)
	picker.Update([]fleet.Upstream{{ID: "w", Service: "reads", Region: "r0", Address: upstreamAddress, Slots: 1024, State: fleet.UpstreamLive}})
	server := caller.New(caller.Dependencies{
		Host: "host", Region: "r0",
		Gate:   &admit.Controller{Config: rcu.New(config.Compile(testConfig)), Ring: rcu.New(ring), KeyedLease: lease, Pool: pool},
		Lookup: rcu.New(lookup.New(lookup.Inputs{Hosts: []fleet.Host{{ID: "host", Region: "r0", Address: "127.0.0.1:1"}}, TTL: time.Second})),
		Hasher: hasher, Borrower: borrower, Picker: picker, Recorder: release.NewRecorder(splits), Claims: claim.New("host", 1, table.NewMemory(), c),
		Forwarder: upstream.NewForwarder("bench", 1, c), Clock: c, Log: logging.Discard(), Metrics: metrics.NewRegistry(),
	})
	router := bunrouter.New()
	server.Register(router)
	httpServer := httptest.NewServer(router)
	b.Cleanup(httpServer.Close)
	return httpServer
}

// startBenchWorker starts an upstream without service time and returns its address.
func startBenchWorker(b *testing.B) string {
	b.Helper()
	w, err := standin.New(settings.Worker{ID: "w", Service: "reads", Listen: "127.0.0.1:0", Slots: 1024}, clock.System{})
	if err != nil {
		b.Fatal(err)
	}
	w.Start()
	b.Cleanup(w.Close)
	return w.Address()
}

// BenchmarkForward compares a request sent directly to the upstream, one through the
// reverse proxy of the standard library, and one through the path of a host.
func BenchmarkForward(b *testing.B) {
	address := startBenchWorker(b)
	target, err := url.Parse("http://" + address)
	if err != nil {
		b.Fatal(err)
	}
	reverse := httputil.NewSingleHostReverseProxy(target)
	reverse.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	proxy := httptest.NewServer(reverse)
	b.Cleanup(proxy.Close)
	host := newForwardingServer(b, address)
	for _, c := range []struct{ name, base string }{
		{"direct", "http://" + address}, {"reverse proxy", proxy.URL}, {"host", host.URL},
	} {
		b.Run(c.name, func(b *testing.B) { benchRequests(b, c.base+"/read/x") })
	}
}

// BenchmarkLookupHTTP measures look-ups over HTTP.
func BenchmarkLookupHTTP(b *testing.B) {
	host := newForwardingServer(b, "127.0.0.1:1")
	benchRequests(b, host.URL+"/celerypin/v1/lookup")
}

// benchRequests sends requests from several goroutines and reports latency quantiles.
func benchRequests(b *testing.B, target string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	all := hdrhistogram.New(1, 10_000_000, 3)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		own := hdrhistogram.New(1, 10_000_000, 3)
		for pb.Next() {
			start := time.Now()
			if !get(client, target) {
				b.Fail()
			}
			_ = own.RecordValue(time.Since(start).Microseconds())
		}
		mu.Lock()
		defer mu.Unlock()
		all.Merge(own)
	})
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-us")
}

func get(client *http.Client, target string) bool {
	request, err := http.NewRequest(http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// BenchmarkHostsIdle measures the control traffic of 3, 6 and 12 hosts without requests:
// bytes between hosts, and reads and writes of the table, per second.
func BenchmarkHostsIdle(b *testing.B) {
	for _, hosts := range []int{3, 6, 12} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			d := newDeployment(b, hosts)
			time.Sleep(time.Second)
			sent := d.bytesSent()
			reads, writes := d.platform.Memory().Counts()
			b.ResetTimer()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds()
			endReads, endWrites := d.platform.Memory().Counts()
			b.ReportMetric(float64(d.bytesSent()-sent)/seconds/float64(hosts), "bytes/host/s")
			b.ReportMetric(float64(endReads-reads)/seconds, "reads/s")
			b.ReportMetric(float64(endWrites-writes)/seconds, "writes/s")
		})
	}
}

func (d *deployment) bytesSent() int64 {
	sum := int64(0)
	for _, h := range d.hosts {
		sum += h.Metrics().Get("hosts.bytes_sent").(metrics.Counter).Count()
	}
	return sum
}
