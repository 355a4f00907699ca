package lease

import "time"

// WatcherOptions configure a Watcher.
type WatcherOptions struct {
	Timing Timing
	// UpstreamWait is the same as in StandbyOptions.
	UpstreamWait time.Duration
	// Jitter is an additional random wait, so that the hosts of a service do not
	// all write at the same time.
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

// NewWatcher returns a watcher of one row version. Each newer version needs a
// new Watcher.
//
// The version existed when this process saw it, so the last successful write of
// the holder was sent before. The holder therefore stops serving before the
// watcher is due, as long as clock drift stays within the margin. A later write
// of the holder creates another version, and the takeover is conditional on
// this one.
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

// Postpone delays the takeover until at least the given time, after a store
// operation that failed.
func (w *Watcher) Postpone(until time.Time) {
	w.due = later(w.due, until)
}
