package daemon

import (
	"context"
	"net"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/settings"
	"celerypin.example/celerypin/pkg/state/clock"
)

func serveSettings(callerListen, hostListen, platform string) settings.Serve {
	return settings.Serve{
		Host: "a", Region: "r0", FailureDomain: "r0-a", CallerListen: callerListen, HostListen: hostListen,
		Platform: platform, FleetSecret: testSecret, OperatorToken: testToken,
	}
}

// TestFailedStartLeavesNoResources checks that a host that cannot start returns an error
// that names the setting, and leaves no port open and no goroutine running.
func TestFailedStartLeavesNoResources(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	freeAddress := free.Addr().String()
	free.Close()
	for _, c := range []struct {
		name string
		s    settings.Serve
		want string
	}{
		{"caller port in use", serveSettings(occupied.Addr().String(), freeAddress, "http://127.0.0.1:1"), "caller_listen"},
		{"host port in use", serveSettings(freeAddress, occupied.Addr().String(), "http://127.0.0.1:1"), "host_listen"},
		{"platform unreachable", serveSettings(freeAddress, "127.0.0.1:0", "http://127.0.0.1:1"), "platform"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, err := New(c.s, clock.System{}, logging.Discard())
			if err == nil {
				err = h.Start(context.Background())
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that names %s", err, c.want)
			}
			again, err := net.Listen("tcp", freeAddress)
			if err != nil {
				t.Fatalf("got %v, want the other port still free", err)
			}
			again.Close()
		})
	}
}

// TestKilledHostLeavesNoResources checks that a killed host leaves no goroutine running.
func TestKilledHostLeavesNoResources(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Run("start and kill", func(t *testing.T) {
		d := newDeployment(t, 2)
		d.post(0, "/once/x", "x", "x")
	})
	goleak.VerifyNone(t, before, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreAnyFunction("internal/poll.runtime_pollWait"))
}
