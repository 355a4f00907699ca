// Package freshness decides which hosts check with the store that the configuration is the
// newest, and which host each of the others asks instead. It has no clock, network or
// goroutine.
//
// The first host of the fleet by name checks with the store. The first host of each other
// zone asks it, and the other hosts ask the first one of their zone. A host asks only hosts
// whose names are before its own, so that hosts with the same view never ask each other in a
// circle. Asking can only make a check with the store unnecessary: a host whose configuration
// reaches the age at which it checks does so, whatever it has asked.
package freshness

import (
	"time"
)

// The ages below are shares of the time within which a change must be in force. All of them
// are less than the age at which a host checks with the store itself.
const (
	// zoneAskAge is the age at which the first host of a zone asks the first one of the
	// fleet, which checks at an age of 0.25. askAge is that age for all other hosts. The
	// steps between these ages leave time for the asked host's own question: with equal
	// ages, half of the responses are hardly younger than the configuration of the asking
	// host, and twice as many questions are sent.
	zoneAskAge = 0.3
	askAge     = 0.35
	// staleAge is the age from which a response does not help.
	staleAge = 0.4
	// minAskInterval is the shortest time between two questions.
	minAskInterval = 0.1
	// askTimeout is the time that a host gets to respond. Hosts that may use a sixth of a
	// core pause for up to 84 ms of each 100 ms.
	askTimeout = 0.1
)

const (
	// minAvoid is the time for which a host that does not help is not asked. It doubles
	// with each further failure, up to maxAvoid.
	minAvoid = time.Second
	maxAvoid = 16 * time.Second
	// staleTolerance is the number of consecutive responses that are too old before the
	// host is avoided: one may be due to a single slow check, or to a host that has just
	// become the first of its zone. A host that was avoided before gets no second one.
	staleTolerance = 2
	// confirmationsToRecover is the number of consecutive responses that are recent enough after
	// which earlier failures of the host no longer count. A host that is cut off from the
	// store is still gets recent confirmations from other hosts now and then.
	confirmationsToRecover = 8
)

// Host is a host that is known to run.
type Host struct {
	Name, Zone string
}

// Asker decides whom one host asks, and when. It is not safe for concurrent use.
type Asker struct {
	self  Host
	bound time.Duration
	// confirmedElsewhereAt is the latest time at which a response says that the configuration of the
	// asked host was the newest in the store.
	confirmedElsewhereAt time.Time
	// askedAt is the time of the last question.
	askedAt time.Time
	hosts   map[string]*record
}

// record is what an Asker knows of a host that it has asked.
type record struct {
	// stale and confirmed are the numbers of consecutive responses that were too old, and
	// that were recent enough. failures is the number of times for which the host was avoided.
	stale, confirmed, failures int
	avoidUntil                 time.Time
}

// NewAsker returns the Asker of a host. bound is the time within which a change of the
// configuration must be in force.
func NewAsker(self Host, bound time.Duration) *Asker {
	return &Asker{self: self, bound: bound, hosts: map[string]*record{}}
}

// Timeout is the time that a host gets to respond.
func (a *Asker) Timeout() time.Duration {
	return a.share(askTimeout)
}

func (a *Asker) share(s float64) time.Duration {
	return time.Duration(s * float64(a.bound))
}

// Role says how a host confirms its configuration.
type Role int

const (
	// Member asks the first host of its zone.
	Member Role = iota
	// ZoneFirst is the first host of its zone and asks the first one of the fleet.
	ZoneFirst
	// Deputy is the first host of its zone while the first one of the fleet does not help. It
	// checks with the store.
	Deputy
	// FleetFirst is the first host of the fleet. It checks with the store.
	FleetFirst
)

const (
	fleetFirstCheckAge = 0.25
	// deputyCheckAge is above fleetFirstCheckAge, so that a deputy does not check if
	// responses to requests bring the age of a host that has.
	deputyCheckAge = 0.3
)

// CheckAge returns the age at which this host checks with the store on behalf of others, or
// false if it does not.
func (a *Asker) CheckAge(now time.Time, hosts []Host) (age time.Duration, ok bool) {
	switch _, role := a.Source(now, hosts); role {
	case FleetFirst:
		return a.share(fleetFirstCheckAge), true
	case Deputy:
		return a.share(deputyCheckAge), true
	}
	return 0, false
}

