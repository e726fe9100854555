package lookup

import (
	"fmt"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/fleet"
	"celerypin.example/celerypin/pkg/state/id"
)

// tableOf builds a table of hosts in three regions. The account "small" has shares on
// two of them and on a host that is not in the table, "large" on all.
func tableOf(hosts int) Table {
	in := Inputs{TTL: 2 * time.Second, Holders: map[id.Account][]Holder{}}
	for n := range hosts {
		h := fleet.Host{ID: id.Host(fmt.Sprintf("h%04d", n)), Region: id.Region(fmt.Sprintf("r%d", n%3)), Address: "127.0.0.1:1"}
		in.Hosts = append(in.Hosts, h)
		in.Holders["large"] = append(in.Holders["large"], Holder{h.ID, 1})
	}
	in.Holders["small"] = []Holder{{"h0001", 3}, {"h0004", 1}, {"unlisted", 5}}
	return New(in)
}

// TestLookupPrefersHoldersOfSmallAccounts checks that clients of an account with few
// holders are sent to these first, in proportion to their weights, whatever the region.
func TestLookupPrefersHoldersOfSmallAccounts(t *testing.T) {
	table := tableOf(12)
	count := map[id.Host]int{}
	for seed := range uint64(4000) {
		answer := table.Lookup("r0", "small", seed)
		count[answer.Hosts[0].ID]++
		if answer.Count != MaxHosts {
			t.Fatalf("got an answer with %d hosts, want %d", answer.Count, MaxHosts)
		}
	}
	if count["h0001"] != 3000 || count["h0004"] != 1000 {
		t.Errorf("got first hosts %v, want h0001 and h0004 in proportion to their weights 3 and 1", count)
	}
}

// TestLookupPrefersTheRegionAndSpreads checks that clients of an account with many holders
// get hosts of their own region only, and that each of these is first equally often.
func TestLookupPrefersTheRegionAndSpreads(t *testing.T) {
	table := tableOf(12)
	count := map[id.Host]int{}
	for seed := range uint64(400) {
		answer := table.Lookup("r1", "large", seed)
		for _, h := range answer.Hosts[:answer.Count] {
			if h.Region != "r1" {
				t.Fatalf("got host %s of %s, want a host of r1", h.ID, h.Region)
			}
		}
		count[answer.Hosts[0].ID]++
	}
	for h, n := range count {
		if n != 100 {
			t.Errorf("got %d of 400 clients sent to %s first, want 100", n, h)
		}
	}
}

func TestLookupWithoutHosts(t *testing.T) {
	table := New(Inputs{})
	if answer := table.Lookup("r0", "small", 1); answer.Count != 0 {
		t.Errorf("got %d hosts from an empty table, want none", answer.Count)
	}
}

// BenchmarkLookup measures a look-up with the current number of hosts and with the target
// number. Run it with -cpu 1,2,4,8 to see how it scales.
func BenchmarkLookup(b *testing.B) {
	for _, hosts := range []int{12, 2500} {
		table := tableOf(hosts)
		for _, account := range []id.Account{"small", "large"} {
			b.Run(fmt.Sprintf("hosts=%d/account=%s", hosts, account), func(b *testing.B) {
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					seed := uint64(1)
					for pb.Next() {
						seed = seed*6364136223846793005 + 1442695040888963407
						if answer := table.Lookup("r1", account, seed>>33); answer.Count == 0 {
							b.Fail()
						}
					}
				})
			})
		}
	}
}

// BenchmarkBuild measures the construction of a table.
func BenchmarkBuild(b *testing.B) {
	for _, hosts := range []int{12, 250, 2500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tableOf(hosts)
			}
		})
	}
}

// TestLookupAllocatesNothing checks that a look-up does not allocate memory.
func TestLookupAllocatesNothing(t *testing.T) {
	table := tableOf(12)
	if got := testing.AllocsPerRun(1000, func() { table.Lookup("r1", "small", 7) }); got != 0 {
		t.Errorf("got %v allocations for a look-up, want 0", got)
	}
}
