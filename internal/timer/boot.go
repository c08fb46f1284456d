package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was started. Unlike an Instant it counts
// the time during which the VM was suspended, so it ages leases and proofs.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it no age is known.
		panic("timer: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
