package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/pkg/state/unit"
	"celerypin.example/celerypin/platform"
)

// memberRow is the JSON form of the rows by which hosts find each other.
type memberRow struct {
	Host          id.Host          `json:"host"`
	Region        id.Region        `json:"region"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	PeerAddress   string           `json:"peer_address"`
	// Capacity is the number of requests a second that the host can take.
	Capacity    unit.PerSecond `json:"capacity_per_s"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// errInvalidMember means that a host's row cannot have been written by that host.
var errInvalidMember = errors.New("invalid row of a host")

// decodeMember decodes and checks the row of a host.
func decodeMember(key string, data []byte) (memberRow, error) {
	var m memberRow
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("%w: %w", errInvalidMember, err)
	}
	invalid := func(field string, got any) (memberRow, error) {
		return m, fmt.Errorf("%w: field %s: got %.100s", errInvalidMember, field, fmt.Sprint(got))
	}
	switch {
	case m.Host == "" || key != hostPrefix+string(m.Host):
		return invalid("host", m.Host)
	case m.Region == "":
		return invalid("region", m.Region)
	case m.FailureDomain == "":
		return invalid("failure_domain", m.FailureDomain)
	case !isAddress(m.CallerAddress):
		return invalid("caller_address", m.CallerAddress)
	case m.PeerAddress != "" && !isAddress(m.PeerAddress):
		return invalid("peer_address", m.PeerAddress)
	case m.Capacity < 0 || m.Capacity > maxCapacity:
		return invalid("capacity_per_s", m.Capacity)
	}
	return m, nil
}

// maxCapacity is far above the rate of requests that one host can take.
const maxCapacity unit.PerSecond = 1e9

// isAddress reports whether s is an IP address with a port to which one can connect.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// applyMembers updates the roster and the mesh with the hosts of the coordination
// table.
func (c *controller) applyMembers() {
	var members []roster.Member
	for key, row := range c.host.copies.tables[platform.Coordination].Rows() {
		if !strings.HasPrefix(key, hostPrefix) {
			continue
		}
		m, err := decodeMember(key, row.Value)
		if err != nil {
			c.log.With("key", key).With("error", err.Error()).Error("A host's row is invalid.")
			continue
		}
		member := roster.Member{PeerAddress: m.PeerAddress, Incarnation: m.Incarnation}
		member.ID, member.Region, member.FailureDomain, member.Address = m.Host, m.Region, m.FailureDomain, m.CallerAddress
		member.Capacity = m.Capacity
		members = append(members, member)
	}
	if c.host.roster.SetListed(members) {
		for _, m := range members {
			c.host.mesh.SetAddress(m.ID, m.PeerAddress)
		}
	}
}

// register writes this host's row, and retries the write until it succeeds.
func (c *controller) register(ctx context.Context, now clock.Instant) {
	table := c.host.copies.tables[platform.Coordination]
	key := hostPrefix + string(c.self.ID)
	row, era := table.Get(key), table.Version().Era
	if c.registeredBefore(era) && row.Version.Era < era {
		c.log.With("era", era).Warn("The store has lost the host's row; it is written again.")
		c.setRegistered(false)
	}
	if c.isRegistered() || c.host.leaving.Load() || now < c.nextRegisterAt || !table.listed.Load() {
		return
	}
	c.nextRegisterAt = now.Add(registerRetryInterval)
	data, err := json.Marshal(memberRow{
		Host: c.self.ID, Region: c.self.Region, FailureDomain: c.self.FailureDomain, CallerAddress: c.self.Address,
		PeerAddress: c.self.PeerAddress, Capacity: c.self.Capacity, Incarnation: c.self.Incarnation,
	})
	if err != nil {
		c.log.With("error", err).Error("The host's row could not be encoded.")
		return
	}
	if !row.Version.IsZero() && row.Version.Era == era && equalExceptIncarnation(row.Value, data) {
		c.setRegistered(true)
		return
	}
	c.write(key, func() {
		if _, err := c.host.store.Commit(ctx, platform.Put{Table: platform.Coordination, Key: key, Value: data}); err != nil {
			c.log.With("error", err.Error()).Warn("The host's row could not be written.")
			return
		}
		c.setRegistered(true)
		// Until then, each of the hosts that start together may know of itself only, and
		// would read all tables for its region.
		c.host.clock.Sleep(ctx, relistDelay)
		table.markStale()
	})
}

// listsSelf reports whether this host's copy of the table holds its own row, and so those
// of the hosts that registered before.
func (c *controller) listsSelf() bool {
	return !c.host.copies.tables[platform.Coordination].Get(hostPrefix + string(c.self.ID)).Version.IsZero()
}

func (c *controller) isRegistered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registered
}

func (c *controller) setRegistered(registered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registered, c.registeredEra = registered, c.host.store.Era()
}

// registeredBefore reports whether this host's row was last known to be in the store in an
// earlier era.
func (c *controller) registeredBefore(era mirror.Era) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registered && c.registeredEra < era
}

// prune removes the rows of expired hosts, if this host is the leader.
func (c *controller) prune(ctx context.Context, now clock.Instant) {
	if now < c.nextPruneAt || !c.host.roster.IsLeader(c.host.leaving.Load(), now) {
		return
	}
	c.nextPruneAt = now.Add(pruneInterval)
	for _, host := range c.host.roster.Expired(now) {
		key := hostPrefix + string(host)
		row := c.host.copies.tables[platform.Coordination].Get(key)
		c.write(key, func() {
			_, err := c.host.store.Commit(ctx, platform.Put{Table: platform.Coordination, Key: key, Conditional: true, Expected: row.Version})
			if err != nil {
				c.log.With("removed", host).With("error", err.Error()).Warn("The row of a host that is down could not be removed.")
				return
			}
			c.log.With("removed", host).Info("Removed the row of a host that is down.")
		})
	}
}

// write runs a write of the store in a goroutine, because the loop must not wait
// for a slow store. It does nothing while another write of the same key runs.
func (c *controller) write(key string, commit func()) {
	c.mu.Lock()
	inProgress := c.writing[key]
	c.writing[key] = true
	c.mu.Unlock()
	if inProgress {
		return
	}
	go func() {
		c.host.guard.Run(taskWrite, commit)
		c.mu.Lock()
		delete(c.writing, key)
		c.mu.Unlock()
	}()
}

// equalExceptIncarnation reports whether two rows of a host are equal but for the incarnation.
func equalExceptIncarnation(a, b []byte) bool {
	var x, y memberRow
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	x.Incarnation, y.Incarnation = 0, 0
	return x == y
}
