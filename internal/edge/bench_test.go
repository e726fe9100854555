package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"celerypin.example/celerypin/internal/logging"
	"celerypin.example/celerypin/internal/protocol/gossip"
	"celerypin.example/celerypin/pkg/coordination/quota"
	"celerypin.example/celerypin/pkg/coordination/roster"
	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/desired"
	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/mirror"
	"celerypin.example/celerypin/platform"
)

// BenchmarkControl measures the control loop of a host without clients in a large
// deployment. One iteration is one second: five steps, a bulletin every 0.4 s, and
// the host's own messages.
func BenchmarkControl(b *testing.B) {
	const hosts, upstreams, accounts = 76, 417, 80
	c := clock.NewFake()
	regionOf := map[id.FailureDomain]id.Region{}
	for i := range 9 {
		regionOf[id.FailureDomain(fmt.Sprintf("zone-%d", i))] = id.Region(fmt.Sprintf("region-%d", i%3))
	}
	h := New(platform.Settings{Host: "edge-00", Region: "region-0", FailureDomain: "zone-0", CPU: 0.16, LinkMbit: 10, Regions: regionOf, Store: "127.0.0.1:1"}, c, logging.Discard())
	h.controller.setRegistered(true)
	state := &desired.State{Version: 1, Services: []*desired.Service{{Name: "s", ColdFor: time.Second, ColdPerSecond: 7}}}
	for i := range accounts {
		state.Accounts = append(state.Accounts, &desired.Account{ID: id.Account(fmt.Sprintf("account-%d", i)), Rate: 30, Burst: 30})
	}
	h.state.Store(state.Compile())
	bulletin := &roster.Bulletin{Totals: map[id.Region]quota.Totals{}}
	var rows []mirror.Row
	for i := range hosts {
		name := id.Host(fmt.Sprintf("edge-%02d", i))
		data, err := json.Marshal(memberRow{
			Host: name, Region: id.Region(fmt.Sprintf("region-%d", i%3)), FailureDomain: id.FailureDomain(fmt.Sprintf("zone-%d", i%9)),
			CallerAddress: "10.0.0.1:80", PeerAddress: "", Capacity: 100,
		})
		if err != nil {
			b.Fatal(err)
		}
		rows = append(rows, mirror.Row{Key: hostPrefix + string(name), Value: data, Version: mirror.Version{Number: mirror.Number(i + 1)}})
		bulletin.Notices = append(bulletin.Notices, roster.Notice{Host: name, Age: 300 * time.Millisecond, RequestRate: 20})
	}
	h.copies.add(platform.Coordination, h.copies.tables[platform.Coordination].ApplyListing(rows, mirror.Version{Number: hosts}))
	for r := range 3 {
		t := quota.NewTotals()
		for _, a := range state.Accounts {
			t.Demand[a.ID], t.Part[a.ID] = 5, 0.3
		}
		bulletin.Totals[id.Region(fmt.Sprintf("region-%d", r))] = t
	}
	h.controller.step(context.Background(), c.Now())
	for i := range upstreams {
		domain := id.FailureDomain(fmt.Sprintf("zone-%d", i%9))
		info := fleet.Upstream{ID: id.Upstream(fmt.Sprintf("u-%d", i)), Service: "s", Release: "v1", Region: regionOf[domain], FailureDomain: domain, Address: "10.1.0.1:80", Slots: 6, State: fleet.UpstreamLive}
		h.controller.upstreams.entries[string(info.ID)] = entry{info: info}
	}
	hub := roster.Digest{Incarnation: 1, Host: fleet.Host{ID: "edge-03", Region: "region-0", FailureDomain: "zone-3", Capacity: 500}}
	sequence := id.Sequence(0)
	for b.Loop() {
		for tick := range 5 {
			if tick%2 == 0 {
				sequence++
				hub.Sequence = sequence
				data, err := gossip.Codec{}.Encode("edge-03", "", gossip.Message{Digest: &hub, Bulletin: bulletin})
				if err != nil {
					b.Fatal(err)
				}
				_, _, m, err := gossip.Codec{}.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				h.controller.Received("edge-03", m)
			}
			c.Advance(tickInterval)
			h.controller.step(context.Background(), c.Now())
		}
	}
}
