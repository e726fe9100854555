package edge

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// TestStopAnswersWorkUntilTheLastSixth guards against requests that a planned stop cuts
// although their upstream is done before the last sixth of the time to stop.
func TestStopAnswersWorkUntilTheLastSixth(t *testing.T) {
	const grace = 3 * time.Second
	// The work of each request ends between 0.8 and 5/6 of the grace time.
	const sentAfter, workEnds = 200 * time.Millisecond, 2460 * time.Millisecond
	d := startDeployment(t, map[string]float64{"graceS": grace.Seconds()})
	u := d.startUpstream("u", "d", 0)
	d.awaitServing()
	u.ServiceTime = workEnds - sentAfter
	requests := []string{
		"GET /look/1 HTTP/1.1\r\nHost: " + testVirtualHost + "\r\n" + standin.AttemptLine("look") + "\r\n",
		"POST /swap/1 HTTP/1.1\r\nHost: " + testVirtualHost + "\r\n" + standin.AttemptLine("swap") + "Content-Length: 4\r\n\r\nswap",
		"POST /photo/1 HTTP/1.1\r\nHost: " + testVirtualHost + "\r\n" + standin.AttemptLine("photo") + "Transfer-Encoding: chunked\r\n\r\n5\r\nphoto\r\n0\r\n\r\n",
	}
	var conns []net.Conn
	for range requests {
		conn, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	startedAt := time.Now()
	stopped := make(chan time.Duration, 1)
	go func() {
		d.host.Stop()
		stopped <- time.Since(startedAt)
	}()
	time.Sleep(sentAfter)
	for i, conn := range conns {
		_, _ = io.WriteString(conn, requests[i])
	}
	var lastAnswered time.Duration
	for i, conn := range conns {
		answer, err := io.ReadAll(conn)
		lastAnswered = time.Since(startedAt)
		if got, want := string(answer), "HTTP/1.1 200 OK\r\n"; err != nil || !strings.HasPrefix(got, want) {
			t.Errorf("request %d: got %q, error %v after %v, want %q", i, got, err, time.Since(startedAt).Round(time.Millisecond), want)
		}
	}
	// The process ends, and with it all connections, when Stop returns.
	if got := <-stopped; got < lastAnswered || got >= grace {
		t.Errorf("got the host stopped after %v, want it between the last answer, after %v, and %v", got, lastAnswered, grace)
	}
}

// TestFinishTimeLeavesTheLastSixth guards against a stop that ends before the last sixth
// of any grace time, or not before SIGKILL.
func TestFinishTimeLeavesTheLastSixth(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second, 10 * time.Second, time.Hour} {
		got := finishTime(grace)
		if lowest := grace * 5 / 6; got <= lowest || got >= grace {
			t.Errorf("grace time %v: got %v for running requests, want more than %v and less than the grace time", grace, got, lowest)
		}
	}
}

// TestStopAnswersWorkThatTakesTooLong guards against requests that end with a closed
// connection when the time to stop is over.
func TestStopAnswersWorkThatTakesTooLong(t *testing.T) {
	const grace = time.Second
	d := startDeployment(t, map[string]float64{"graceS": grace.Seconds()})
	u := d.startUpstream("u", "d", 0)
	d.awaitServing()
	u.ServiceTime = 2 * grace
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /swap/1 HTTP/1.1\r\nHost: "+testVirtualHost+"\r\n"+standin.AttemptLine("swap")+"Content-Length: 4\r\n\r\nswap")
	for d.host.clientServer.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	startedAt := time.Now()
	d.host.Stop()
	if got, want := time.Since(startedAt), grace; got >= want {
		t.Errorf("got the host stopped after %v, want less than %v", got, want)
	}
	answer, err := io.ReadAll(conn)
	// The upstream may have run the request, so the answer must not promise otherwise.
	if got, want := string(answer), "HTTP/1.1 502 Bad Gateway\r\n"; err != nil || !strings.HasPrefix(got, want) {
		t.Errorf("got %q, error %v, want %q", got, err, want)
	}
}

