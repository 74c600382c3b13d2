package cataloger

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the reading of a monotonic clock that keeps running while the
// machine is suspended, unlike the monotonic clock of package time.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux provides this clock since 2.6.39.
	}
	return time.Duration(t.Nano())
}
