package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/coordination/hedge"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// stopBound is the time within which the upstream of a cancelled exchange must see its
// connection closed.
const stopBound = 500 * time.Millisecond

// slowPair is a pair of upstreams. Of a request in two copies, the one that arrives as
// number loser is stalled until its connection closes.
type slowPair struct {
	loser int64
	// partial is what the stalled one writes before, whole what the other one answers.
	partial, whole func(attempt id.Attempt) string
	arrived        atomic.Int64
	// answeredAt is when the other one answers, closedAt when the connection is closed.
	answeredAt, closedAt time.Time
	second, closed       chan struct{}
}

func (p *slowPair) serve(conn net.Conn, _ int, attempt id.Attempt) {
	if attempt != "slow" {
		_, _ = io.WriteString(conn, served(attempt))
		return
	}
	n := p.arrived.Add(1)
	if n == 2 {
		close(p.second)
	}
	if n != p.loser {
		// Both copies are under way before one answers.
		<-p.second
		p.answeredAt = time.Now()
		_, _ = io.WriteString(conn, p.whole(attempt))
		return
	}
	_, _ = io.WriteString(conn, p.partial(attempt))
	_, _ = conn.Read(make([]byte, 1))
	p.closedAt = time.Now()
	close(p.closed)
}

// TestLoserOfAHedgedRequestIsCancelled guards against work that goes on at the upstream
// whose answer is not used, against a client that gets two answers or parts of two, and
// against answers and slots that are never released.
func TestLoserOfAHedgedRequestIsCancelled(t *testing.T) {
	nothing := func(id.Attempt) string { return "" }
	part := func(a id.Attempt) string { return strings.TrimSuffix(served(a), "k") }
	// long is more than what is buffered of an answer, and less than its length.
	long := func(bytes int) func(a id.Attempt) string {
		return func(a id.Attempt) string {
			return strings.Replace(strings.TrimSuffix(served(a), "ok"), "Content-Length: 2", "Content-Length: 3000000", 1) + strings.Repeat("x", bytes)
		}
	}
	for _, c := range []struct {
		name    string
		loser   int64
		partial func(id.Attempt) string
		whole   func(id.Attempt) string
		length  int
	}{
		{"first, without an answer", 1, nothing, served, 2},
		{"first, in the middle of its answer", 1, part, served, 2},
		{"first, in the middle of a long answer", 1, long(500_000), long(3_000_000), 3_000_000},
		{"copy, without an answer", 2, nothing, served, 2},
		{"copy, in the middle of its answer", 2, part, served, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDeploymentWith(t, []Option{WithHedging(hedge.MaxFraction)}, map[string]float64{"graceS": 0.2})
			p := &slowPair{loser: c.loser, partial: c.partial, whole: c.whole, second: make(chan struct{}), closed: make(chan struct{})}
			for _, name := range []id.Upstream{"u-1", "u-2"} {
				d.startScripted(name, "d", &scriptedUpstream{ran: map[id.Attempt]int{}, serve: p.serve})
			}
			d.awaitServing()
			for i := range 320 {
				elapsed := []time.Duration{time.Millisecond, 20 * time.Millisecond, 8 * time.Second}[max(i%32-29, 0)]
				for _, known := range []bool{true, false} {
					d.host.steerer.Hedger.Observe(hedge.Key{Service: "desk", Route: "look", Known: known}, elapsed)
				}
			}
			for len(d.host.placer.Upstreams()) < 2 {
				time.Sleep(10 * time.Millisecond)
			}
			d.readOneAnswer(c.length)
			<-p.closed
			if got := p.closedAt.Sub(p.answeredAt); got > stopBound {
				t.Errorf("the connection of the cancelled exchange was open until %v after the answer, want at most %v", got, stopBound)
			}
			if sent, won := d.host.metrics.hedgesSent.Count(), d.host.metrics.hedgesWon.Count(); sent != 1 || won != 2-c.loser {
				t.Errorf("got %d copies, of which %d won, want 1 and %d", sent, won, 2-c.loser)
			}
			time.Sleep(time.Until(p.closedAt.Add(stopBound)))
			for _, u := range d.host.placer.Upstreams() {
				if got := u.InFlight(); got != 0 {
					t.Errorf("got %d slots of %s in use after the answer, want none", got, u.Info.ID)
				}
			}
		})
	}
}

// readOneAnswer sends the request whose first exchange is slow, and checks that one whole
// answer of the given length comes back and nothing else.
func (d *testDeployment) readOneAnswer(length int) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /look/slow HTTP/1.1\r\nHost: "+testVirtualHost+"\r\n"+standin.AttemptLine("slow")+"\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(startTimeout))
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || len(body) != length {
		d.t.Errorf("got status %d, %d bytes, error %v, want %d with %d bytes", response.StatusCode, len(body), err, http.StatusOK, length)
	}
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if rest, _ := io.ReadAll(in); len(rest) > 0 {
		d.t.Errorf("got %d bytes behind the answer, want none", len(rest))
	}
}
