package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime reads the clock that also counts the time in which the machine was
// suspended. Where it can't be read it returns a time far ahead, so that what
// depends on it counts as over.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
