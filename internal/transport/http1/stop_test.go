package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
)

// answerTimeout is the time for the answers of calls that the tests cancel.
const answerTimeout = 250 * time.Millisecond

// TestStopWaitsNoLongerThanAllowed guards against a stop that outlasts the time until SIGKILL,
// because a call that was cancelled does not end.
func TestStopWaitsNoLongerThanAllowed(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(context.Context, *Call) Reply {
		close(begun)
		<-end
		return textReply("late")
	})
	defer close(end)
	_, _ = io.WriteString(s.dial(t), get("/1"))
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	const allowed = 20 * time.Millisecond
	startedAt := time.Now()
	s.Stop(ctx, errTestStop, allowed)
	// Before, a stop took 250 ms at any grace time. The rest is for a busy machine.
	if got, want := time.Since(startedAt), 10*allowed; got >= want {
		t.Errorf("got stopped after %v, want less than %v", got, want)
	}
}

// TestStopAnswersWhatItCancels guards against connections that are cut without an answer
// when the time to stop is over.
func TestStopAnswersWhatItCancels(t *testing.T) {
	begun := make(chan struct{}, 3)
	s := startServer(t, func(ctx context.Context, _ *Call) Reply {
		begun <- struct{}{}
		<-ctx.Done()
		return textReply(context.Cause(ctx).Error())
	})
	single, pipelined := s.dial(t), s.dial(t)
	_, _ = io.WriteString(single, get("/1"))
	_, _ = io.WriteString(pipelined, get("/2")+get("/3"))
	for range 3 {
		<-begun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if got, want := s.Stop(ctx, errTestStop, answerTimeout), 3; got != want {
		t.Errorf("got %d calls cancelled, want %d", got, want)
	}
	for _, conn := range []net.Conn{single, pipelined} {
		in := bufio.NewReader(conn)
		response, got := readAnswer(t, in)
		for conn == pipelined && !response.Close {
			response, got = readAnswer(t, in)
		}
		if want := errTestStop.Error(); got != want || !response.Close {
			t.Errorf("got %q, closing %v, want %q and true", got, response.Close, want)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("got %v after the last answer, want %v", err, io.EOF)
		}
	}
}

// TestStopAnswersWhatHasArrived stops the server just after clients have sent a request
// on connections that were idle. A request whose bytes had arrived must be answered.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	const stops, clients = 40, 25
	cut := 0
	for range stops {
		s := startServer(t, func(context.Context, *Call) Reply { return textReply("served") })
		var conns []net.Conn
		for range clients {
			conn := s.dial(t)
			_, _ = io.WriteString(conn, get("/first"))
			_, _ = readAnswer(t, bufio.NewReader(conn))
			conns = append(conns, conn)
		}
		var requests sync.WaitGroup
		requests.Add(clients)
		for _, conn := range conns {
			go func() {
				defer requests.Done()
				_, _ = io.WriteString(conn, get("/last"))
			}()
		}
		requests.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		s.Stop(ctx, errTestStop, answerTimeout)
		cancel()
		for _, conn := range conns {
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				cut++
			}
			_ = conn.Close()
		}
	}
	if cut > 0 {
		t.Errorf("got %d of %d requests cut off without an answer, want none", cut, stops*clients)
	}
}

// TestStoppingServerTakesNoRequestBehindAnUndecidedOne guards against two faults: a stopping
// server that takes a request which it may not finish, and one that drops a request although
// the answer before it, which is written but still counts as pending, did not close the
// connection.
func TestStoppingServerTakesNoRequestBehindAnUndecidedOne(t *testing.T) {
	for _, decided := range []bool{false, true} {
		s := NewServer(nil, func() Limits { return testLimits }, clock.System{}, newGuard())
		c := newServerConn(s, nil)
		if !c.startRequest() {
			t.Fatal("got the first request refused, want it taken")
		}
		if decided && c.closesAfter(&exchange{call: &Call{}}) {
			t.Fatal("got an answer that closes the connection, want it open")
		}
		s.draining.Store(true)
		s.stopping.Store(true)
		if got, want := c.startRequest(), decided; got != want {
			t.Errorf("answer decided %v: got the next request taken %v, want %v", decided, got, want)
		}
		if !decided && !c.closesAfter(&exchange{call: &Call{}}) {
			t.Error("got the last answer without the end of the connection, want it announced")
		}
	}
}
