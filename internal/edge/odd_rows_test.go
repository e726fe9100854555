package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/platform/standin"
)

// TestOddUpstreamRowTakesNoRequests guards against a row of another writer that draws the
// requests of a running host. Two sound upstreams are listed beside each odd row, whose
// address is in another region and accepts connections, but never answers.
func TestOddUpstreamRowTakesNoRequests(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var connections atomic.Int64
	go func() {
		for {
			conn, err := silent.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			defer conn.Close()
		}
	}()
	row := func(address, slots, cold string) string {
		return string(standin.RawUpstream{Address: address, Service: "desk", Domain: "e", Slots: slots, Cold: cold, Incarnation: 1}.Value())
	}
	address := silent.Addr().String()
	for _, odd := range []string{
		row(address, "1099511627776", "0"), row(address, "65535", "0"), row(address, "101", "0"), row("127.0.0.1:70000", "16", "0"), row("127.0.0.1:0", "16", "0"),
		row(address, "16", "1e300"), row(address, "1e400", "0"), strings.Repeat("[", 60000), "null", "",
	} {
		d := startDeployment(t, map[string]float64{"graceS": 0.5}, func(s *standin.Store) { s.PutUpstream("odd", []byte(odd)) })
		d.startUpstream("sound-1", "d", time.Millisecond)
		d.startUpstream("sound-2", "d", time.Millisecond)
		d.awaitServing()
		connections.Store(0)
		const requests = 100
		served := 0
		for i := range requests {
			if d.getWithin(time.Second, "/look/1", id.Attempt(fmt.Sprint(i))) == http.StatusOK {
				served++
			}
		}
		if got := connections.Load(); served < requests || got > 0 {
			t.Errorf("row %.110s: got %d of %d served, %d connections to its address, want all and none", odd, served, requests, got)
		}
		if got := d.host.guard.Total(); got != 0 {
			t.Errorf("row %.90s: got %d panics, want none", odd, got)
		}
		d.host.Stop()
	}
}
