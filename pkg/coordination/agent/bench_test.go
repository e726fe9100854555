package agent

import (
	"fmt"
	"testing"
	"time"

	"celerypin.example/celerypin/pkg/state/config"
	"celerypin.example/celerypin/pkg/state/id"
)

// BenchmarkFleetSecond measures the cost of one host's agent in one second of normal
// work, by the number of hosts and of accounts. The figures include the simulated
// network, whose cost is small in comparison.
func BenchmarkFleetSecond(b *testing.B) {
	for _, c := range []struct{ perRegion, accounts int }{{2, 8}, {4, 8}, {8, 8}, {16, 8}, {4, 32}, {4, 128}} {
		b.Run(fmt.Sprintf("hosts=%d/accounts=%d", 3*c.perRegion, c.accounts), func(b *testing.B) {
			var accounts []config.Account
			for n := range c.accounts {
				accounts = append(accounts, config.Account{ID: id.Account(fmt.Sprintf("account-%03d", n)), RatePerSecond: 100, Burst: 100})
			}
			f := newFleet(1, 3, c.perRegion, pushpaDelays, DemandPolicy, accounts)
			f.run(5 * time.Second)
			messages, seconds := f.messages, 0
			reads, writes := f.table.Counts()
			b.ReportAllocs()
			for b.Loop() {
				f.run(time.Second)
				seconds++
			}
			hosts := float64(len(f.hosts))
			endReads, endWrites := f.table.Counts()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds)/hosts, "ns/host/s")
			b.ReportMetric(float64(f.messages-messages)/float64(seconds)/hosts, "messages/host/s")
			b.ReportMetric(float64(endReads-reads)/float64(seconds), "reads/s")
			b.ReportMetric(float64(endWrites-writes)/float64(seconds), "writes/s")
		})
	}
}
