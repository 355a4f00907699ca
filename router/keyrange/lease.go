package keyrange

import (
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// missedObservations is the number of observation intervals without an
	// observation after which observations count as interrupted.
	missedObservations = 3
	// graceAfterGap is the time that hosts have to renew their leases after
	// observations were interrupted, such as by an outage of the store.
	graceAfterGap = 2500 * time.Millisecond
	// lapseMargin is added to the duration of a lease before other hosts consider
	// the lease lapsed.
	lapseMargin = 300 * time.Millisecond
)

// Lease is a lease as read from its row.
type Lease struct {
	// Version is the version of the row; each renewal changes it.
	Version int64
	// End is the time on the store's clock at which the lease has certainly ended,
	// or 0 if the row does not contain it. ReadAt is the time on the store's clock
	// at which the row was read.
	End, ReadAt time.Duration
}

// StoreClock converts times of this host's boot-time clock to upper bounds of
// the store's clock. The zero value has no observation.
type StoreClock struct {
	local boottime.Time
	store time.Duration
}

// Observe records the time on the store's clock from the response to a call that
// was sent at a local time. The store's clock had not passed it when the call was
// sent.
func (c *StoreClock) Observe(sent boottime.Time, store time.Duration) {
	if store > 0 {
		c.local, c.store = sent, store
	}
}

// Age returns the time since the last observation.
func (c *StoreClock) Age(now boottime.Time) time.Duration {
	return now.Sub(c.local)
}

// storeClockStep is the resolution of the store's clock, whose times are rounded down.
const storeClockStep = time.Millisecond

// UpperBound returns the latest time that the store's clock can show at a local
// time after the last observation, or 0 if there was none.
func (c *StoreClock) UpperBound(at boottime.Time) time.Duration {
	if c.store == 0 {
		return 0
	}
	return c.store + withDrift(at.Sub(c.local)) + storeClockStep
}

// LeaseWatch determines from repeated observations of the leases' rows which
// leases have lapsed. The zero value has no observations.
type LeaseWatch struct {
	seen map[string]observation
	// last is the time of the last observation; resumed is that of the first one
	// after an interruption.
	last, resumed boottime.Time
	// gap is the longest time between two observations that count as
	// uninterrupted.
	gap time.Duration
	// interrupted is true if a read has failed since the last observation.
	interrupted bool
}

type observation struct {
	Lease
	// since is the time of the first observation of the version.
	since boottime.Time
	// deleted is true if the row was deleted: another host has freed the ranges.
	deleted bool
}

// Observe records all leases by host. The next observation is due after the
// interval.
func (w *LeaseWatch) Observe(now boottime.Time, leases map[string]Lease, interval time.Duration) {
	if w.seen == nil {
		w.seen = map[string]observation{}
	}
	w.gap = missedObservations * interval
	if w.last == 0 || w.interrupted || now.Sub(w.last) > w.gap {
		w.resumed = now
	}
	w.last, w.interrupted = now, false
	for host, lease := range leases {
		o := w.seen[host]
		if o.Version != lease.Version {
			o.since = now
		}
		w.seen[host] = observation{Lease: lease, since: o.since}
	}
	for host, o := range w.seen {
		if _, ok := leases[host]; !ok && o.Version != 0 {
			w.seen[host] = observation{since: now, deleted: true}
		}
	}
}

// ReadFailed records that the leases could not be read: hosts may have been unable
// to renew them.
func (w *LeaseWatch) ReadFailed() {
	w.interrupted = true
}

// Version returns the version of the host's lease as last observed, or 0 if there
// is none.
func (w *LeaseWatch) Version(host string) int64 {
	return w.seen[host].Version
}

// Lapsed reports whether the lease of a host has lapsed: its row was deleted, it
// ended before it was last read, or its row did not change for longer than the
// duration of the lease. It is false while observations are interrupted. A host
// without an observation counts as observed without a lease from the first call
// on.
func (w *LeaseWatch) Lapsed(now boottime.Time, host string, duration time.Duration) bool {
	if !w.uninterrupted(now) {
		w.observationOf(now, host)
		return false
	}
	o := w.observationOf(now, host)
	if o.deleted || (o.End > 0 && o.ReadAt >= o.End) {
		return true
	}
	return w.last.Sub(o.since) > duration+duration/clockDrift+lapseMargin
}

// Unrenewed reports whether a lease was not renewed for longer than the duration,
// while observations were not interrupted.
func (w *LeaseWatch) Unrenewed(now boottime.Time, host string, duration time.Duration) bool {
	o := w.observationOf(now, host)
	return w.uninterrupted(now) && w.last.Sub(o.since) > duration
}

// uninterrupted reports whether leases are being observed, and have been for
// graceAfterGap.
func (w *LeaseWatch) uninterrupted(now boottime.Time) bool {
	return w.last != 0 && !w.interrupted && now.Sub(w.last) <= w.gap && now.Sub(w.resumed) >= graceAfterGap
}

// observationOf returns the observation of a host. A host without one is recorded
// as observed without a lease at now.
func (w *LeaseWatch) observationOf(now boottime.Time, host string) observation {
	if w.seen == nil {
		w.seen = map[string]observation{}
	}
	o, ok := w.seen[host]
	if !ok {
		o = observation{since: now}
		w.seen[host] = o
	}
	return o
}

// UntilNextEnd returns the time from the last observation to the earliest end of
// the leases that had not been renewed for suspectAfter at that observation. It
// is at most longest.
func (w *LeaseWatch) UntilNextEnd(suspectAfter, longest time.Duration) time.Duration {
	next := longest
	for _, o := range w.seen {
		if o.End == 0 || o.ReadAt >= o.End || w.last.Sub(o.since) < suspectAfter {
			continue
		}
		next = min(next, o.End-o.ReadAt)
	}
	return max(next, 0)
}

// ConditionTimer measures how long a condition has held.
type ConditionTimer struct {
	since boottime.Time
}

// Reset records that the condition does not hold.
func (t *ConditionTimer) Reset() {
	t.since = 0
}

// Elapsed records that the condition holds, and reports whether it has held for
// at least d: the time since the first call after a Reset.
func (t *ConditionTimer) Elapsed(now boottime.Time, d time.Duration) bool {
	if t.since == 0 {
		t.since = now
	}
	return now.Sub(t.since) >= d
}
