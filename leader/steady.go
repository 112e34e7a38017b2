package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// MonotonicClock returns a clock that only moves forward, and goes on while the machine is
// suspended.
//
// The time of day is set back and forth by minutes. The runtime's own steady clock
// stands still while a machine is suspended: what began before would seem to have
// begun just now, and be counted in a later window.
func MonotonicClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // no supported kernel lacks it
	}
	return time.Duration(ts.Nano())
}
