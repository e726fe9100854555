package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/protocol/where"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// where asks the host where a request would go.
func (d *testDeployment) where(path string, account id.Account) (where.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	client := operator.NewClient(d.host.settings.Load().MetricsAddress, "")
	return operator.Get[where.Answer](ctx, client, where.Encode(steer.Inquiry{VirtualHost: testVirtualHost, Path: path, Account: account, Object: id.Object(path)}))
}

// TestWhereAgreesWithRunningHost asks a running host where requests would go, sends them,
// and compares the upstreams that ran them, with the store and without it. Inquiries must
// not count as requests and must use up no quota.
func TestWhereAgreesWithRunningHost(t *testing.T) {
	state := testDesired()
	// One request in 50 s: an inquiry that took the only token would show.
	state.Accounts = []*desired.Account{{ID: "choir", Keys: []string{"secret-key"}, Rate: 0.02, Burst: 1}}
	d := startDeployment(t, map[string]float64{"graceS": 0.2}, func(s *standin.Store) {
		if err := s.PutDesired(state); err != nil {
			t.Fatal(err)
		}
	})
	for _, name := range []id.Upstream{"u-1", "u-2", "u-3"} {
		d.startUpstream(name, "d", time.Millisecond)
	}
	d.awaitServing()
	for end := time.Now().Add(startTimeout); len(d.host.placer.Upstreams()) < 3 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	for i, path := range []string{"/look/a", "/look/b", "/swap/c", "/look/d", "/look/e", "/look/f"} {
		if i == 3 {
			d.store.SetMode(standin.Busy)
		}
		answer, err := d.where(path, "")
		if err != nil || len(answer.Services) != 1 {
			t.Fatalf("%s: got %+v, %v, want one service", path, answer, err)
		}
		attempt := id.Attempt("where" + path)
		if status := d.get(path, attempt); status != http.StatusOK {
			t.Fatalf("%s: got status %d, want 200", path, status)
		}
		if got, want := answer.Services[0].Chosen, d.ranAt(attempt); got != want {
			t.Errorf("%s: got %q in the answer, want %q, which ran the request", path, got, want)
		}
	}
	before := d.host.metricsText()
	for range 5 {
		answer, err := d.where("/look/a", "choir")
		if err != nil || answer.Quota == nil || answer.Quota.State != where.QuotaAvailable {
			t.Fatalf("got %+v, %v, want a quota with its token", answer.Quota, err)
		}
		data, err := json.Marshal(answer)
		if err != nil || strings.Contains(string(data), "secret") {
			t.Errorf("got %s, %v, want no key", data, err)
		}
	}
	if after := d.host.metricsText(); requestMetrics(after) != requestMetrics(before) {
		t.Errorf("got metrics\n%s\nwant those before the inquiries:\n%s", after, before)
	}
	for _, u := range d.host.placer.Upstreams() {
		if n := u.InFlight(); n != 0 {
			t.Errorf("got %d requests at %s, want none", n, u.Info.ID)
		}
	}
}

// ranAt returns the upstream that ran an attempt.
func (d *testDeployment) ranAt(attempt id.Attempt) id.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := slices.IndexFunc(d.executions, func(e standin.Execution) bool { return e.Attempt == attempt })
	if i < 0 {
		return ""
	}
	return d.executions[i].Upstream
}

// requestMetrics returns the lines of the metrics that requests change.
func requestMetrics(text string) string {
	lines := slices.DeleteFunc(strings.Split(text, "\n"), func(l string) bool {
		return !strings.HasPrefix(l, "requests.") && !strings.HasPrefix(l, "upstreams.attempts")
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// TestWhereRefusesOddInquiries guards against misspelt parameters that are ignored, and
// against keys in inquiries.
func TestWhereRefusesOddInquiries(t *testing.T) {
	d := startDeployment(t, map[string]float64{"graceS": 0.2})
	client := operator.NewClient(d.host.settings.Load().MetricsAddress, "")
	for query, want := range map[string]string{
		"?vhost=a&path=/&key=k": `unknown parameter "key"`, "?vhost=a": "path is missing", "?path=/": "vhost is missing",
		"?vhost=a&path=/&body_bytes=-1": "body_bytes",
	} {
		_, err := operator.Get[where.Answer](context.Background(), client, where.Path+query)
		if !errors.Is(err, operator.ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want a refusal with %q", query, err, want)
		}
	}
}
