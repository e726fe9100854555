package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	operatorprotocol "celerypin.example/celerypin/internal/protocol/operator"
	platformprotocol "celerypin.example/celerypin/internal/protocol/platform"
	"celerypin.example/celerypin/internal/standin/upstream"
	"celerypin.example/celerypin/internal/transport/operator"
	"celerypin.example/celerypin/pkg/state/fleet"
)

// TestLookupWithKeyIsAnswered guards against an empty body in the answer to a look-up
// with a key.
func TestLookupWithKeyIsAnswered(t *testing.T) {
	d := newDeployment(t, 1)
	got := d.request(0, http.MethodGet, "/celerypin/v1/lookup", nil, nil)
	want := `"address":"` + d.hosts[0].CallerAddress() + `"`
	if got.StatusCode != http.StatusOK || !strings.Contains(got.body, want) {
		t.Errorf("got %d %q, want 200 with %s", got.StatusCode, got.body, want)
	}
}

// TestPromiseNoUpstreamSeesKey sends the key in every place where a caller might put it,
// and checks that it is neither in the data that the upstreams received nor in the
// answers, the log, the time line, the metrics or the table.
func TestPromiseNoUpstreamSeesKey(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []struct {
		name   string
		path   string
		header http.Header
		want   int
	}{
		{"in its own header", "/read/a", nil, 200},
		{"header in another case", "/read/b", http.Header{"aUTHORIZATION": {"Bearer " + testKey}}, 400},
		{"doubled header", "/read/c", http.Header{"Authorization": {"Bearer " + testKey, "Bearer " + testKey}}, 400},
		{"in another header", "/read/d", http.Header{"X-Api-Key": {testKey}}, 200},
		{"in a cookie", "/read/e", http.Header{"Cookie": {"a=1; key=" + testKey}}, 200},
		{"in the query", "/read/f?key=" + testKey, nil, 400},
		{"escaped in the query", "/read/g?key=%61" + testKey[1:], nil, 400},
		{"in the path", "/read/" + testKey, nil, 400},
		{"in the name of a header", "/read/h", http.Header{"X-" + testKey: {"1"}}, 200},
		{"in a header named by Connection", "/read/i", http.Header{"Connection": {"X-Key"}, "X-Key": {testKey}}, 200},
		{"in forged system headers", "/read/j", http.Header{"Celerypin-Account": {testKey}}, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := d.request(0, http.MethodGet, c.path, c.header, nil)
			if strings.Contains(strings.ToLower(fmt.Sprint(got.Header)+got.body), testKey) {
				t.Errorf("got the key in the answer %s, want it nowhere", got.body)
			}
			if got.StatusCode != c.want {
				t.Errorf("got status %d %s, want %d", got.StatusCode, got.body, c.want)
			}
		})
	}
	d.sendKeyInTrailer(t)
	for name, w := range d.workers {
		if got := w.Received(); strings.Contains(strings.ToLower(got), testKey) {
			t.Errorf("upstream %s received the key, want it nowhere in:\n%s", name, got)
		}
	}
	metrics, err := json.Marshal(d.hosts[0].Metrics().GetAll())
	if err != nil {
		t.Fatal(err)
	}
	for place, text := range map[string]string{
		"log": d.log.String(), "time line": fmt.Sprint(d.hosts[0].Events()), "metrics": string(metrics), "table": d.tableJSON(t),
	} {
		if text == "" || strings.Contains(strings.ToLower(text), testKey) {
			t.Errorf("got the key or no text in the %s, want text without the key", place)
		}
	}
}

// tableJSON returns all rows of the platform's table as JSON.
func (d *deployment) tableJSON(t *testing.T) string {
	t.Helper()
	changes, err := d.platform.Memory().Changes(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(changes)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sendKeyInTrailer sends a request with the key in a trailer.
func (d *deployment) sendKeyInTrailer(t *testing.T) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+d.hosts[0].CallerAddress()+"/once/trailer", io.NopCloser(strings.NewReader("body")))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Request-Id", "trailer")
	request.Trailer = http.Header{"X-Late": {testKey}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("got status %d for a request with a trailer, want 200", response.StatusCode)
	}
}

// TestPromiseRunsAtMostOnce repeats a swap at both hosts, concurrently and afterwards,
// and counts its executions in the upstream's journal.
func TestPromiseRunsAtMostOnce(t *testing.T) {
	d := newDeployment(t, 2)
	d.workers["swaps-1"].SetKnobs(upstream.Knobs{SlowFactor: 1})
	done := make(chan answer, 8)
	for n := range 8 {
		go func() { done <- d.post(n%2, "/once/swap", "swap-1", "vases") }()
	}
	served := 0
	for range 8 {
		if got := <-done; got.StatusCode == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("got none of 8 concurrent requests served, want at least one")
	}
	d.awaitRecordedAnswer(t)
	if got := d.executions("swaps-1", "swap-1"); got != 1 {
		t.Errorf("got %d executions of the repeated swap, want 1", got)
	}
}

