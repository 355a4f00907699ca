package fleet

import (
	"slices"
	"time"
)

const (
	// leavingMemory is the time for which the notices of a host that is no longer known are
	// kept.
	leavingMemory = 10 * time.Minute
	// maxLeavingPerHost bounds the notices of one host. The newest ones stay.
	maxLeavingPerHost = 4
	// lateRowTime is how late a row may be read that was written before a notice.
	lateRowTime = 30 * time.Second
)

// Incarnation identifies one life of an upstream.
type Incarnation struct {
	Instance string
	// Started is the start in Unix milliseconds.
	Started int64
}

// leaving is the notice that an upstream leaves.
type leaving struct {
	incarnation Incarnation
	since       time.Time
}

// MarkLeaving records that the upstream of a host has said that it leaves. The notice holds
// until that incarnation has ended, whatever later rows say and also while the host is not
// known: a row may have been written before the notice, and the router of the host may have
// restarted after it. It concerns that incarnation only: starts are read from a clock that
// may step and do not order incarnations.
func (d *Directory) MarkLeaving(now time.Time, host string, of Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markLeaving(now, host, of)
}

// markLeaving is MarkLeaving with d.mu held.
func (d *Directory) markLeaving(now time.Time, host string, of Incarnation) {
	notices := d.leaving[host]
	if slices.ContainsFunc(notices, func(l leaving) bool { return l.incarnation == of }) {
		return
	}
	for name, ls := range d.leaving {
		if d.hosts[name] == nil && now.Sub(ls[len(ls)-1].since) > leavingMemory {
			delete(d.leaving, name)
		}
	}
	notices = append(slices.Clone(notices), leaving{incarnation: of, since: now})
	d.leaving[host] = notices[max(len(notices)-maxLeavingPerHost, 0):]
}

// LeavingFor returns the time since the upstream of the host has said that it leaves, or 0
// if it has not.
func (d *Directory) LeavingFor(now time.Time, host string) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	h := d.hosts[host]
	if h == nil {
		return 0
	}
	since, leaves := d.leavingSince(now, h.Member())
	if !leaves {
		return 0
	}
	return now.Sub(since)
}

// current returns the member data with the state that follows from the notices of leaving.
// d.mu must be held.
func (d *Directory) current(now time.Time, m Member) Member {
	m.State = d.state(now, &m)
	return m
}

// state returns the state that follows from the member data and the notices of leaving. d.mu
// must be held.
func (d *Directory) state(now time.Time, m *Member) State {
	if m.State != Ready || len(d.leaving[m.Host]) == 0 {
		return m.State
	}
	if _, leaves := d.leavingSince(now, *m); leaves {
		return Draining
	}
	return m.State
}

// leavingSince returns the time of the notice that concerns the member data, and false if
// there is none. d.mu must be held.
func (d *Directory) leavingSince(now time.Time, m Member) (since time.Time, leaves bool) {
	for _, l := range d.leaving[m.Host] {
		if l.covers(now, m) {
			return l.since, true
		}
	}
	return time.Time{}, false
}

// covers reports whether the member data is about the incarnation that leaves, or about one
// with an earlier start and may have been written before the notice.
func (l leaving) covers(now time.Time, m Member) bool {
	if m.Incarnation() == l.incarnation {
		return true
	}
	return m.Started < l.incarnation.Started && now.Sub(l.since) < lateRowTime
}
