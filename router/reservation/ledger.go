// Package reservation divides the capacity of an upstream between requests that were
// refused for lack of room and return later. Ledger is the account of the gate beside the
// upstream: it gives refused requests times at which there will be capacity. Refusals is what
// the entry remembers of refused requests, so that it recognises them when they return. Both
// take the time as an argument and are not safe for concurrent use.
package reservation

import (
	"slices"
	"time"
)

const (
	// maxEntries bounds the reservations of a ledger.
	maxEntries = 1024
	// maxLate is the time behind its own for which a reservation can be used. Callers wait
	// by timers that are late on busy hosts.
	maxLate = 500 * time.Millisecond
	// missedAfter is the time behind its own after which an unused reservation no longer
	// takes capacity: most of these callers do not return.
	missedAfter = 50 * time.Millisecond
	// earlyTolerance is how early a request may use its reservation. Times are transmitted in
	// whole milliseconds, and the time that a caller has left is known to some milliseconds.
	earlyTolerance = 10 * time.Millisecond
	// reservedJitter is the part of the interval of a reservation within which its time is
	// random.
	reservedJitter = 0.5
	// laterJitter is the part of the delay by which a time without a reservation is spread.
	laterJitter = 0.25
	// maxDelay bounds the delay of a time without a reservation: nothing is known of the
	// capacity that far ahead, and a late share of 0 would give times without end.
	maxDelay = 10 * time.Second
	// edgeReservations is the number of reservations that stay free at the end of the reach of
	// a host that asks for more than its share: capacity appears there first, and the host
	// that asks most often would always take it.
	edgeReservations = 2
	// maxTrials bounds the gaps shorter than a reservation that are tried for it.
	maxTrials = 8
	// minShare is the least share with which lengths are computed, so that they stay finite.
	minShare = 1e-4
	// minLeftOver is the least share of the capacity that counts as left over by more urgent
	// priorities, so that times stay finite.
	minLeftOver = 0.02
)

// Class is a class of requests that need about the same time.
type Class struct {
	// Priority is the rank; 0 is the highest.
	Priority   int
	Repeatable bool
	// Late is true for requests that will miss their goal. They have a time line of their own,
	// so that they do not take the capacity of those that can still meet it.
	Late bool
}

// sharesLine reports whether reservations of the classes are on the same time line.
func (c Class) sharesLine(o Class) bool {
	return c.Priority == o.Priority && c.Late == o.Late
}

// Request is a refused request that asks when to return.
type Request struct {
	// Host is the host at which the request originated.
	Host  string
	Class Class
	// Interval is the time that the gate takes for each request of the class if it serves
	// nothing else. It must be above 0.
	Interval time.Duration
	// Earliest is the first time at which there can be capacity, Latest the last one at
	// which the request can return and still be served.
	Earliest, Latest time.Time
}

// Outcome says whether a reservation was made, or why not.
type Outcome int

// The outcomes.
const (
	// Reserved: a reservation was made.
	Reserved Outcome = iota
	// Later: there is no capacity before Request.Latest.
	Later
	// OverShare: there is, but the host or the class has used up its share.
	OverShare
	// Full: the ledger has no room for another reservation.
	Full
)

// Offer is the answer to a Request.
type Offer struct {
	// At is the time at which the request should return, after Request.Latest without a
	// reservation.
	At      time.Time
	Outcome Outcome
}