// awaitRecordedAnswer repeats the swap until the host returns its recorded answer. The
// answer is written in the background; only until then may a repeat be refused with
// already_taken.
func (d *deployment) awaitRecordedAnswer(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); ; time.Sleep(10 * time.Millisecond) {
		got := d.post(1, "/once/swap", "swap-1", "vases")
		if got.StatusCode == http.StatusOK && got.Header.Get("Celerypin-Replayed") == "true" {
			return
		}
		if got.StatusCode != http.StatusConflict || !strings.Contains(got.body, "already_taken") || time.Now().After(deadline) {
			t.Fatalf("got %d %s for a later repeat, want the recorded answer", got.StatusCode, got.body)
		}
	}
}

func (d *deployment) executions(upstreamID, request string) int {
	n := 0
	for id, w := range d.workers {
		for _, e := range w.Journal() {
			if string(id) == upstreamID && string(e.Request) == request {
				n++
			}
		}
	}
	return n
}

// TestTransportDoesNotRepeat checks that a request reaches an upstream once even where
// net/http would repeat it: a pooled connection fails and the request has an
// Idempotency-Key header. The upstream answers the first request of each connection and
// closes the connection on the second.
func TestTransportDoesNotRepeat(t *testing.T) {
	d := newDeployment(t, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	raw := &rawUpstream{}
	go raw.serve(listener)
	d.registerUpstream(fleet.Upstream{ID: "swaps-1", Service: "swaps", Release: "raw", Region: "r0", Address: listener.Addr().String(), Slots: 8, State: fleet.UpstreamLive})
	post := func(n int) {
		d.request(0, http.MethodPost, "/once/x", http.Header{"Request-Id": {fmt.Sprint(n)}, "Idempotency-Key": {"k"}}, nil)
	}
	warmupID := 1000
	d.eventually("the raw upstream to be listed", func() bool {
		warmupID++
		post(warmupID)
		return raw.posts.Load() > 0
	})
	for n := range 6 {
		before := raw.posts.Load()
		post(n)
		if sent := raw.posts.Load() - before; sent != 1 {
			t.Errorf("got a request with an Idempotency-Key sent %d times, want once", sent)
		}
	}
}

// rawUpstream is an upstream on a plain TCP listener that counts the requests it reads.
type rawUpstream struct{ posts atomic.Int64 }

func (u *rawUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

func (u *rawUpstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil || request.Method != http.MethodPost {
			return
		}
		u.posts.Add(1)
		if n == 0 {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// TestPromiseWholeAnswerOrError checks that truncated answers and answers that belong to
// other requests are not delivered as complete ones.
func TestPromiseWholeAnswerOrError(t *testing.T) {
	d := newDeployment(t, 1)
	w := d.workers["swaps-1"]
	w.SetKnobs(upstream.Knobs{CutAnswers: true})
	if got := d.post(0, "/once/cut", "cut", "x"); got.err == nil {
		t.Errorf("got %d %q without an error for a truncated answer, want an error", got.StatusCode, got.body)
	}
	w.SetKnobs(upstream.Knobs{SwapAnswers: true})
	got := d.post(0, "/once/swapped", "swapped", "x")
	if outcome := got.Header.Get("Celerypin-Outcome"); outcome != "outcome_unknown" || strings.Contains(got.body, "another\"") {
		t.Errorf("got outcome %q, body %q for a foreign answer, want outcome_unknown without it", outcome, got.body)
	}
}

// TestPromiseUploadCutShortIsNotWhole closes the connection in the middle of an upload,
// and checks that the upstream does not take the upload for complete.
func TestPromiseUploadCutShortIsNotWhole(t *testing.T) {
	d := newDeployment(t, 1)
	conn, err := net.Dial("tcp", d.hosts[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	half := strings.Repeat("x", 1<<20)
	fmt.Fprintf(conn, "POST /upload/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nRequest-Id: cut-upload\r\nContent-Length: %d\r\n\r\n%s", testKey, 2*len(half), half)
	time.Sleep(100 * time.Millisecond)
	conn.Close()
	d.eventually("the upload to reach the journal", func() bool { return d.executions("photos-1", "cut-upload") > 0 })
	for _, e := range d.workers["photos-1"].Journal() {
		if e.Request == "cut-upload" && e.Complete {
			t.Errorf("got a truncated upload of %d bytes taken for complete, want it incomplete", e.Bytes)
		}
	}
	body := strings.Repeat("photo", 4<<20)
	if got := d.post(0, "/upload/2", "whole-upload", body); got.StatusCode != http.StatusOK || !strings.Contains(got.body, fmt.Sprint(len(body))) {
		t.Errorf("got %d %s for an upload of %d bytes, want it complete", got.StatusCode, got.body, len(body))
	}
}

// TestPromiseNotRunIsTrue checks that requests that are refused as not run, for several
// reasons, did not run at any upstream.
func TestPromiseNotRunIsTrue(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []struct {
		name   string
		do     func() answer
		reason string
	}{
		{"no key", func() answer {
			return d.request(0, http.MethodGet, "/read/x", http.Header{"Authorization": nil}, nil)
		}, "key_missing"},
		{"unknown key", func() answer {
			return d.request(0, http.MethodGet, "/read/x", http.Header{"Authorization": {"Bearer another"}}, nil)
		}, "key_rejected"},
		{"no route", func() answer { return d.request(0, http.MethodGet, "/nowhere", nil, nil) }, "no_route"},
		{"no request id", func() answer { return d.request(0, http.MethodPost, "/once/x", nil, strings.NewReader("x")) }, "request_id_missing"},
		{"bad deadline", func() answer {
			return d.request(0, http.MethodGet, "/read/x", http.Header{"Request-Deadline-Ms": {"soon"}}, nil)
		}, "malformed"},
		{"body too large", func() answer { return d.post(0, "/once/x", "large", strings.Repeat("x", 1<<17)) }, "body_too_large"},
		{"store unavailable", func() answer {
			d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUnavailable})
			defer d.platform.SetKnobs(platformprotocol.Knobs{Mode: platformprotocol.ModeUp})
			return d.request(0, http.MethodPost, "/once/x", http.Header{"Request-Id": {"store-out"}, "Request-Deadline-Ms": {"500"}}, strings.NewReader("x"))
		}, "claim_unavailable"},
		{"upstream sheds", func() answer {
			d.workers["swaps-1"].SetKnobs(upstream.Knobs{Draining: true})
			return d.request(0, http.MethodPost, "/once/x", http.Header{"Request-Id": {"shed"}, "Request-Deadline-Ms": {"500"}}, strings.NewReader("x"))
		}, "upstreams_busy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := d.totalExecutions()
			got := c.do()
			if got.Header.Get("Celerypin-Outcome") != "not_run" || got.Header.Get("Celerypin-Reason") != c.reason {
				t.Errorf("got %s %s, want not_run %s", got.Header.Get("Celerypin-Outcome"), got.body, c.reason)
			}
			if ran := d.totalExecutions() - before; ran != 0 {
				t.Errorf("got %d executions of a request that was refused as not run, want none", ran)
			}
		})
	}
}

func (d *deployment) totalExecutions() int {
	n := 0
	for _, w := range d.workers {
		n += len(w.Journal())
	}
	return n
}

// TestPromiseWithdrawnKeyOnOpenConnection checks that a withdrawn key is rejected also on
// an open connection that has used it before.
func TestPromiseWithdrawnKeyOnOpenConnection(t *testing.T) {
	d := newDeployment(t, 2)
	for n := range d.hosts {
		if got := d.request(n, http.MethodGet, "/read/x", nil, nil); got.StatusCode != http.StatusOK {
			t.Fatalf("got status %d before the withdrawal, want 200", got.StatusCode)
		}
	}
	withdrawn, err := operator.Send[operatorprotocol.KeyWithdraw, operatorprotocol.KeyWithdrawn](
		context.Background(), d.operator(0), http.MethodPost, operatorprotocol.WithdrawPath, operatorprotocol.KeyWithdraw{Key: testKey})
	if err != nil {
		t.Fatal(err)
	}
	if len(withdrawn.InForce) != len(d.hosts) || !withdrawn.Recorded {
		t.Errorf("got the withdrawal as %+v, want it in force on all hosts and recorded", withdrawn)
	}
	for n := range d.hosts {
		if got := d.request(n, http.MethodGet, "/read/x", nil, nil); got.Header.Get("Celerypin-Reason") != "key_rejected" {
			t.Errorf("host %d: got %d %s after the withdrawal, want key_rejected", n, got.StatusCode, got.body)
		}
	}
}

// TestPromiseGracefulStopCutsNoRequest stops a host while it receives requests, and checks
// that each one is served.
func TestPromiseGracefulStopCutsNoRequest(t *testing.T) {
	d := newDeployment(t, 2)
	stopped := make(chan struct{})
	go func() {
		d.hosts[1].Stop(context.Background())
		close(stopped)
	}()
	running := true
	served := 0
	for n := 0; running; n++ {
		select {
		case <-stopped:
			running = false
		case <-time.After(10 * time.Millisecond):
			if served < 100 {
				if got := d.post(1, "/once/stop", fmt.Sprint("stop-", n), "x"); got.err != nil || got.StatusCode != http.StatusOK {
					t.Errorf("request %d: got %d %s %v while the host stops, want it served", n, got.StatusCode, got.body, got.err)
				}
				served++
			}
		}
	}
	d.eventually("the look-up to drop the host", func() bool {
		got := d.request(0, http.MethodGet, "/celerypin/v1/lookup", nil, nil)
		return got.StatusCode == http.StatusOK && !strings.Contains(got.body, "host-b")
	})
}
