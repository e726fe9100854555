package budget

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/unit"
)

// tank holds tokens that flow in at a rate up to a burst. Its only variable is
// the instant at which it will be full, so that a spend is one exact
// compare-and-swap, whatever time has passed: spending moves the instant later,
// and time does the rest. All rounding is to the spender's disadvantage.
type tank[U unit.Amount] struct {
	share Share[U]
	// span is how long an empty tank takes to fill.
	span   int64
	fullAt atomic.Int64
}

// closedAt marks a tank that another one has replaced.
const closedAt = math.MaxInt64

// maxSpan bounds the time that an empty tank takes to fill.
const maxSpan = math.MaxInt64 / 8

func newTank[U unit.Amount](share Share[U], tokens U, now clock.Instant) *tank[U] {
	t := &tank[U]{share: share}
	if share.Rate <= 0 || share.Burst <= 0 {
		return t
	}
	t.span = timeFor(share.Burst, share.Rate, roundDown)
	missing := timeFor(share.Burst-tokens, share.Rate, roundUp)
	t.fullAt.Store(int64(now) + min(missing, t.span))
	return t
}

// take spends amount if the tank has it. Closed tells that the tank was
// replaced, and that the spend must be tried on the new one.
func (t *tank[U]) take(amount U, now clock.Instant) (granted, closed bool) {
	if t.span == 0 {
		return false, t.fullAt.Load() == closedAt
	}
	cost := timeFor(amount, t.share.Rate, roundUp)
	for {
		full := t.fullAt.Load()
		if full == closedAt {
			return false, true
		}
		next := max(full, int64(now)) + cost
		if next-int64(now) > t.span {
			return false, false
		}
		if t.fullAt.CompareAndSwap(full, next) {
			return true, false
		}
	}
}

// close ends the tank and returns the tokens it had.
func (t *tank[U]) close(now clock.Instant) U {
	return t.tokensAt(t.fullAt.Swap(closedAt), now)
}

// level returns the tokens at now; those of a closed tank count as none.
func (t *tank[U]) level(now clock.Instant) U { return t.tokensAt(t.fullAt.Load(), now) }

func (t *tank[U]) tokensAt(full int64, now clock.Instant) U {
	if t.span == 0 || full == closedAt {
		return 0
	}
	missing := time.Duration(full - int64(now))
	if missing <= 0 {
		return t.share.Burst
	}
	return max(0, t.share.Burst-unit.Over(t.share.Rate, missing)-1)
}

const (
	roundDown = 0
	roundUp   = 1
)

// timeFor returns the nanoseconds in which a rate yields amount.
func timeFor[U unit.Amount](amount, rate U, round uint64) int64 {
	hi, lo := bits.Mul64(uint64(amount), uint64(time.Second))
	if hi >= uint64(rate) {
		return maxSpan
	}
	quotient, remainder := bits.Div64(hi, lo, uint64(rate))
	if remainder > 0 {
		quotient += round
	}
	return int64(min(quotient, maxSpan))
}