// Source returns the host that this one asks, or "" if this host checks with the store on
// behalf of others. hosts are those that run; they may include this one.
func (a *Asker) Source(now time.Time, hosts []Host) (source string, role Role) {
	inZone, inFleet := a.self.Name, a.self.Name
	for _, h := range hosts {
		if h.Name < inZone && h.Zone == a.self.Zone && !a.avoided(now, h.Name) {
			inZone = h.Name
		}
		inFleet = min(inFleet, h.Name)
	}
	switch {
	case inZone != a.self.Name:
		return inZone, Member
	case inFleet == a.self.Name:
		return "", FleetFirst
	case a.avoided(now, inFleet):
		// Between zones only one host is tried: after the loss of the link between two
		// regions none of the other region responds.
		return "", Deputy
	}
	return inFleet, ZoneFirst
}

func (a *Asker) avoided(now time.Time, host string) bool {
	r := a.hosts[host]
	return r != nil && now.Before(r.avoidUntil)
}

// Decision is a decision of an Asker.
type Decision struct {
	// Host is the host to ask now, or "" if none is to be asked before Wait has passed.
	Host string
	Wait time.Duration
}

// Next decides whether a host is asked now. confirmedAt is the time at which the
// configuration of this host was known to be the newest.
func (a *Asker) Next(now, confirmedAt time.Time, hosts []Host) Decision {
	source, role := a.Source(now, hosts)
	if source == "" {
		return Decision{Wait: a.share(minAskInterval)}
	}
	age := askAge
	if role == ZoneFirst {
		age = zoneAskAge
	}
	if a.confirmedElsewhereAt.After(confirmedAt) {
		confirmedAt = a.confirmedElsewhereAt // the other host has a version that this one is to get
	}
	due := confirmedAt.Add(a.share(age))
	if earliest := a.askedAt.Add(a.share(minAskInterval)); earliest.After(due) {
		due = earliest
	}
	if wait := due.Sub(now); wait > 0 {
		return Decision{Wait: wait}
	}
	return Decision{Host: source}
}

// Outcome is what became of a question.
type Outcome int

// Outcomes of questions.
const (
	// Confirmed means that the response was recent enough.
	Confirmed Outcome = iota
	// Stale means that the configuration of the asked host was too old itself.
	Stale
	// Failed means that the host did not respond in time.
	Failed
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"confirmed", "stale", "failed"}[o]
}

// Outcome returns the outcome of a question to which a host responded. age is that of its
// configuration when the question was sent; it is valid if known is true.
func (a *Asker) Outcome(age time.Duration, known bool) Outcome {
	if !known || age >= a.share(staleAge) {
		return Stale
	}
	return Confirmed
}

// Record records a question that was sent to the host at askedAt and has ended now. age is
// that of the host's configuration at askedAt if the outcome is Confirmed. It reports for how
// long the host is avoided, 0 if it is not.
func (a *Asker) Record(now, askedAt time.Time, host string, o Outcome, age time.Duration) (avoid time.Duration) {
	a.askedAt = askedAt
	r := a.hosts[host]
	if r == nil {
		r = &record{}
		a.hosts[host] = r
	}
	switch o {
	case Confirmed:
		if r.stale, r.confirmed = 0, r.confirmed+1; r.failures == 0 || r.confirmed >= confirmationsToRecover {
			delete(a.hosts, host)
		}
		if at := askedAt.Add(-age); at.After(a.confirmedElsewhereAt) {
			a.confirmedElsewhereAt = at
		}
		return 0
	case Stale:
		if r.stale++; r.stale < staleTolerance && r.failures == 0 {
			r.confirmed = 0
			return 0
		}
	case Failed:
		a.askedAt = time.Time{} // the next host is asked at once
	}
	avoid = min(minAvoid<<min(r.failures, 8), maxAvoid)
	r.stale, r.confirmed, r.avoidUntil = 0, 0, now.Add(avoid)
	r.failures++
	a.forget(now)
	return avoid
}

// forget drops what is known of hosts that have not been avoided for long.
func (a *Asker) forget(now time.Time) {
	for name, r := range a.hosts {
		if now.Sub(r.avoidUntil) > 2*maxAvoid && r.failures > 0 {
			delete(a.hosts, name)
		}
	}
}
