package room

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celerypin.example/celerypin/pkg/state/clock"
	"celerypin.example/celerypin/pkg/state/id"
)

// TestPartsNeverExceedRoom guards against hosts that together send an upstream more than it
// accepts: with the same reports, some of them missing, the parts add up to the room.
func TestPartsNeverExceedRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		hosts := rapid.IntRange(1, 40).Draw(t, "hosts")
		divisions := make([]*Division, hosts)
		for i := range divisions {
			divisions[i] = New(hostID(i))
		}
		for i := range divisions {
			rate, reports := Rate(rapid.Float64Range(0, 5000).Draw(t, "rate")), rapid.Bool().Draw(t, "reports")
			for j, d := range divisions {
				switch {
				case reports && i == j:
					d.Sent(rate, now)
				case reports:
					d.Observe(hostID(i), rate, now)
				default:
					d.ObserveLive(hostID(i), now)
				}
			}
		}
		room, upstream := Places(rapid.IntRange(0, 200).Draw(t, "room")), id.Upstream(rapid.String().Draw(t, "upstream"))
		sum := Places(0)
		for _, d := range divisions {
			part := d.Parts(now).Of(upstream, room)
			if part < 0 {
				t.Fatalf("got a part of %d", part)
			}
			sum += part
		}
		if sum != room {
			t.Fatalf("got parts of %d together, want the room of %d", sum, room)
		}
	})
}

// TestSharesStayWithinWholeWhileReportsAreLate guards against a host that grows before the
// others have heard of its demand: each report reaches each host up to 1.5 s late.
func TestSharesStayWithinWholeWhileReportsAreLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 250 * time.Millisecond
		type message struct {
			to, from int
			rate     Rate
			at, due  clock.Instant
		}
		hosts := rapid.IntRange(2, 6).Draw(t, "hosts")
		start := clock.Instant(time.Hour)
		divisions := make([]*Division, hosts)
		for i := range divisions {
			divisions[i] = New(hostID(i))
			divisions[i].Sent(10, start)
			for j := range hosts {
				divisions[i].Observe(hostID(j), 10, start)
			}
		}
		var messages []message
		for now := start.Add(step); now < start.Add(10*time.Second); now = now.Add(step) {
			for i, d := range divisions {
				rate := Rate(rapid.SampledFrom([]float64{0, 10, 100, 1000}).Draw(t, "rate"))
				d.Sent(rate, now)
				for j := range hosts {
					late := time.Duration(rapid.IntRange(0, 6).Draw(t, "late")) * step
					messages = append(messages, message{j, i, rate, now, now.Add(late)})
				}
			}
			for _, m := range messages {
				if m.due == now {
					divisions[m.to].Observe(hostID(m.from), m.rate, m.at)
				}
			}
			sum := 0.0
			for _, d := range divisions {
				sum += d.Parts(now).Share()
			}
			if sum > 1+1e-9 {
				t.Fatalf("got shares of %.4f together, want at most 1", sum)
			}
		}
	})
}

// TestPartOfSilentHostStaysReserved guards against giving away the part of a host that is
// only not heard, and against keeping that of a host that is gone.
func TestPartOfSilentHostStaysReserved(t *testing.T) {
	now := clock.Instant(time.Hour)
	d := New("a")
	if got := d.Parts(now).Of("u", 12); got != 12 {
		t.Errorf("alone: got %d, want all 12", got)
	}
	d.Sent(99, now)
	d.Observe("b", 199, now)
	for after, want := range map[time.Duration]Places{0: 4, Retention: 4, Retention + time.Millisecond: 12} {
		c := New("a")
		c.Sent(99, now)
		c.Observe("b", 199, now)
		if got := c.Parts(now.Add(after)).Of("u", 12); got != want {
			t.Errorf("%v after the last report: got %d, want %d", after, got, want)
		}
	}
	d.ObserveLive("c", now)
	if got := d.Parts(now).Share(); got < 0.2 || got > 0.25 {
		t.Errorf("beside a host without report: got share %.3f, want 100 of 450", got)
	}
}

func hostID(i int) id.Host { return id.Host(fmt.Sprintf("host-%02d", i)) }
