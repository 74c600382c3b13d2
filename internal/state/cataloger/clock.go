package cataloger

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the reading of a monotonic clock that keeps running while the
// host is suspended, unlike the monotonic clock of package time.
func BootTime() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME)
}

// SuspendedTime returns for how long the host has been suspended in all, or less if
// the process was paused between the readings of the two clocks.
func SuspendedTime() time.Duration {
	boot := BootTime()
	return boot - readClock(unix.CLOCK_MONOTONIC)
}

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic(err) // Linux provides both clocks since 2.6.39.
	}
	return time.Duration(t.Nano())
}
