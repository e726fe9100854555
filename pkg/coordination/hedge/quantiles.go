package hedge

import (
	"math"
	"sync/atomic"
	"time"

	"celerypin.example/celerypin/pkg/state/rcu"
)

const (
	// bucketsPerOctave divides each doubling of a response time into buckets, which are 9 %
	// wide; quantiles are interpolated within them.
	bucketsPerOctave = 8
	// octaves is the range of the buckets: from 0.25 ms to 262 s, longer than any timeout.
	octaves = 20
	buckets = bucketsPerOctave * octaves
	// shortest is the lower bound of the first bucket.
	shortest = 250 * time.Microsecond
	// generation is the number of observations after which a histogram replaces the one
	// before it. An estimate rests on one to two generations: 0.99 then leaves at least ten
	// observations above it.
	generation = 1024
	// summaryInterval is the number of observations after which the summary is computed
	// again.
	summaryInterval = 16
)

// histogram counts response times in buckets of geometric width.
type histogram struct {
	total  atomic.Int64
	counts [buckets]atomic.Int64
}

// generations are the histogram that is being filled and the one before it.
type generations struct{ filling, full *histogram }

// Quantiles estimates the quantiles of a stream of response times. It forgets observations
// after at most two generations. It is safe for concurrent use: observations are counted
// with atomics, and readers load the last summary.
type Quantiles struct {
	cell    *rcu.Cell[generations]
	summary atomic.Pointer[Summary]
	// imputed numbers the exchanges that were cut off.
	imputed atomic.Int64
}

// Summary is what requests read of an estimate. Of two concurrent updates the older one may
// be stored last, until the next one.
type Summary struct {
	// Observations is the number of observations that the estimate rests on.
	Observations int64
	// Delay is the quantile at which a copy is considered, Tail the one by which the first
	// exchange is expected to end.
	Delay, Tail time.Duration
}

// Quantiles of a summary. A delay at 0.95 considers copies for at most about 5 in 100
// requests (Dean and Barroso 2013).
const (
	delayQuantile = 0.95
	tailQuantile  = 0.99
)

// NewQuantiles returns an estimate without observations.
func NewQuantiles() *Quantiles {
	q := &Quantiles{cell: rcu.New(generations{&histogram{}, &histogram{}})}
	q.summary.Store(&Summary{})
	return q
}

// Observe counts a response time.
func (q *Quantiles) Observe(elapsed time.Duration) {
	h := q.cell.Load().filling
	h.counts[bucketOf(elapsed)].Add(1)
	n := h.total.Add(1)
	if n >= generation {
		q.cell.Update(func(g generations) generations {
			if g.filling != h {
				return g
			}
			return generations{filling: &histogram{}, full: h}
		})
	}
	if n%summaryInterval == 0 {
		q.summarize()
	}
}

// ObserveAtLeast counts an exchange that was cut off after elapsed. It would have taken
// longer, so it is counted where the estimate has exchanges that took longer: each of them
// in turn, so that the shape of the tail is kept (Efron's redistribution to the right).
// Counted at elapsed, the hedged requests would hide the tail that they are sent for.
func (q *Quantiles) ObserveAtLeast(elapsed time.Duration) {
	g := q.cell.Load()
	rank := g.rank(elapsed)
	_, fraction := math.Modf(float64(q.imputed.Add(1)) * math.Phi)
	q.Observe(max(elapsed, g.quantile(rank+fraction*(1-rank))))
}

// Summary returns the last summary; it must be treated as read-only.
func (q *Quantiles) Summary() *Summary { return q.summary.Load() }

func (q *Quantiles) summarize() {
	g := q.cell.Load()
	q.summary.Store(&Summary{Observations: g.total(), Delay: g.quantile(delayQuantile), Tail: g.quantile(tailQuantile)})
}

func (g *generations) total() int64 { return g.filling.total.Load() + g.full.total.Load() }

func (g *generations) count(bucket int) int64 {
	return g.filling.counts[bucket].Load() + g.full.counts[bucket].Load()
}

// quantile returns the response time below which the fraction p of the observations is, or
// 0 without observations.
func (g *generations) quantile(p float64) time.Duration {
	target, sum := p*float64(g.total()), 0.0
	last := time.Duration(0)
	for i := range buckets {
		n := float64(g.count(i))
		if n == 0 {
			continue
		}
		if sum+n >= target {
			return boundOf(float64(i) + (target-sum)/n)
		}
		sum += n
		last = boundOf(float64(i + 1))
	}
	return last
}

// rank returns the fraction of the observations in buckets below that of elapsed.
func (g *generations) rank(elapsed time.Duration) float64 {
	below := int64(0)
	for i := range bucketOf(elapsed) {
		below += g.count(i)
	}
	return min(float64(below)/float64(max(g.total(), 1)), 1)
}

// bucketOf returns the bucket of a response time.
func bucketOf(elapsed time.Duration) int {
	octave := math.Log2(float64(max(elapsed, shortest)) / float64(shortest))
	return min(int(octave*bucketsPerOctave), buckets-1)
}

// boundOf returns the lower bound of a bucket, or a response time within it.
func boundOf(bucket float64) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(bucket/bucketsPerOctave))
}
