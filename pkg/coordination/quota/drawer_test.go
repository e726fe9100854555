package quota

import (
	"context"
	"sync"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// askRecorder records the asks that a drawer sends.
type askRecorder struct{ asks chan Ask }

func newTestDrawer(holder id.Host) (*Drawer, *askRecorder, *clock.Fake) {
	c := clock.NewFake()
	r := &askRecorder{asks: make(chan Ask, 16)}
	d := NewDrawer("self", NewPool(tolerance), c, func(_ id.Host, a Ask) { r.asks <- a })
	d.SetHolder(holder)
	return d, r, c
}

// drawn is the result of one Draw.
type drawn struct {
	ok    bool
	delay time.Duration
}

// drawAll starts n draws and returns their results once all have ended.
func drawAll(ctx context.Context, d *Drawer, n int) <-chan []drawn {
	results := make([]drawn, n)
	done := make(chan []drawn, 1)
	var draws sync.WaitGroup
	for i := range n {
		draws.Go(func() { results[i].ok, results[i].delay = d.Draw(ctx, account) })
	}
	go func() {
		draws.Wait()
		done <- results
	}()
	return done
}

func countAdmitted(results []drawn) int {
	n := 0
	for _, r := range results {
		if r.ok {
			n++
		}
	}
	return n
}

// TestRequestsShareAsks starts several requests of an account at once. All must be
// answered by the holder's word, with few asks.
func TestRequestsShareAsks(t *testing.T) {
	d, r, _ := newTestDrawer("hub")
	done := drawAll(context.Background(), d, 5)
	asks, asked := 0, 0
	for {
		select {
		case a := <-r.asks:
			asks++
			asked += a.Requests
			d.Granted("hub", Grant{Account: account, Requests: a.Requests})
			continue
		case results := <-done:
			if got, want := countAdmitted(results), 5; got != want {
				t.Errorf("got %d requests admitted, want %d", got, want)
			}
		}
		break
	}
	if asked != 5 || asks > 5 {
		t.Errorf("got %d tokens asked for in %d asks, want 5 in at most 5", asked, asks)
	}
}

// TestHolderRefusesInTurn answers an ask for several requests with fewer tokens.
func TestHolderRefusesInTurn(t *testing.T) {
	d, r, _ := newTestDrawer("hub")
	first := drawAll(context.Background(), d, 1)
	<-r.asks
	others := drawAll(context.Background(), d, 3)
	for waiting := 0; waiting < 4; time.Sleep(time.Millisecond) {
		d.mu.Lock()
		waiting = len(d.waiting[account].waiters)
		d.mu.Unlock()
	}
	d.Granted("hub", Grant{Account: account, Requests: 1, RetryAfter: 200 * time.Millisecond, Interval: 100 * time.Millisecond})
	results := append(<-first, <-others...)
	if got, want := countAdmitted(results), 1; got != want {
		t.Errorf("got %d requests admitted, want %d", got, want)
	}
	delays := map[time.Duration]bool{}
	for _, result := range results {
		if !result.ok {
			delays[result.delay] = true
		}
	}
	if got, want := len(delays), 3; got != want {
		t.Errorf("got delays %v, want %d different ones", delays, want)
	}
	// The refusal stands for a while, without another ask.
	if ok, delay := d.Draw(context.Background(), account); ok || delay <= 0 {
		t.Errorf("got %t, %v just after a refusal, want a refusal with a delay", ok, delay)
	}
	if got := len(r.asks); got != 0 {
		t.Errorf("got %d asks after a refusal, want none", got)
	}
}

// TestSilentHolder waits for a holder that does not answer. The next request asks again,
// and a late grant serves the requests that come within spareAge, no later ones.
func TestSilentHolder(t *testing.T) {
	d, r, c := newTestDrawer("hub")
	start := time.Now()
	if ok, delay := d.Draw(context.Background(), account); ok || delay != unansweredDelay {
		t.Errorf("got %t, %v, want a refusal with %v", ok, delay, unansweredDelay)
	}
	if got := time.Since(start); got < drawTimeout {
		t.Errorf("got an answer after %v, want at least %v", got, drawTimeout)
	}
	<-r.asks
	c.Advance(drawTimeout)
	done := drawAll(context.Background(), d, 1)
	<-r.asks
	d.Granted("hub", Grant{Account: account, Requests: 3})
	if got, want := countAdmitted(<-done), 1; got != want {
		t.Errorf("got %d requests admitted, want %d", got, want)
	}
	if ok, _ := d.Draw(context.Background(), account); !ok {
		t.Error("got a refusal with a spare token, want it used")
	}
	c.Advance(spareAge)
	done = drawAll(context.Background(), d, 1)
	<-r.asks
	d.Granted("hub", Grant{Account: account, RetryAfter: time.Second})
	if got := countAdmitted(<-done); got != 0 {
		t.Error("got an expired spare token used, want a refusal")
	}
}

func TestClientThatLeavesStopsWaiting(t *testing.T) {
	d, r, _ := newTestDrawer("hub")
	ctx, cancel := context.WithCancel(context.Background())
	done := drawAll(ctx, d, 1)
	<-r.asks
	cancel()
	if got := countAdmitted(<-done); got != 0 {
		t.Errorf("got %d requests admitted, want none", got)
	}
	if got := len(d.waiting[account].waiters); got != 0 {
		t.Errorf("got %d requests that wait, want none", got)
	}
}

func TestHolderItselfAndHostWithoutHolder(t *testing.T) {
	d, _, c := newTestDrawer("")
	if ok, delay := d.Draw(context.Background(), account); ok || delay != 0 {
		t.Errorf("got %t, %v without a holder, want no token and no delay", ok, delay)
	}
	d.SetHolder("self")
	d.pool.SetParts([]*desired.Account{{ID: account, Rate: 10, Burst: 10}}, PoolParts{Even: 1, Used: map[id.Account]float64{account: 1}})
	d.pool.Deposit(Deposits{account: tokens(1)}, c.Now())
	if ok, _ := d.Draw(context.Background(), account); !ok {
		t.Error("got no token from this host's own pool, want one")
	}
	if ok, delay := d.Draw(context.Background(), account); ok || delay <= 0 {
		t.Errorf("got %t, %v from the empty pool, want a refusal with a delay", ok, delay)
	}
}
