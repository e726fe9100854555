package clock

import "time"

var processStart = time.Now()

// fallbackTime counts from process start on the runtime's monotonic clock.
func fallbackTime() Instant { return Instant(time.Since(processStart)) }
