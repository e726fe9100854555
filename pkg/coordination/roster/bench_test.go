package roster

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHubs measures what the messages between hosts cost each host, for the slopes
// in docs/CAPACITY.md: processor time and the number of messages (the unit "letters") per
// second of simulated time.
func BenchmarkHubs(b *testing.B) {
	for _, size := range []struct{ regions, perDomain int }{{3, 11}, {3, 50}, {12, 25}, {12, 50}} {
		c := newCluster(size.regions, size.perDomain)
		b.Run(fmt.Sprintf("%d_hosts_%d_regions", len(c.hosts), size.regions), func(b *testing.B) {
			c.run(4*time.Second, nil)
			c.messages = 0
			for b.Loop() {
				c.run(time.Second, nil)
			}
			perHost := float64(b.N) * float64(len(c.hosts))
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perHost, "us/host/s")
			b.ReportMetric(float64(c.messages)/perHost, "letters/host/s")
		})
	}
}
