// Package boottime reads a clock that the time of day does not move and that goes
// on while the machine is suspended. Leases are measured with it: the clock
// behind time.Time stops during a suspension, so a process that wakes up would
// take a lapsed lease for a valid one.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine's boot, suspensions included.
type Time time.Duration

// Now returns the present time.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has the clock; a wrong time would end leases
		// late, so there is nothing safe to continue with.
		panic("boottime: CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(time.Duration(ts.Nano()))
}

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}
