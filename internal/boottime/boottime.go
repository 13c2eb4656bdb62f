// Package boottime reads a clock that includes the time for which the instance was suspended.
// The monotonic clock of package time excludes it, so expired state would look fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every kernel that Go supports.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
