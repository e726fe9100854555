package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/pkg/coordination/duty"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform"
	"celerypin.example/celerypin/platform/standin"
)

// dutyFleet is a store and the platform's API, for several hosts.
type dutyFleet struct {
	t       *testing.T
	store   *standin.Store
	api     *standin.API
	address string
}

// dutyLease is the length of the lease in tests.
const dutyLease = time.Second

func newDutyFleet(t *testing.T, fenced bool) *dutyFleet {
	f := &dutyFleet{t: t, store: standin.NewStore(), api: standin.NewAPI(fenced)}
	if err := f.store.PutDesired(testDesired()); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(f.api.Handler())
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

// reportTask writes a row that only the holder may write, and then reports the same counts
// again and again.
type reportTask struct {
	host   *Host
	self   id.Host
	client *platform.DutyClient
}

func (r *reportTask) Acquired(ctx context.Context) error {
	condition, held := r.host.duty.holderRow()
	if !held {
		return errors.New("the duty is not held")
	}
	_, err := r.host.store.Commit(ctx, condition, platform.Put{Table: platform.DutyRows, Key: "usage_report/closed/0", Value: []byte(r.self)})
	return err
}

func (r *reportTask) Step(ctx context.Context, mayAct func() (duty.Token, bool)) error {
	token, may := mayAct()
	if !may {
		return nil
	}
	return r.client.ReportUsage(ctx, r.self, uint64(token), 1, nil)
}

// start starts a host with the duty.
func (f *dutyFleet) start(name id.Host) *Host {
	f.t.Helper()
	store := httptest.NewServer(f.store.Handler(name))
	f.t.Cleanup(store.Close)
	settings := standin.HostSettings{
		Host: fleet.Host{ID: name, Region: "r", FailureDomain: "d", Address: "127.0.0.1:0"}, IP: "127.0.0.1",
		PeerPort: freePeerPort(f.t), Store: store.Listener.Addr().String(), MemoryMiB: 200, Bounds: standin.Bounds(),
		Regions: map[id.FailureDomain]id.Region{"d": "r"}, Duties: platform.Duties{Address: f.address, Names: []platform.DutyName{platform.DutyUsageReport}}, Fenced: true,
	}
	settings.Bounds["leaseS"] = dutyLease.Seconds()
	settings.Bounds["graceS"] = 2
	data, err := settings.SettingsFile()
	if err != nil {
		f.t.Fatal(err)
	}
	s, err := platform.ParseSettings(data)
	if err != nil {
		f.t.Fatal(err)
	}
	h := New(s, clock.System{}, logging.Discard())
	h.duty.task = &reportTask{host: h, self: name, client: platform.NewDutyClient(s.Duties.Address, http.DefaultTransport)}
	if err := h.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		if !h.leaving.Load() {
			h.Stop()
		}
	})
	return h
}

// await waits until a host has made a call that ended with a status.
func (f *dutyFleet) await(host id.Host, status int) standin.UsageCall {
	f.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, c := range f.api.Calls() {
			if c.Holder == host && c.Status == status {
				return c
			}
		}
	}
	f.t.Fatalf("no call of %s with status %d", host, status)
	return standin.UsageCall{}
}

// TestDutyPassesToAnotherHost guards against a stopping host that leaves the duty until its
// lease ends or acts beside its successor.
func TestDutyPassesToAnotherHost(t *testing.T) {
	t.Parallel()
	f := newDutyFleet(t, true)
	a := f.start("a")
	f.await("a", http.StatusOK)
	f.start("b")
	// A host that has just started waits before it takes over.
	time.Sleep(dutyLease + 6*time.Second)
	stoppedAt := time.Now()
	a.Stop()
	select {
	case <-a.duty.released:
	default:
		t.Error("got a host that stopped with the duty")
	}
	second := f.await("b", http.StatusOK)
	if got, most := second.At.Sub(stoppedAt), 3*dutyLease/2; got > most {
		t.Errorf("got the first call of b %v after the stop of a, want at most %v", got, most)
	}
	if broken := standin.BrokenRules(f.api.Calls(), dutyLease); len(broken) > 0 {
		t.Errorf("got %q, want no broken rules", broken)
	}
}

// TestSlowAndRefusedCalls guards against a lease that ends while a call runs for longer than
// it, and against a token that is used again after it was refused.
func TestSlowAndRefusedCalls(t *testing.T) {
	t.Parallel()
	f := newDutyFleet(t, true)
	h := f.start("a")
	first := f.await("a", http.StatusOK)
	f.api.SetMode(standin.APISlow, 2*dutyLease)
	time.Sleep(5 * dutyLease)
	calls := f.api.Calls()
	if last := calls[len(calls)-1]; last.Token != first.Token || last.At.Sub(first.At) < 2*dutyLease {
		t.Errorf("got the last call with token %d after %v, want token %d during the slow calls", last.Token, last.At.Sub(first.At), first.Token)
	}
	if text := h.metricsText(); !strings.Contains(text, "duty.held 1\n") || !strings.Contains(text, fmt.Sprintf("duty.token %d\n", first.Token)) {
		t.Errorf("got metrics without the duty: %s", text)
	}
	f.api.SetMode(standin.APIUp, 0)
	f.api.SeeToken(first.Token + 1)
	f.await("a", http.StatusConflict)
	time.Sleep(2 * dutyLease)
	refused := 0
	for _, c := range f.api.Calls() {
		if c.Status == http.StatusConflict {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("got %d refused calls, want 1", refused)
	}
	if text := h.metricsText(); !strings.Contains(text, "duty.held 0\n") {
		t.Errorf("got a duty that is held after a refusal")
	}
}

// TestNoDutyWithoutSettings guards against calls of the store for a duty that the settings do
// not name.
func TestNoDutyWithoutSettings(t *testing.T) {
	d := startDeployment(t, nil)
	if d.host.duty != nil {
		t.Error("got a duty, want none")
	}
}
