// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that also advances
// while the machine is suspended. Leases are measured with it: the monotonic
// clock in time.Time stops during a suspension, so that a process that wakes up
// would consider a lapsed lease valid.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine booted, including suspensions.
type Time time.Duration

// Now returns the current time.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have the clock. Without it, or with a wrong time,
		// leases would end late, so the process cannot continue safely.
		panic("boottime: CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(time.Duration(ts.Nano()))
}

// Add returns t+d.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}
