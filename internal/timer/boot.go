package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was booted. Unlike an Instant, it
// includes time in which the VM was suspended, so leases and proofs age meanwhile.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it the age of leases and
		// proofs is unknown.
		panic("timer: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
