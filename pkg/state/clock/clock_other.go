//go:build !linux

package clock

func bootTime() Instant { return fallbackTime() }
