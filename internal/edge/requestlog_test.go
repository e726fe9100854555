package edge

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/transport/http1"
	"celerypin.example/celerypin/pkg/coordination/steer"
	"celerypin.example/celerypin/pkg/state/clock"
)

type decision = steer.Decision[*http1.Answer]

// TestLimitOfOneReasonSparesOthers writes more lines of one reason than its limit
// allows: a line of another reason must still appear, and the next line must name
// the number skipped.
func TestLimitOfOneReasonSparesOthers(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewFake()
	l := newRequestLog(logging.New(&out, "info", "json").Part("request"), c)
	r := &steer.Request{Attempt: "a"}
	for range 500 {
		l.logDecision(r, &decision{Outcome: steer.UnknownKey, Reason: steer.ReasonKey}, 0)
	}
	l.logDecision(r, &decision{Outcome: steer.Failed, Reason: steer.ReasonLost}, 0)
	if got, want := strings.Count(out.String(), "key is not known"), otherLinesPerSecond; got != want {
		t.Errorf("got %d lines of one reason in a second, want %d", got, want)
	}
	if got, want := strings.Count(out.String(), "answer_lost"), 1; got != want {
		t.Errorf("got %d lines of the failure, want %d", got, want)
	}
	out.Reset()
	c.Advance(time.Second)
	l.logDecision(r, &decision{Outcome: steer.UnknownKey, Reason: steer.ReasonKey}, 0)
	if got, want := out.String(), fmt.Sprintf(`"lines_skipped":%d`, 500-otherLinesPerSecond); !strings.Contains(got, want) {
		t.Errorf("got %s, want the number of skipped lines: %s", got, want)
	}
}

// blockedWriter is a writer that blocks until a channel is closed.
type blockedWriter struct{ until chan struct{} }

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.until
	return len(p), nil
}

// TestBlockedLogWriterDoesNotBlockCallers guards against requests that wait for
// a blocked log output: lines must be dropped and counted instead.
func TestBlockedLogWriterDoesNotBlockCallers(t *testing.T) {
	out := &blockedWriter{make(chan struct{})}
	w := logging.NewAsyncWriter(out)
	log := logging.New(w, "info", "json").Part("request")
	done := make(chan struct{})
	go func() {
		for range 10000 {
			log.Info("A line.")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing lines waited for the blocked output")
	}
	if got := w.Dropped(); got == 0 {
		t.Error("got no line counted as dropped, want some")
	}
	close(out.until)
}

// BenchmarkRequestLines measures the lines and bytes a second at the usual load of
// a host and at twenty times that load.
func BenchmarkRequestLines(b *testing.B) {
	for name, perSecond := range map[string]int{"usual": 50, "twenty_times": 1000} {
		b.Run(name, func(b *testing.B) {
			var out bytes.Buffer
			c := clock.NewFake()
			l := newRequestLog(logging.New(&out, "info", "json").Part("request"), c)
			r := &steer.Request{Attempt: "9c41d07be2a35f68", Object: "17"}
			for range b.N {
				for i := range perSecond {
					d := &decision{Route: "r-e9itfrz", Account: "sese880", Service: "huvo11a", Release: "v1", Upstream: "i-7f3a91c2", Attempts: 1}
					if i%10 == 0 {
						d.Outcome, d.Reason = steer.Refused, steer.ReasonFull
					}
					l.logDecision(r, d, time.Millisecond)
				}
				c.Advance(time.Second)
			}
			b.ReportMetric(float64(bytes.Count(out.Bytes(), []byte("\n")))/float64(b.N), "lines/s")
			b.ReportMetric(float64(out.Len())/float64(b.N), "bytes/s")
		})
	}
}
