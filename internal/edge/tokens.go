package edge

import (
	"celerypin.example/celerypin/internal/protocol/gossip"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/id"
)

// deposit hands the tokens that this host does not need to the holder of its region's
// pool, and maintains the pool that this host holds itself.
func (c *controller) deposit(accounts []*desired.Account, now clock.Instant) {
	if parts, holds := c.host.roster.PoolParts(c.quotaReport, now); holds {
		c.host.tokenPool.SetParts(accounts, parts)
	} else {
		c.host.tokenPool.Clear()
	}
	holder := c.host.roster.PoolHolder(now)
	if holder != c.self.ID && !c.host.mesh.Connected(holder) {
		holder = ""
	}
	c.host.drawer.SetHolder(holder)
	if holder == "" {
		return
	}
	deposits := c.host.shares.TakeSurplus(roster.DepositInterval, now)
	switch {
	case holder == c.self.ID:
		c.host.tokenPool.Deposit(deposits, now)
	case len(deposits) > 0:
		c.host.mesh.Send(holder, gossip.Message{Tokens: &gossip.Tokens{Deposits: deposits}})
	}
}

// receiveTokens applies the deposits, asks and grants of another host.
func (c *controller) receiveTokens(from id.Host, t *gossip.Tokens) {
	now := c.host.clock.Now()
	c.host.tokenPool.Deposit(t.Deposits, now)
	var grants []quota.Grant
	for _, a := range t.Asks {
		grants = append(grants, c.host.tokenPool.Draw(a, now))
	}
	if len(grants) > 0 {
		c.host.mesh.Send(from, gossip.Message{Tokens: &gossip.Tokens{Grants: grants}})
	}
	for _, g := range t.Grants {
		c.host.drawer.Granted(from, g)
	}
}

// sendAsk sends an ask to the holder of the pool.
func (h *Host) sendAsk(holder id.Host, a quota.Ask) {
	h.mesh.Send(holder, gossip.Message{Tokens: &gossip.Tokens{Asks: []quota.Ask{a}}})
}
