package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime reads the boot clock, which also advances while the machine is suspended.
// If the clock can't be read, it returns the largest duration, so that confirmations
// of leadership count as expired.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
