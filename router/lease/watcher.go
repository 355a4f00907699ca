package lease

import "time"

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	Timing Timing
	// UpstreamWait is as for a Standby.
	UpstreamWait time.Duration
	// Jitter is a further random wait, so that the hosts of a service do not all
	// write at the same moment.
	Jitter time.Duration
	// Version is the row version and Now is when this process first saw it.
	Version int64
	Now     time.Time
}

// Watcher decides when a host that is neither holder nor standby may take a
// group over.
type Watcher struct {
	version int64
	due     time.Time
}

// NewWatcher returns the machine for one row version. Each newer version needs
// a new Watcher.
//
// The version existed when this process saw it, so the holder's last
// successful write was sent earlier, and the holder stops serving before the
// waiter is due on any clock within the margin. A later write of the holder
// makes another version, and a takeover is conditional on this one.
func NewWatcher(o WatcherOptions) Watcher {
	wait := o.Timing.WatcherDeadline() + o.UpstreamWait + o.Jitter
	return Watcher{version: o.Version, due: o.Now.Add(wait)}
}

// Version returns the row version that the takeover must be conditional on.
func (w Watcher) Version() int64 {
	return w.version
}

// Due returns the earliest time of the takeover.
func (w Watcher) Due() time.Time {
	return w.due
}

// Postpone puts the next attempt off after a store operation that failed.
func (w *Watcher) Postpone(until time.Time) {
	w.due = later(w.due, until)
}