// TestStopTakesNoLateRequestBehindAnother guards against requests that reach an upstream late
// in a planned stop, and are broken off when the time to stop is over: a client sends them
// behind a request that is still running.
func TestStopTakesNoLateRequestBehindAnother(t *testing.T) {
	const grace = 3 * time.Second
	const sentAfter, workEnds = 1800 * time.Millisecond, 2200 * time.Millisecond
	for method, path := range map[string]string{http.MethodGet: "/look/1", http.MethodPost: "/swap/1"} {
		d := startDeployment(t, map[string]float64{"graceS": grace.Seconds()})
		u := d.startUpstream("u", "d", 0)
		d.awaitServing()
		u.ServiceTime = workEnds
		conn, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		request := func(method, path, attempt string) string {
			return method + " " + path + " HTTP/1.1\r\nHost: " + testVirtualHost + "\r\n" + standin.AttemptLine(id.Attempt(attempt)) + "Content-Length: 0\r\n\r\n"
		}
		_, _ = io.WriteString(conn, request(http.MethodGet, "/look/1", "early"))
		for d.host.clientServer.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.AfterFunc(sentAfter, func() { _, _ = io.WriteString(conn, request(method, path, "late")) })
		d.host.Stop()
		answers, err := io.ReadAll(conn)
		if got := string(answers); err != nil || !strings.HasPrefix(got, "HTTP/1.1 200 OK") || strings.Count(got, "HTTP/1.1") != 1 || !strings.Contains(got, "Connection: close") {
			t.Errorf("%s: got %q, error %v, want one answer that ends the connection", method, got, err)
		}
		d.mu.Lock()
		if slices.ContainsFunc(d.executions, func(e standin.Execution) bool { return e.Attempt == "late" }) {
			t.Errorf("%s: got the late request at an upstream, want it left to the client", method)
		}
		d.mu.Unlock()
	}
}

// TestStopRefusesLateRequestThatMayOutlastIt guards against requests that arrive late in a long
// grace time and are broken off at its end, although their upstream is at work on them. A
// request that ends in time by its own deadline is still served.
func TestStopRefusesLateRequestThatMayOutlastIt(t *testing.T) {
	const grace, sentAfter, work = 8 * time.Second, 3300 * time.Millisecond, 5 * time.Second
	d := startDeployment(t, map[string]float64{"graceS": grace.Seconds()})
	u := d.startUpstream("u", "d", 0)
	d.awaitServing()
	stopped := make(chan struct{})
	go func() {
		d.host.Stop()
		close(stopped)
	}()
	time.Sleep(sentAfter)
	send := func(remaining time.Duration, path string) string {
		conn, err := net.Dial("tcp", d.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: "+testVirtualHost+"\r\n"+standin.AttemptLine(id.Attempt(path))+standin.RemainingLine(remaining)+"Content-Length: 4\r\n\r\nswap")
		answer, err := io.ReadAll(conn)
		if err != nil {
			t.Errorf("%s: got error %v, want an answer", path, err)
		}
		return string(answer)
	}
	if got, want := send(1500*time.Millisecond, "/swap/short"), "HTTP/1.1 200 OK\r\n"; !strings.HasPrefix(got, want) {
		t.Errorf("request that ends in time: got %q, want %q", got, want)
	}
	u.ServiceTime = work
	sentAt := time.Now()
	got := send(grace, "/swap/long")
	if want := "HTTP/1.1 503 Service Unavailable\r\n"; !strings.HasPrefix(got, want) || !strings.Contains(got, "Connection: close") || !strings.Contains(got, "Retry-After: ") {
		t.Errorf("request that may outlast the stop: got %q, want %q with Retry-After, which ends the connection", got, want)
	}
	if took := time.Since(sentAt); took > work/2 {
		t.Errorf("request that may outlast the stop: got the answer after %v, want it at once", took)
	}
	<-stopped
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.ContainsFunc(d.executions, func(e standin.Execution) bool { return e.Attempt == "/swap/long" }) {
		t.Error("request that may outlast the stop: got it at an upstream, want it left to the client")
	}
}
