package unit

import (
	"errors"
	"fmt"
	"time"
)

// ErrRange means that a number is not within the range of its quantity.
var ErrRange = errors.New("out of range")

// MaxDuration is the largest duration that a message, a row or a setting may state. It
// leaves room to add it to any instant.
const MaxDuration = 10 * 365 * 24 * time.Hour

// FromSeconds converts a number of seconds that is at least 0 and at most largest. The
// conversion of a float beyond the range of a duration has no defined result in Go, and
// differs between processors.
func FromSeconds(seconds float64, largest time.Duration) (time.Duration, error) {
	if !(seconds >= 0 && seconds <= largest.Seconds()) {
		return 0, fmt.Errorf("%w: got %g s, want 0 s to %v", ErrRange, seconds, largest)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
