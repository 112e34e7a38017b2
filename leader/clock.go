package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// MonotonicClock returns the time since boot, including the time that the machine was suspended.
//
// The wall clock may be set. The runtime's monotonic clock stops while the machine is suspended, so
// that events from before would be assigned to a later window.
func MonotonicClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all supported kernels have this clock
	}
	return time.Duration(ts.Nano())
}
