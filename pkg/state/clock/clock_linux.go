package clock

import "golang.org/x/sys/unix"

func bootTime() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallbackTime()
	}
	return Instant(ts.Nano())
}
