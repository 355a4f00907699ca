package fleet

import "time"

// leavingMemory is the time for which the notice of a host that is no longer known is kept.
const leavingMemory = 10 * time.Minute

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
// restarted after it.
func (d *Directory) MarkLeaving(now time.Time, host string, of Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.leaving[host]; ok && of.Started <= last.incarnation.Started {
		return
	}
	for name, l := range d.leaving {
		if d.hosts[name] == nil && now.Sub(l.since) > leavingMemory {
			delete(d.leaving, name)
		}
	}
	d.leaving[host] = leaving{incarnation: of, since: now}
}

// LeavingFor returns the time since the upstream of the host has said that it leaves, or 0
// if it has not.
func (d *Directory) LeavingFor(now time.Time, host string) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	h, l := d.hosts[host], d.leaving[host]
	if h == nil || !l.covers(h.Member()) {
		return 0
	}
	return now.Sub(l.since)
}

// current returns the member data with the state that follows from the notices of leaving.
// d.mu must be held.
func (d *Directory) current(m Member) Member {
	if m.State == Ready && d.leaving[m.Host].covers(m) {
		m.State = Draining
	}
	return m
}

// covers reports whether the member data is about the incarnation that leaves, or about an
// earlier one, so that it was written before.
func (l leaving) covers(m Member) bool {
	return !l.since.IsZero() && m.Started <= l.incarnation.Started
}
