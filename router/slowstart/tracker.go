package slowstart

import "time"

// maxCold bounds the time for which an upstream counts as cold by one statement.
const maxCold = time.Hour

// Tracker knows until when the upstream is cold.
type Tracker struct {
	// assumedFrom is the time from which the upstream counts as cold until it states a
	// time: the first heartbeat of its incarnation, or a sign that it has restarted.
	assumedFrom time.Time
	// stated is true if a heartbeat since assumedFrom has stated the time, and until is
	// the end that the last one of them stated.
	stated bool
	until  time.Time
	// sign is true if there was no heartbeat that states a time since a sign that the
	// upstream has restarted.
	sign bool
}

// Heartbeat records a heartbeat that arrived now. first is true if it is the first one of
// its incarnation. remaining is the time for which it says that the upstream stays cold;
// it is valid if stated is true.
func (t *Tracker) Heartbeat(now time.Time, first, stated bool, remaining time.Duration) {
	if first {
		t.assumedFrom, t.stated, t.sign = now, false, false
	}
	if stated {
		t.stated, t.sign, t.until = true, false, now.Add(min(max(remaining, 0), maxCold))
	}
}

// Assume makes the upstream count as cold until a heartbeat states otherwise: it may have
// restarted.
func (t *Tracker) Assume(now time.Time) {
	t.assumedFrom, t.stated, t.sign = now, false, true
}

// Until returns the time at which the upstream is warm, or the zero time if there is none.
// coldStart is the time for which upstreams of the service are cold after their start.
func (t *Tracker) Until(coldStart time.Duration) time.Time {
	switch {
	case t.stated:
		return t.until
	case t.assumedFrom.IsZero():
		return time.Time{}
	}
	return t.assumedFrom.Add(min(max(coldStart, 0), maxCold))
}

// Stated reports whether the time was stated and not assumed.
func (t *Tracker) Stated() bool {
	return t.stated
}

// Uncertain reports whether the upstream counts as cold only because of a sign that it has
// restarted, which its next heartbeat may correct.
func (t *Tracker) Uncertain() bool {
	return t.sign
}
