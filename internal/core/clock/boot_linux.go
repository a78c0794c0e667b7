package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was started. It reports false if the
// kernel does not tell.
func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
