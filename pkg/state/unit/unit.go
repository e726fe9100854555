// Package unit defines the quantities in which budgets and limits are counted.
package unit

import (
	"math/bits"
	"time"
)

// Amount is the constraint for quantities that a budget divides. An Amount is also
// used as a rate, in units per second.
type Amount interface{ ~int64 }

// Tokens is a quantity of requests in millionths of a request.
type Tokens int64

// Token is one whole request.
const Token Tokens = 1_000_000

// Bytes is a quantity of data in bytes.
type Bytes int64

// Multiples of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Whole returns n whole tokens.
func Whole(n int64) Tokens { return Tokens(n) * Token }

// Over returns the amount that a rate of perSecond yields in d, rounded down and
// at most the largest int64. A rate or duration of zero or less yields zero.
func Over[U Amount](perSecond U, d time.Duration) U {
	if perSecond <= 0 || d <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(perSecond), uint64(d))
	if hi >= uint64(time.Second) {
		return U(1<<63 - 1)
	}
	quotient, _ := bits.Div64(hi, lo, uint64(time.Second))
	if quotient > 1<<63-1 {
		return U(1<<63 - 1)
	}
	return U(quotient)
}

// PerSecond is a rate in whole requests per second.
type PerSecond int64
