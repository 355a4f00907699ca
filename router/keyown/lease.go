package keyown

import (
	"time"

	"burdockglade.dev/router/steady"
)

const (
	// missedObservations is the number of intervals between two observations from
	// which they count as interrupted.
	missedObservations = 3
	// graceAfterGap is the time that hosts get to renew their leases after the
	// store was away.
	graceAfterGap = 2500 * time.Millisecond
	// lapseMargin is added to a lease before another host takes it for lapsed.
	lapseMargin = 300 * time.Millisecond
)

// LeaseWatch tells from repeated observations of the leases' row versions which
// leases have lapsed. The zero value has seen nothing.
type LeaseWatch struct {
	seen map[string]observation
	// last is the time of the last observation, resumed that of the first one
	// after a gap.
	last, resumed steady.Time
	// gap is the longest time between two observations that count as
	// uninterrupted.
	gap time.Duration
}

type observation struct {
	version int64
	since   steady.Time
}

// Observe takes the versions of all leases by host. The next observation is due
// after the interval.
func (w *LeaseWatch) Observe(now steady.Time, versions map[string]int64, interval time.Duration) {
	if w.seen == nil {
		w.seen = map[string]observation{}
	}
	w.gap = missedObservations * interval
	if w.last == 0 || now.Sub(w.last) > w.gap {
		w.resumed = now
	}
	w.last = now
	for host, version := range versions {
		if w.seen[host].version != version {
			w.seen[host] = observation{version: version, since: now}
		}
	}
	for host, o := range w.seen {
		if _, ok := versions[host]; !ok && o.version != 0 {
			w.seen[host] = observation{since: now}
		}
	}
}

// Version is the version of the host's lease as last seen; 0 means none.
func (w *LeaseWatch) Version(host string) int64 {
	return w.seen[host].version
}

// Lapsed reports whether the lease of a host has lapsed: its row was unchanged
// for longer than the lease lasts, and observations are not interrupted. A host
// that is asked for and was never seen counts as seen without a lease from then
// on.
func (w *LeaseWatch) Lapsed(now steady.Time, host string, lease time.Duration) bool {
	if w.seen == nil {
		w.seen = map[string]observation{}
	}
	o, ok := w.seen[host]
	if !ok {
		w.seen[host] = observation{since: now}
		return false
	}
	if now.Sub(w.last) > w.gap || now.Sub(w.resumed) < graceAfterGap {
		return false
	}
	return now.Sub(o.since) > lease+lease/clockDrift+lapseMargin
}

// Delay measures how long a condition has held.
type Delay struct {
	since steady.Time
}

// Reset starts over.
func (d *Delay) Reset() {
	d.since = 0
}

// Passed reports whether it was called without a Reset for at least the time.
func (d *Delay) Passed(now steady.Time, wait time.Duration) bool {
	if d.since == 0 {
		d.since = now
	}
	return now.Sub(d.since) >= wait
}
