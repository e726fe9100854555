package unit

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestFromSeconds(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    time.Duration
		fails   bool
	}{
		{0, 0, false}, {1.5, 1500 * time.Millisecond, false}, {60, time.Minute, false},
		{60.1, 0, true}, {-0.1, 0, true}, {1e10, 0, true}, {1e300, 0, true}, {math.NaN(), 0, true}, {math.Inf(1), 0, true}, {math.Inf(-1), 0, true},
	} {
		got, err := FromSeconds(c.seconds, time.Minute)
		if got != c.want || errors.Is(err, ErrRange) != c.fails {
			t.Errorf("%g s: got %v, error %v, want %v, out of range %v", c.seconds, got, err, c.want, c.fails)
		}
	}
}
