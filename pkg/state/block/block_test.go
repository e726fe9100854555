package block

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"celerypin.example/celerypin/pkg/state/id"
)

func TestLongestBlockWins(t *testing.T) {
	table := New([]Entry{
		{netip.MustParsePrefix("198.51.0.0/16"), "wide"},
		{netip.MustParsePrefix("198.51.100.7/24"), "narrow"},
		{netip.MustParsePrefix("2001:db8::/32"), "six"},
	})
	for _, c := range []struct {
		address string
		want    id.Region
		found   bool
	}{
		{"198.51.100.200", "narrow", true},
		{"198.51.7.1", "wide", true},
		{"2001:db8::1", "six", true},
		{"192.0.2.1", "", false},
		{"::ffff:198.51.100.1", "", false},
	} {
		t.Run(c.address, func(t *testing.T) {
			got, found := table.Region(netip.MustParseAddr(c.address))
			if got != c.want || found != c.found {
				t.Errorf("got %q, %v, want %q, %v", got, found, c.want, c.found)
			}
		})
	}
}

func entries(n int) []Entry {
	out := make([]Entry, n)
	for i := range out {
		address := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		out[i] = Entry{netip.PrefixFrom(address, 24), id.Region(fmt.Sprintf("r%d", i%12))}
	}
	return out
}

// BenchmarkRegion measures a look-up among n blocks, and the memory per block.
func BenchmarkRegion(b *testing.B) {
	for _, n := range []int{130_000, 520_000} {
		list := entries(n)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New(list)
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&after)
		address := netip.MustParseAddr("10.5.7.9")
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.Region(address); !ok {
					b.Fatal("not found")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/block")
		})
		runtime.KeepAlive(table)
	}
}
