package usage

import (
	"maps"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/rcu"
)

const (
	// buckets is the number of buckets of an account. With shortestBucket it covers 25.6 s: a
	// window of 5 s, the 10 s until its report is due, and MaxWait.
	buckets = 512
	// shortestBucket is the length of a bucket where that covers the windows. It is 1 % of a
	// window of 5 s, by which the boundaries of windows are rounded.
	shortestBucket = 50 * time.Millisecond
	// MaxWait is the longest time before its expected beginning at which a request is
	// counted; later beginnings are counted at this one.
	MaxWait = 10 * time.Second
)

// Bucket numbers the buckets of a host's monotonic clock.
type Bucket uint32

// Meter counts the requests of each account that begin at upstreams, in buckets of the
// host's own clock. It is safe for concurrent use and takes no lock on the path of a
// request, except for the first request of an account.
type Meter struct {
	bucket   time.Duration
	accounts *rcu.Cell[map[id.Account]*ring]
}

// ring holds the buckets of one account. Each is the number of the bucket in the upper
// half and the count in the lower half, so that one compare-and-swap replaces an old bucket.
type ring [buckets]atomic.Uint64

// NewMeter returns a meter whose buckets cover the windows until their reports are due.
func NewMeter(terms Terms) *Meter {
	covered := terms.Window + terms.Due + MaxWait
	bucket := max(shortestBucket, (covered+buckets-2)/(buckets-1))
	return &Meter{bucket: bucket, accounts: rcu.New(map[id.Account]*ring{})}
}

// Mark is a request that was counted. The zero Mark counts nothing.
type Mark struct {
	meter   *Meter
	account id.Account
	cell    *atomic.Uint64
	bucket  Bucket
	at      clock.Instant
}

// Begin counts a request that is expected to begin at an instant. A nil meter counts nothing.
func (m *Meter) Begin(account id.Account, at clock.Instant) Mark {
	if m == nil || account == "" {
		return Mark{}
	}
	b := m.number(at)
	cell := &m.ring(account)[b%buckets]
	for {
		old := cell.Load()
		next := uint64(b)<<32 | 1
		switch held := Bucket(old >> 32); {
		case held == b:
			next = old + 1
		case held > b:
			// The ring has advanced past this bucket.
			return Mark{}
		}
		if cell.CompareAndSwap(old, next) {
			return Mark{meter: m, account: account, cell: cell, bucket: b, at: at}
		}
	}
}

// Withdraw takes the count back, once, unless its bucket has been reused.
func (k *Mark) Withdraw() {
	if k.cell == nil {
		return
	}
	for {
		old := k.cell.Load()
		if Bucket(old>>32) != k.bucket || uint32(old) == 0 || k.cell.CompareAndSwap(old, old-1) {
			break
		}
	}
	k.cell = nil
}

// Ended settles a count when its exchange ends. A request that ran began by now at the
// latest. One that got no response before its expected beginning counts as not run.
func (k *Mark) Ended(responded bool, now clock.Instant) {
	if k.cell == nil || k.at <= now {
		return
	}
	meter, account := k.meter, k.account
	k.Withdraw()
	if responded {
		*k = meter.Begin(account, now)
	}
}

// Counts returns the counts of the buckets that begin from one instant until before another.
func (m *Meter) Counts(from, to clock.Instant) Counts {
	out := Counts{}
	first, end := m.boundary(from), m.boundary(to)
	if end-first > buckets {
		first = end - buckets
	}
	for account, r := range *m.accounts.Load() {
		n := Count(0)
		for b := first; b < end; b++ {
			if v := r[b%buckets].Load(); int64(v>>32) == b {
				n += Count(uint32(v))
			}
		}
		if n > 0 {
			out[account] = n
		}
	}
	return out
}

func (m *Meter) number(at clock.Instant) Bucket { return Bucket(max(int64(at), 0) / int64(m.bucket)) }

// boundary returns the first bucket that begins at an instant or later.
func (m *Meter) boundary(at clock.Instant) int64 {
	return (max(int64(at), 0) + int64(m.bucket) - 1) / int64(m.bucket)
}

func (m *Meter) ring(account id.Account) *ring {
	if r := (*m.accounts.Load())[account]; r != nil {
		return r
	}
	m.accounts.Update(func(old map[id.Account]*ring) map[id.Account]*ring {
		if old[account] != nil {
			return old
		}
		next := maps.Clone(old)
		next[account] = &ring{}
		return next
	})
	return (*m.accounts.Load())[account]
}
