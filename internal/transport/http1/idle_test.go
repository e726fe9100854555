package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// timedListener sends the time at which it accepts each connection. A client's own
// time of dialing is no bound: the server may have accepted, and count, before the
// client runs again.
type timedListener struct {
	net.Listener
	accepted chan time.Time
}

func (l timedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- time.Now()
	}
	return conn, err
}

func TestIdleConnectionIsClosedAfterTheLimit(t *testing.T) {
	listener := timedListener{listen(t), make(chan time.Time, 1)}
	s := startServerOn(t, listener, func(context.Context, *Call) Reply { return textReply("") })
	conn := s.dial(t)
	checkIdleTimeout(t, conn, <-listener.accepted)
}

func TestConnectionIdleAfterAnAnswerIsClosedAfterTheLimit(t *testing.T) {
	handled := make(chan time.Time, 1)
	s := startServer(t, func(context.Context, *Call) Reply {
		handled <- time.Now()
		return textReply("")
	})
	conn := s.dial(t)
	_, _ = io.WriteString(conn, get("/"))
	in := bufio.NewReader(conn)
	_, _ = readAnswer(t, in)
	checkIdleTimeout(t, in, <-handled)
}

func checkIdleTimeout(t *testing.T, conn io.Reader, idleSince time.Time) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("got %v from the idle connection, want %v", err, io.EOF)
	}
	if got, want := time.Since(idleSince), testLimits.IdleTimeout; got < want {
		t.Errorf("got the idle connection closed after %v, want at least %v", got, want)
	}
}
