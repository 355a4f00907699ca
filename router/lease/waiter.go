package lease

import "time"

// WaiterOptions configure a Waiter.
type WaiterOptions struct {
	Timing Timing
	// ExtraWait is as for a Standby.
	ExtraWait time.Duration
	// Delay is a further random wait, so that the hosts of a service do not all
	// write at the same moment.
	Delay time.Duration
	// Version is the row version and Now is when this process first saw it.
	Version int64
	Now     time.Time
}

// Waiter decides when a host that is neither holder nor standby may take a
// group over.
type Waiter struct {
	version int64
	due     time.Time
}

// NewWaiter returns the machine for one row version. Each newer version needs
// a new Waiter.
//
// The version existed when this process saw it, so the holder's last
// successful write was sent earlier, and the holder stops serving before the
// waiter is due on any clock within the margin. A later write of the holder
// makes another version, and a takeover is conditional on this one.
func NewWaiter(o WaiterOptions) Waiter {
	wait := o.Timing.WaiterHorizon() + o.ExtraWait + o.Delay
	return Waiter{version: o.Version, due: o.Now.Add(wait)}
}

// Version returns the row version that the takeover must be conditional on.
func (w Waiter) Version() int64 {
	return w.version
}

// Due returns the earliest time of the takeover.
func (w Waiter) Due() time.Time {
	return w.due
}

// Postpone puts the next attempt off after a store operation that failed.
func (w *Waiter) Postpone(until time.Time) {
	w.due = later(w.due, until)
}
