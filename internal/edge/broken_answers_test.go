package edge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// brokenAnswers are answers to a request that has run, whose heads HTTP does not allow.
var brokenAnswers = []standin.RawAnswer{
	{Status: "000 Zero"}, {Status: "099 Low"}, {Status: "600 High"},
	{Status: "200 OK", Line: "X Y: v"}, {Status: "200 OK", Line: "X : v"}, {Status: "200 OK", Line: "X\x01: v"}, {Status: "200 OK", Line: "X\tY: v"},
	{Status: "200 OK", Line: "Transfer-Encoding : chunked"}, {Status: "503 Full", NotRun: true, Line: "X Y: v"},
}

// TestBrokenAnswerReachesNoClient guards against clients that get an upstream's malformed
// answer, or wait for another one until their deadline. The host's own answer must not
// promise that the request has not run.
func TestBrokenAnswerReachesNoClient(t *testing.T) {
	for _, broken := range brokenAnswers {
		for method, path := range map[string]string{http.MethodPost: "/swap/1", http.MethodGet: "/look/1"} {
			d := startDeployment(t, map[string]float64{"graceS": 0.2})
			u := &scriptedUpstream{ran: map[id.Attempt]int{}}
			u.serve = func(conn net.Conn, _ int, attempt id.Attempt) {
				u.count(attempt)
				if attempt == "first" {
					_, _ = io.WriteString(conn, served(attempt))
					return
				}
				answer := broken
				answer.Attempt, answer.Authentic = attempt, true
				_, _ = io.WriteString(conn, answer.String())
			}
			d.startScripted("u-1", "d", u)
			d.awaitServing()
			// Half of the route's timeout.
			const allowed = 5 * time.Second
			startedAt := time.Now()
			if got, _ := d.send(allowed, method, path, "a"); got != http.StatusBadGateway {
				t.Errorf("%q to %s: got status %d after %v, want %d", broken, method, got, time.Since(startedAt), http.StatusBadGateway)
			}
			if got, want := u.runs("a"), 1; method == http.MethodPost && got != want {
				t.Errorf("%q: got %d runs of a request that may run once, want %d", broken, got, want)
			}
		}
	}
}
