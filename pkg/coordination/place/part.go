package place

import (
	"math"
	"sync/atomic"

	"celerypin.example/celerypin/pkg/coordination/room"
)

// partLimit is this host's part of what an upstream can run and queue: one more than the
// part, or 0 if there is no limit.
type partLimit struct{ next atomic.Int64 }

// setPart records the host's part of the upstream; without one, only the estimated load
// bounds what the host sends.
func (u *Upstream) setPart(part room.Places, limited bool) {
	if !limited {
		u.part.next.Store(0)
		return
	}
	u.part.next.Store(int64(max(part, 0)) + 1)
}

// SetPart records the host's part of the upstream.
func (u *Upstream) SetPart(part room.Places) { u.setPart(part, true) }

// partUsed reports whether the host has as many requests at the upstream as the given
// fraction of its part allows. A part of at least one allows at least one request.
func (u *Upstream) partUsed(fraction float64) bool {
	next := u.part.next.Load()
	return next != 0 && float64(u.inFlight.Load()) >= math.Ceil(float64(next-1)*min(fraction, 1))
}
