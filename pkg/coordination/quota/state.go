package quota

import (
	"time"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// State is the state of this host's share of an account's quota.
type State struct {
	// Known is false if this host has no share yet.
	Known bool
	// Limited is false if the account has no quota.
	Limited bool
	// Rate and Burst are the share, in requests per second and in requests, Available the
	// requests that it admits now.
	Rate, Burst, Available float64
}

// State returns the state of the share of an account. It takes no token and counts nothing.
func (s *Shares) State(account id.Account, now clock.Instant) State {
	sh := (*s.accounts.Load())[account]
	if sh == nil {
		return State{}
	}
	out := State{Known: true, Limited: sh.limited.Load()}
	if out.Limited {
		out.Rate, out.Burst = s.Share(account)
		out.Available = float64(max(sh.bucket.OwnLevel(now), 0)) / float64(unit.Token)
	}
	return out
}

// Admits returns what Take would return now.
func (s State) Admits() (ok bool, delay time.Duration) {
	switch {
	case !s.Known:
		return false, unknownAccountDelay
	case !s.Limited, s.Available >= 1:
		return true, 0
	}
	return false, retryDelay(s.Rate)
}

// Holder returns the host that holds the region's pool, empty if there is none.
func (d *Drawer) Holder() id.Host { return *d.holder.Load() }
