package keyrange

import (
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// orderGrantTimeout is how long an order to hold keys waits for its answer.
	// The upstream is on the same host and answers before it does any work.
	orderGrantTimeout = 300 * time.Millisecond
	// orderReleaseTimeout is that time for an order to give keys up, which is
	// answered when the work on them has ended.
	orderReleaseTimeout = 1500 * time.Millisecond
	// orderRetryPause is the pause before an order without an answer is repeated.
	orderRetryPause = 150 * time.Millisecond
	// grantRefusalPause is that pause after a grant that the upstream refused.
	grantRefusalPause = time.Second
	// arrivalMargin is the time after an order was given up within which it may
	// still arrive: bytes that the upstream has not read yet.
	arrivalMargin = 250 * time.Millisecond
	// renewShare is the part of a hold that is left when it is renewed.
	renewShare = 2
)

// Command is a call that makes an upstream hold a range of keys, or give it up.
type Command struct {
	Grant
	// Release tells that the upstream is to give the range up.
	Release bool
	// HoldFor is how long a grant lasts, counted from its arrival.
	HoldFor time.Duration
	// Timeout is how long the order waits for its answer.
	Timeout time.Duration
}

func (o Command) span() span {
	return span{o.From, o.To, o.Generation}
}

// CommandResult is what became of an order.
type CommandResult int

// Results of an order.
const (
	// CommandApplied: the upstream carried the order out.
	CommandApplied CommandResult = iota
	// CommandRefused: the upstream has seen a higher generation on one of the keys
	// and did not take the grant.
	CommandRefused
	// CommandUnknown: there was no answer. The upstream may carry the order out
	// later, after newer ones.
	CommandUnknown
	// CommandNotApplied: nothing was sent, or the upstream said that it did not carry
	// the order out.
	CommandNotApplied
)

// Commands decides which calls go to an upstream that is granted its keys by calls,
// and notes in Grants what they tell. At most one order for a key is under way.
type Commands struct {
	grants *Grants
	// underWay are the orders without a result.
	underWay map[span]bool
	// notBefore holds the earliest time of the next order after one that failed.
	notBefore map[span]boottime.Time
	// refused are the grants that the upstream refused.
	refused map[span]bool
}

// NewCommands returns the orders for the upstream whose grants are followed by g.
// Grants of an earlier process of this router may also be without an answer.
func NewCommands(g *Grants) *Commands {
	g.lateUnknown = g.unknownUntil
	return &Commands{grants: g, underWay: map[span]bool{}, notBefore: map[span]boottime.Time{}, refused: map[span]bool{}}
}

// Due returns the orders that are to be sent now: grants of ranges that the map
// gives to h and that it does not hold for long enough, and releases of those that
// are to move. leaseEnd is the end of the host's lease; no grant outlasts it, even
// if it arrives as late as its timeout.
func (o *Commands) Due(now boottime.Time, m *Map, h Holder, leaving bool, leaseEnd boottime.Time, maxHold time.Duration) []Command {
	if m == nil {
		return nil
	}
	left := leaseEnd.Sub(now) - orderGrantTimeout - arrivalMargin
	hold := min(maxHold, left-left/clockDrift)
	var due []Command
	for i := range m.Ranges {
		r := &m.Ranges[i]
		s := span{r.From, r.To, r.Generation}
		if _, given := o.grants.given[s]; r.Holder != h || given || o.waits(now, s) {
			continue
		}
		order := Command{Grant: Grant{From: r.From, To: r.To, Generation: r.Generation, Handover: r.Handover}}
		switch {
		case r.Next != "" || leaving:
			order.Release, order.Timeout = true, orderReleaseTimeout
		case hold >= shortestHold && !o.refused[s] && o.grants.expires(s).Sub(now) < hold/renewShare:
			order.HoldFor, order.Timeout = hold, orderGrantTimeout
		default:
			continue
		}
		due = append(due, order)
	}
	// Others wait for what is given up.
	slices.SortStableFunc(due, func(a, b Command) int { return releaseRank(a) - releaseRank(b) })
	return due
}

func releaseRank(o Command) int {
	if o.Release {
		return 0
	}
	return 1
}

// waits reports whether an order for some of the keys is under way, or failed a
// moment ago.
func (o *Commands) waits(now boottime.Time, s span) bool {
	for other := range o.underWay {
		if other.overlaps(s) {
			return true
		}
	}
	return now < o.notBefore[s]
}

// Begin notes that an order is being sent. From the start of a release on the
// upstream takes no new work for the range.
func (o *Commands) Begin(order Command) {
	s := order.span()
	o.underWay[s] = true
	if order.Release {
		o.grants.drop(s)
	}
}

// Complete takes the result of an order that was sent at a time. token is what the
// upstream left for the next holder of a range that it gave up.
func (o *Commands) Complete(sent, now boottime.Time, order Command, result CommandResult, token string) {
	s := order.span()
	delete(o.underWay, s)
	delete(o.notBefore, s)
	switch {
	case result == CommandNotApplied:
		o.notBefore[s] = now.Add(orderRetryPause)
	case result == CommandUnknown:
		o.notBefore[s] = now.Add(orderRetryPause)
		if !order.Release {
			o.grants.unanswered(s, now.Add(arrivalMargin+withDrift(order.HoldFor)))
		}
	case order.Release:
		o.grants.gaveUp(s, token)
	case result == CommandRefused:
		o.refused[s] = true
		o.notBefore[s] = now.Add(grantRefusalPause)
		o.grants.drop(s)
	default:
		o.grants.confirmed(s, sent.Add(order.HoldFor), now.Add(withDrift(order.HoldFor)))
	}
}

// MarkUncertain notes that the upstream refused work because it does not hold the key: it
// is granted again.
func (o *Commands) MarkUncertain(key uint16) {
	for granted := range o.grants.active {
		if granted.from <= key && key <= granted.to {
			delete(o.grants.active, granted)
		}
	}
}

// Refused reports whether the upstream refused the grant of a range because it has
// seen a higher generation. The range needs a new one.
func (o *Commands) Refused(r *Range) bool {
	return o.refused[span{r.From, r.To, r.Generation}]
}

// Reset forgets the orders to an earlier run of the upstream. Their results do not
// matter any more.
func (o *Commands) Reset() {
	clear(o.underWay)
	clear(o.notBefore)
	clear(o.refused)
}

// Prune drops what is known of ranges that the map no longer gives to the holder
// and whose grants have ended.
func (o *Commands) Prune(now boottime.Time, m *Map, h Holder) {
	known := map[span]bool{}
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Holder == h {
			known[span{r.From, r.To, r.Generation}] = true
		}
	}
	for s := range o.refused {
		if !known[s] {
			delete(o.refused, s)
		}
	}
	for s := range o.notBefore {
		if !known[s] {
			delete(o.notBefore, s)
		}
	}
	o.grants.forget(now, known)
}
