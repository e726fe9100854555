package budget

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/unit"
)

// limiter is a token bucket with a fixed share. Its only variable is the instant at
// which it will be full: spending moves that instant later by the time that the
// amount takes to refill. A spend is therefore one exact compare-and-swap, however
// much time has passed. All rounding is to the spender's disadvantage.
type limiter[U unit.Amount] struct {
	share Share[U]
	// fillNanos is the time that an empty limiter takes to fill. It is 0 if the share
	// has no rate or no burst; such a limiter grants nothing.
	fillNanos int64
	fullAt    atomic.Int64
}

// closedFullAt is the value of fullAt in a limiter that another one has replaced.
const closedFullAt = math.MaxInt64

// maxFillNanos bounds fillNanos, so that sums of instants do not overflow.
const maxFillNanos = math.MaxInt64 / 8

func newLimiter[U unit.Amount](share Share[U], tokens U, now clock.Instant) *limiter[U] {
	l := &limiter[U]{share: share}
	if share.Rate <= 0 || share.Burst <= 0 {
		return l
	}
	l.fillNanos = nanosFor(share.Burst, share.Rate, roundDown)
	missing := nanosFor(share.Burst-tokens, share.Rate, roundUp)
	l.fullAt.Store(int64(now) + min(missing, l.fillNanos))
	return l
}

// spend debits amount if the limiter has it. closed is set if the limiter was
// replaced; the spend must then be tried on the new one.
func (l *limiter[U]) spend(amount U, now clock.Instant) (granted, closed bool) {
	if l.fillNanos == 0 {
		return false, l.fullAt.Load() == closedFullAt
	}
	cost := nanosFor(amount, l.share.Rate, roundUp)
	for {
		full := l.fullAt.Load()
		if full == closedFullAt {
			return false, true
		}
		next := max(full, int64(now)) + cost
		if next-int64(now) > l.fillNanos {
			return false, false
		}
		if l.fullAt.CompareAndSwap(full, next) {
			return true, false
		}
	}
}

// close marks the limiter as replaced, so that it grants nothing more, and returns
// the tokens it had.
func (l *limiter[U]) close(now clock.Instant) U {
	return l.tokensAt(l.fullAt.Swap(closedFullAt), now)
}

// level returns the tokens at now; a closed limiter has none.
func (l *limiter[U]) level(now clock.Instant) U { return l.tokensAt(l.fullAt.Load(), now) }

// tokensAt returns the tokens at now of a limiter that will be full at full.
func (l *limiter[U]) tokensAt(full int64, now clock.Instant) U {
	if l.fillNanos == 0 || full == closedFullAt {
		return 0
	}
	missing := time.Duration(full - int64(now))
	if missing <= 0 {
		return l.share.Burst
	}
	// Over rounds the missing tokens down; one more rounds them up.
	return max(0, l.share.Burst-unit.Over(l.share.Rate, missing)-1)
}

const (
	roundDown = 0
	roundUp   = 1
)

// nanosFor returns the nanoseconds in which a rate yields amount, at most
// maxFillNanos. round is roundDown or roundUp.
func nanosFor[U unit.Amount](amount, rate U, round uint64) int64 {
	hi, lo := bits.Mul64(uint64(amount), uint64(time.Second))
	if hi >= uint64(rate) {
		return maxFillNanos
	}
	quotient, remainder := bits.Div64(hi, lo, uint64(rate))
	if remainder > 0 {
		quotient += round
	}
	return int64(min(quotient, maxFillNanos))
}
