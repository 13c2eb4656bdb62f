// Package boottime reads a clock that goes on while the instance is suspended.
// The steady clock stands still then, so that an instance which wakes would
// take what it held for fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the instance was started, suspension included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that Go runs on.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
