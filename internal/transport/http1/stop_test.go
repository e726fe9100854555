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
)

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
	if got, want := s.Stop(ctx, errTestStop), 3; got != want {
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
		s.Stop(ctx, errTestStop)
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
