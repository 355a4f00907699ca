package keyrange

import (
	"encoding/json"
	"fmt"
	"time"

	"burdockglade.dev/router/boottime"
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

// Lease is a lease as its row tells.
type Lease struct {
	// Version is that of the row; each renewal changes it.
	Version int64
	// End is the time on the store's clock at which the lease has certainly ended;
	// 0 when the row does not tell. ReadAt is the time of the reading on that clock.
	End, ReadAt time.Duration
}

// leaseValue is the content of a lease's row.
type leaseValue struct {
	EndMs int64 `json:"end_ms,omitempty"`
}

// EncodeLeaseEnd returns the content of a lease's row; an end of 0 is not known.
func EncodeLeaseEnd(end time.Duration) ([]byte, error) {
	return json.Marshal(leaseValue{EndMs: end.Milliseconds()})
}

// DecodeLeaseEnd reads the content of a lease's row.
func DecodeLeaseEnd(data []byte) (time.Duration, error) {
	var v leaseValue
	if err := json.Unmarshal(data, &v); err != nil {
		return 0, fmt.Errorf("lease: %w", err)
	}
	return time.Duration(v.EndMs) * time.Millisecond, nil
}

// StoreClock relates this host's steady clock to that of the store. The zero value
// knows nothing.
type StoreClock struct {
	local boottime.Time
	store time.Duration
}

// Observe takes a time on the store's clock that an answer named to a call that was
// sent at a local time. The store's clock had not passed it when the call was sent.
func (c *StoreClock) Observe(sent boottime.Time, store time.Duration) {
	if store > 0 {
		c.local, c.store = sent, store
	}
}

// UpperBound returns the latest time that the store's clock can show at a local time
// after the last Observe, or 0 when nothing is known.
func (c *StoreClock) UpperBound(at boottime.Time) time.Duration {
	if c.store == 0 {
		return 0
	}
	return c.store + withDrift(at.Sub(c.local))
}

// LeaseWatch tells from repeated observations of the leases' rows which leases have
// lapsed. The zero value has seen nothing.
type LeaseWatch struct {
	seen map[string]observation
	// last is the time of the last observation, resumed that of the first one
	// after a gap.
	last, resumed boottime.Time
	// gap is the longest time between two observations that count as
	// uninterrupted.
	gap time.Duration
	// interrupted tells that a reading has failed since the last observation.
	interrupted bool
}

type observation struct {
	Lease
	// since is the time of the first observation of the version.
	since boottime.Time
	// taken tells that the row was deleted: another host has freed the ranges.
	taken bool
}

// Observe takes all leases by host. The next observation is due after the
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
			w.seen[host] = observation{since: now, taken: true}
		}
	}
}

// ReadFailed notes that the leases could not be read: hosts may have been unable to
// renew them.
func (w *LeaseWatch) ReadFailed() {
	w.interrupted = true
}

// Version is the version of the host's lease as last seen; 0 means none.
func (w *LeaseWatch) Version(host string) int64 {
	return w.seen[host].Version
}

// Lapsed reports whether the lease of a host has lapsed: it ended before its last
// reading, or its row was unchanged for longer than the lease lasts; and
// observations are not interrupted. A host that is asked for and was never seen
// counts as seen without a lease from then on.
func (w *LeaseWatch) Lapsed(now boottime.Time, host string, lease time.Duration) bool {
	if !w.steady(now) {
		w.note(now, host)
		return false
	}
	o := w.note(now, host)
	if o.taken || (o.End > 0 && o.ReadAt >= o.End) {
		return true
	}
	return w.last.Sub(o.since) > lease+lease/clockDrift+lapseMargin
}

// Unrenewed reports whether a lease was not renewed for the time, although
// observations are not interrupted.
func (w *LeaseWatch) Unrenewed(now boottime.Time, host string, lease time.Duration) bool {
	o := w.note(now, host)
	return w.steady(now) && w.last.Sub(o.since) > lease
}

// steady reports whether observations are not interrupted.
func (w *LeaseWatch) steady(now boottime.Time) bool {
	return w.last != 0 && !w.interrupted && now.Sub(w.last) <= w.gap && now.Sub(w.resumed) >= graceAfterGap
}

// note returns the observation of a host; one that was never seen counts as seen
// without a lease from now on.
func (w *LeaseWatch) note(now boottime.Time, host string) observation {
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

// UntilNextEnd returns the time from the last reading until the first lease ends that was
// not renewed for suspectAfter before that reading, or the longest time if there is
// none.
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

// Reset starts over.
func (d *ConditionTimer) Reset() {
	d.since = 0
}

// Elapsed reports whether it was called without a Reset for at least the time.
func (d *ConditionTimer) Elapsed(now boottime.Time, wait time.Duration) bool {
	if d.since == 0 {
		d.since = now
	}
	return now.Sub(d.since) >= wait
}
