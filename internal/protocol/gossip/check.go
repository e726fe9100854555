package gossip

import (
	"errors"
	"fmt"
	"strings"
)

// ErrRange is returned for a message with a number that its field cannot have. One that
// is not finite would spread to every sum in which the receiver uses it.
var ErrRange = errors.New("number out of range")

// maxRate is far above the rate of requests of the whole fleet.
const maxRate = 1e9

// ranges keeps the error of the first number that is out of range.
type ranges struct{ err error }

// check notes a number that is not finite or far too large. Negative numbers are decoded
// as 0, as sums may be rounded below it.
func (r *ranges) check(field string, got float32) {
	if r.err == nil && !(got >= -maxRate && got <= maxRate) {
		r.err = fmt.Errorf("%w: field %s: got %g", ErrRange, field, got)
	}
}

// checkPart notes a number that is no part of a whole.
func (r *ranges) checkPart(field string, got float64) {
	if r.err == nil && got > 1 {
		r.err = fmt.Errorf("%w: field %s: got %g", ErrRange, field, got)
	}
}

// check returns an error if a number of the message is out of range.
func (e *envelope) check() error {
	var r ranges
	if d := e.Digest; d != nil {
		r.check("digest.requests", d.RequestRate)
		r.check("digest.capacity", float32(d.Capacity))
		for key, n := range d.CopyAges {
			if strings.HasPrefix(key, unheardPrefix) {
				r.checkPart("digest.ages_ms."+unheardPrefix, float64(n)*millionth)
			}
		}
		for _, q := range d.Quotas {
			r.check("digest.quotas.demand", q.Demand)
			r.check("digest.quotas.part", q.Part)
		}
	}
	if b := e.Bulletin; b != nil {
		for _, n := range b.Notices {
			r.check("bulletin.notices.requests", n.RequestRate)
		}
		for _, t := range b.Totals {
			r.check("bulletin.totals.weight", t.Weight)
			r.check("bulletin.totals.unheard", t.Unreported)
			for _, a := range t.Accounts {
				r.check("bulletin.totals.demand", a.Demand)
				r.check("bulletin.totals.part", a.Part)
				r.check("bulletin.totals.silent", a.Silent)
			}
		}
	}
	if u := e.Usage; u != nil {
		r.checkUsage(u)
	}
	return r.err
}

func rangeError(field string, got int64) error {
	return fmt.Errorf("%w: field %s: got %d", ErrRange, field, got)
}

// positive returns a number, or 0 if it is negative.
func positive(x float32) float64 { return max(float64(x), 0) }