// Options configure a Ledger.
type Options struct {
	// Share is the share of the capacity, 0 to 1, that may be reserved for requests that can
	// meet their goal, and LateShare the one for late requests.
	Share, LateShare float64
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Ledger holds the reservations at one gate.
type Ledger struct {
	opts   Options
	random func() float64
	// entries are sorted by start.
	entries []entry
	classes []*classAccounts
	used    usage
	// claimedUntil is, by time line, the end of the interval that the used reservations occupy.
	claimedUntil [2 * ranks]time.Time
	missed       int
}

// entry is a reservation.
type entry struct {
	// start is the begin of the interval that the reservation occupies, at the time within
	// it for which the request was told to return.
	start, at time.Time
	class     *classAccounts
	host      string
}

// NewLedger returns an empty ledger.
func NewLedger(opts Options) *Ledger {
	return &Ledger{opts: opts, random: opts.Random}
}

// Served records that a request of the priority is served, which takes the interval of the
// gate's capacity.
func (l *Ledger) Served(now time.Time, priority int, interval time.Duration) {
	l.used.add(now, priority, interval)
}

// Reserve makes a reservation for a refused request if there is capacity in time.
func (l *Ledger) Reserve(now time.Time, r Request) Offer {
	l.expire(now)
	c := l.classOf(r.Class)
	c.interval = r.Interval
	length := l.length(now, c)
	a := c.account(now, r.Host)
	a.demand.add(now, length.Seconds())
	c.demand.add(now, length.Seconds())
	share := l.hostShare(now, c)
	earliest := r.Earliest
	spacing := time.Duration(float64(length) / share)
	reach := r.Latest
	if share < 1 { // one reservation may come a spacing sooner, because requests come irregularly
		earliest = latest(earliest, a.next.Add(-spacing))
		if a.demand.rate(now) > share {
			reach = reach.Add(-max(min(edgeReservations*length, r.Latest.Sub(r.Earliest)/2), 0))
		}
	}
	start := l.gap(now, r.Class, earliest, length)
	if start.After(reach) {
		return l.later(now, r, start, length)
	}
	if len(l.entries) >= maxEntries {
		return Offer{At: l.spread(now, start), Outcome: Full}
	}
	jitter := min(time.Duration(reservedJitter*l.random()*float64(length)), r.Latest.Sub(start))
	e := entry{start: start, at: start.Add(jitter), class: c, host: r.Host}
	l.insert(e)
	a.next = latest(a.next, start).Add(spacing)
	return Offer{At: e.at}
}

// later returns the answer to a request that cannot be served in time. start is the first
// time at which there is capacity for its host.
func (l *Ledger) later(now time.Time, r Request, start time.Time, length time.Duration) Offer {
	o := Offer{At: l.spread(now, latest(start, r.Latest)), Outcome: Later}
	if !l.gap(now, r.Class, r.Earliest, length).After(r.Latest) {
		o.Outcome = OverShare
	}
	return o
}

// spread returns a random time somewhat behind t.
func (l *Ledger) spread(now, t time.Time) time.Time {
	delay := min(max(t.Sub(now), 0), maxDelay)
	return now.Add(time.Duration(float64(delay) * (1 + laterJitter*l.random())))
}

// Claim uses a reservation of the host and class that is due, whether the class was late when
// it was made or not. It returns false if there is none.
func (l *Ledger) Claim(now time.Time, host string, class Class) bool {
	l.expire(now)
	for i, e := range l.entries {
		if e.start.After(now.Add(earlyTolerance)) {
			return false
		}
		of := e.class.class
		if e.host == host && of.Priority == class.Priority && of.Repeatable == class.Repeatable && !e.at.After(now.Add(earlyTolerance)) {
			l.entries = slices.Delete(l.entries, i, i+1)
			until := &l.claimedUntil[of.line()]
			*until = latest(*until, now).Add(l.length(now, e.class))
			return true
		}
	}
	return false
}

// Before returns how long the gate needs for the reservations that come before a new request
// of the priority which otherwise has to wait for the given time.
func (l *Ledger) Before(now time.Time, priority int, wait time.Duration) time.Duration {
	var total time.Duration
	missed := now.Add(-missedAfter)
	for i := range l.entries {
		e := &l.entries[i]
		if e.start.After(now.Add(wait + total)) {
			break
		}
		if e.class.class.Priority <= priority && !e.at.Before(missed) {
			total += e.class.interval
		}
	}
	return total
}

// Len returns the number of reservations.
func (l *Ledger) Len() int { return len(l.entries) }

// TakeMissed returns the number of reservations that have expired since the last call.
func (l *Ledger) TakeMissed() int {
	n := l.missed
	l.missed = 0
	return n
}

// expire drops the reservations that were not used in time.
func (l *Ledger) expire(now time.Time) {
	limit := now.Add(-maxLate)
	if len(l.entries) == 0 || l.entries[0].start.After(limit) {
		return
	}
	kept := slices.DeleteFunc(l.entries, func(e entry) bool { return e.at.Before(limit) })
	l.missed += len(l.entries) - len(kept)
	l.entries = kept
}

// length returns how much of the time line a reservation of the class occupies: the rest of
// it is for new requests and more urgent ones.
func (l *Ledger) length(now time.Time, c *classAccounts) time.Duration {
	share := l.opts.Share
	if c.class.Late {
		share = l.opts.LateShare
	}
	left := max(1-l.used.above(now, c.class.Priority), minLeftOver)
	return max(time.Duration(float64(c.interval)/max(share*left, minShare)), 1)
}

// gap returns the first time from earliest on at which an interval of the length can begin
// among the reservations on the time line of the class. Reservations occupy as much as their classes need
// now, so that they may push each other back.
func (l *Ledger) gap(now time.Time, class Class, earliest time.Time, length time.Duration) time.Time {
	for _, c := range l.classes {
		c.length = l.length(now, c)
	}
	missed := now.Add(-missedAfter)
	free := latest(now, l.claimedUntil[class.line()])
	trials := 0
	for i := range l.entries {
		e := &l.entries[i]
		if !e.class.class.sharesLine(class) || e.at.Before(missed) {
			continue
		}
		begin := latest(e.start, free)
		start := latest(earliest, free)
		if !start.Add(length).After(begin) {
			return start
		}
		if trials < maxTrials && !start.Add(length/2).After(begin) {
			if trials++; l.fits(i, class, start.Add(length), missed) {
				return start
			}
		}
		free = begin.Add(e.class.length)
	}
	return latest(earliest, free)
}

// fits reports whether the reservations from the index on can be pushed back to the time free,
// none by more than it occupies itself.
func (l *Ledger) fits(from int, class Class, free, missed time.Time) bool {
	for i := from; i < len(l.entries); i++ {
		e := &l.entries[i]
		if !e.class.class.sharesLine(class) || e.at.Before(missed) {
			continue
		}
		push := free.Sub(e.start)
		if push <= 0 {
			return true
		}
		if push > e.class.length {
			return false
		}
		free = free.Add(e.class.length)
	}
	return true
}

// insert adds an entry behind those that begin earlier.
func (l *Ledger) insert(e entry) {
	position, _ := slices.BinarySearchFunc(l.entries, e.start, func(e entry, t time.Time) int { return e.start.Compare(t) })
	l.entries = slices.Insert(l.entries, position, e)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
