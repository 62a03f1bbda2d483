package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads the boot clock, which also advances while the machine is suspended. If
// the clock can't be read, it returns the largest duration, so that everything that was
// timed by it counts as expired.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
