package budget

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

const second = clock.Instant(time.Second)

func fullBucket(rate, burst int64) (*Bucket[unit.Tokens], clock.Instant) {
	start := 1000 * second
	b := NewBucket(Share[unit.Tokens]{Rate: unit.Whole(rate), Burst: unit.Whole(burst)}, start)
	now := start + 3600*second
	b.Level(now)
	return b, now
}

// TestFullBucketIsNotCreditedLater guards against crediting, after the next spend,
// the time during which the bucket was full. The property test of the fleet found
// that fault.
func TestFullBucketIsNotCreditedLater(t *testing.T) {
	b, now := fullBucket(6, 8)
	now += clock.Instant(60 * time.Millisecond)
	got := 0
	for range 12 {
		if b.Spend(unit.Token, now) {
			got++
		}
		now += clock.Instant(30 * time.Millisecond)
	}
	if want := 9; got != want {
		t.Errorf("got %d requests granted in 0.33 s at 6/s with a burst of 8, want %d", got, want)
	}
}

func TestNewAndRaisedSharesStartEmpty(t *testing.T) {
	now := 1000 * second
	b := NewBucket(Share[unit.Tokens]{Rate: unit.Whole(1), Burst: unit.Whole(5)}, now)
	if b.Spend(unit.Token, now) {
		t.Error("got a grant from a new bucket, want none before its rate has filled it")
	}
	b.SetShare(Share[unit.Tokens]{Rate: unit.Whole(1), Burst: unit.Whole(50)}, now)
	if got := b.Level(now); got != 0 {
		t.Errorf("got level %d after the share was raised, want 0", got)
	}
}

func TestLoweredShareDropsTokens(t *testing.T) {
	b, now := fullBucket(10, 50)
	b.SetShare(Share[unit.Tokens]{Rate: unit.Whole(10), Burst: unit.Whole(3)}, now)
	if got, want := b.Level(now), unit.Whole(3); got != want {
		t.Errorf("got level %d after the burst was lowered, want %d", got, want)
	}
}

func TestLentBurstStaysReservedUntilTheLoanEnds(t *testing.T) {
	b, now := fullBucket(100, 10)
	until := now.Add(time.Second)
	req := LoanRequest[unit.Tokens]{ID: 1, To: "other", Amount: unit.Whole(6), Granularity: unit.Token}
	if got, want := b.Lend(req, 0, now, until), unit.Whole(6); got != want {
		t.Fatalf("got %d lent, want %d", got, want)
	}
	if got := b.Lend(req, 0, now, until); got != 0 {
		t.Errorf("got %d lent for a repeated loan, want 0", got)
	}
	if got, want := b.Level(until), unit.Whole(4); got != want {
		t.Errorf("got level %d while the loan may be spent, want %d", got, want)
	}
	b.Reclaim(until + 1)
	if got, want := b.Level(until+second), unit.Whole(10); got != want {
		t.Errorf("got level %d a second after the loan has ended, want %d", got, want)
	}
}

func TestReceivedLoanExpires(t *testing.T) {
	now := 1000 * second
	b := NewBucket(Share[unit.Tokens]{}, now)
	b.Receive(1, "lender", unit.Whole(2), now, now+second, now+second)
	if !b.Spend(unit.Token, now+second) {
		t.Error("got no grant from a loan at its last instant, want one")
	}
	if b.Spend(unit.Token, now+second+1) {
		t.Error("got a grant from a loan that has ended, want none")
	}
}

// TestConcurrentSpendsNeverExceedTheBucket spends, lends and changes the share
// from several goroutines at one instant of the clock.
func TestConcurrentSpendsNeverExceedTheBucket(t *testing.T) {
	b, now := fullBucket(1000, 1000)
	var granted, lent atomic.Int64
	var workers sync.WaitGroup
	for n := range 8 {
		workers.Go(func() {
			for i := range 500 {
				if b.Spend(unit.Token, now) {
					granted.Add(1)
				}
				if n == 0 && i%50 == 0 {
					lent.Add(int64(b.Lend(LoanRequest[unit.Tokens]{ID: id.Loan(1 + i), To: "other", Amount: unit.Token}, 0, now, now+second)))
				}
				if n == 1 && i%50 == 0 {
					b.SetShare(Share[unit.Tokens]{Rate: unit.Whole(1000), Burst: unit.Whole(1000 - int64(i%100))}, now)
				}
			}
		})
	}
	workers.Wait()
	if got := unit.Whole(granted.Load()) + unit.Tokens(lent.Load()); got > unit.Whole(1000) {
		t.Errorf("got %d granted and lent, want at most %d", got, unit.Whole(1000))
	}
	if granted.Load() < 900 {
		t.Errorf("got %d granted, want at least 900 of 1000", granted.Load())
	}
}
