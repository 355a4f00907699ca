package keyown

import (
	"time"

	"burdockglade.dev/router/steady"
)

const (
	// observationGap is the longest time between two observations that count as
	// uninterrupted.
	observationGap = 2500 * time.Millisecond
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
}

type observation struct {
	version int64
	since   steady.Time
}

// Observe takes the versions of all leases by host.
func (w *LeaseWatch) Observe(now steady.Time, versions map[string]int64) {
	if w.seen == nil {
		w.seen = map[string]observation{}
	}
	if w.last == 0 || now.Sub(w.last) > observationGap {
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
	if now.Sub(w.last) > observationGap || now.Sub(w.resumed) < graceAfterGap {
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
