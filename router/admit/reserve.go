package admit

import (
	"errors"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/reservation"
)

// minReturnDelay is the shortest time after which a refused request is asked to return. A
// slot is rarely free at once, and each return costs a request between routers.
const minReturnDelay = 50 * time.Millisecond

// Origin describes the attempt to which a request belongs.
type Origin struct {
	// Host is the host at which the request originated, or empty if it is not known.
	Host string
	// Final is true if no other host will be tried, so that a refusal is final.
	Final bool
	// Return says whether the request was refused before and has come back.
	Return reservation.Return
}

// turn orders the requests of a priority.
type turn int

const (
	// turnReserved: the request uses a reservation.
	turnReserved turn = iota - 1
	turnFirst
	// turnReturning: the request has come back early or without a reservation.
	turnReturning
)

// ReservationOptions configure the reservations for returning requests.
type ReservationOptions struct {
	reservation.Options
	// HonouredDivisor is the divisor of the remaining time that gives the longest delay that
	// callers honour.
	HonouredDivisor int
	// Count counts an event of the reservations, or n of them. It must not block.
	Count func(event ReservationEvent, n int)
}

// ReservationEvent is an event that ReservationOptions.Count counts.
type ReservationEvent string

// The events of reservations.
const (
	// ReservationMade, ReservationKept and ReservationMissed: a reservation was made, used, or
	// not used in time.
	ReservationMade   ReservationEvent = "made"
	ReservationKept   ReservationEvent = "kept"
	ReservationMissed ReservationEvent = "missed"
	// ReservationLost: a request has come back in time for a reservation that does not exist.
	ReservationLost ReservationEvent = "lost"
	// NoneLater, NoneOverShare and NoneFull: no reservation was made, see reservation.Outcome.
	NoneLater     ReservationEvent = "none_later"
	NoneOverShare ReservationEvent = "none_share"
	NoneFull      ReservationEvent = "none_full"
	// The others count final refusals by reservation.Return.
	RefusedFirst      ReservationEvent = "refused_first"
	RefusedDue        ReservationEvent = "refused_due"
	RefusedEarly      ReservationEvent = "refused_early"
	RefusedUnreserved ReservationEvent = "refused_unreserved"
)

// ReservationEvents are all events of reservations.
var ReservationEvents = []ReservationEvent{
	ReservationMade, ReservationKept, ReservationMissed, ReservationLost,
	NoneLater, NoneOverShare, NoneFull, RefusedFirst, RefusedDue, RefusedEarly, RefusedUnreserved,
}

var (
	outcomeEvents = [...]ReservationEvent{reservation.Reserved: ReservationMade, reservation.Later: NoneLater, reservation.OverShare: NoneOverShare, reservation.Full: NoneFull}
	refusedEvents = [...]ReservationEvent{reservation.FirstAttempt: RefusedFirst, reservation.Due: RefusedDue, reservation.Early: RefusedEarly, reservation.Unreserved: RefusedUnreserved}
)

// reservations are the reservations of a limiter.
type reservations struct {
	ReservationOptions
	ledger *reservation.Ledger
	// places counts waiting requests by host and class; it is kept to avoid allocations.
	places map[placeKey]int
}

// Reserve lets the limiter make reservations for refused requests. It must be called before
// the first Acquire.
func (l *PriorityLimiter) Reserve(opts ReservationOptions) {
	l.reservations = &reservations{ReservationOptions: opts, ledger: reservation.NewLedger(opts.Options), places: map[placeKey]int{}}
}

// Reservations returns the number of open reservations.
func (l *PriorityLimiter) Reservations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations == nil {
		return 0
	}
	return l.reservations.ledger.Len()
}

// ledgerClass returns the class for the ledger.
func (c WorkClass) ledgerClass() reservation.Class {
	return reservation.Class{Priority: c.Priority, Repeatable: c.Repeatable}
}

// claim gives a returning request its turn. The caller holds l.mu.
func (l *PriorityLimiter) claim(now time.Time, it *priorityItem) {
	if l.reservations == nil || it.bounds.Origin.Return == reservation.FirstAttempt {
		return
	}
	r := l.reservations
	switch it.bounds.Origin.Return {
	case reservation.Early, reservation.Unreserved:
		it.turn = turnReturning
	case reservation.Due:
		if r.ledger.Claim(now, it.bounds.Origin.Host, it.class.ledgerClass()) {
			it.turn = turnReserved
			r.Count(ReservationKept, 1)
		} else {
			r.Count(ReservationLost, 1) // the caller has done what it was asked to: a first attempt
		}
		r.countMissed()
	}
}

func (r *reservations) countMissed() {
	if n := r.ledger.TakeMissed(); n > 0 {
		r.Count(ReservationMissed, n)
	}
}

// served records a request that got a slot. The caller holds l.mu.
func (l *PriorityLimiter) served(now time.Time, class WorkClass) {
	if l.reservations != nil {
		l.reservations.ledger.Served(now, class.Priority, l.interval(now, class))
	}
}

// interval returns the time that the limiter takes for each request of the class if it serves
// nothing else, 0 if that is not known yet. The caller holds l.mu.
func (l *PriorityLimiter) interval(now time.Time, class WorkClass) time.Duration {
	interval := l.meanServiceOf(class) / time.Duration(max(l.maxInFlight(), 1))
	if rate := l.allowedPerSecond(now); rate > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/rate))
	}
	return interval
}

// reservedWait returns by how much the open reservations that come before a new request of the
// class prolong its wait. The caller holds l.mu.
func (l *PriorityLimiter) reservedWait(now time.Time, it *priorityItem, wait time.Duration) time.Duration {
	if l.reservations == nil || it.turn == turnReserved || it.promoted || l.reservations.ledger.Len() == 0 {
		return 0
	}
	return l.reservations.ledger.Before(now, it.class.Priority, wait)
}

// offerReturn adds the time at which a request that is refused finally should return to its
// error, and makes a reservation for it if there will be capacity in time. Calls of runs,
// which are not repeated, and refusals for other reasons than a lack of room are returned as
// they are.
func (l *PriorityLimiter) offerReturn(class WorkClass, bounds WaitBounds, err error) error {
	var refusal *errkind.Error
	if l.reservations == nil || class.OfRun || !bounds.Origin.Final || !errors.As(err, &refusal) || refusal.Kind != errkind.Overloaded {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.paceFactor = l.pace.Factor(now)
	r := l.reservations
	r.Count(refusedEvents[bounds.Origin.Return], 1)
	interval := l.interval(now, class)
	if bounds.Origin.Return == reservation.Early || interval == 0 || l.limit.Allowed() == 0 {
		return err // it was told when to return, or nothing is known of the capacity
	}
	left := bounds.Deadline.Sub(now)
	lead := l.leadTime(&priorityItem{class: class})
	latest := min(left/time.Duration(r.HonouredDivisor), left-lead)
	earliest := max(minReturnDelay, l.tokenWait(now, len(l.waiting)+1))
	of := class.ledgerClass()
	if inTime := bounds.Goal.Sub(now) - lead; inTime >= earliest {
		latest = min(latest, inTime) // a later return would miss the goal
	} else {
		of.Late = true
	}
	offer := r.ledger.Reserve(now, reservation.Request{
		Host: bounds.Origin.Host, Class: of, Interval: interval,
		Earliest: now.Add(earliest), Latest: now.Add(latest),
	})
	r.countMissed()
	refusal.RetryAfter, refusal.Room = offer.At.Sub(now), errkind.RoomLater
	if offer.Outcome == reservation.Reserved {
		refusal.Room = errkind.RoomReserved
	}
	r.Count(outcomeEvents[offer.Outcome], 1)
	return refusal
}

// placeKey identifies the requests of a priority that share places in the queue.
type placeKey struct {
	host       string
	repeatable bool
}

// placeKey returns the key of the item.
func (it *priorityItem) placeKey() placeKey {
	return placeKey{host: it.bounds.Origin.Host, repeatable: it.class.Repeatable}
}

// competesWith reports whether the places in the queue are divided between the hosts and
// classes of the item and of the waiting request.
func (it *priorityItem) competesWith(w *priorityItem) bool {
	return w.class.Priority == it.class.Priority && w.class.OfRun == it.class.OfRun && w.turn == it.turn && w.promoted == it.promoted && w.bounds.Origin.Host != ""
}

// displacedFor returns the waiting request whose place the item takes if its wait is too long
// by the excess or the queue is full (excess 0), or nil. It is the last one of the host and
// class with most requests of the priority in the queue, if these are at least two more than
// those of the item's, so that two hosts do not displace each other's requests alternately.
// The caller holds l.mu.
func (l *PriorityLimiter) displacedFor(it *priorityItem, excess time.Duration) *priorityItem {
	if l.reservations == nil || it.bounds.Origin.Host == "" || it.bounds.Policy == NoWait || it.turn != turnFirst {
		return nil
	}
	places := l.reservations.places
	clear(places)
	var most placeKey
	for _, w := range l.waiting {
		if !it.competesWith(w) {
			continue
		}
		key := w.placeKey()
		if places[key]++; places[key] > places[most] {
			most = key
		}
	}
	if places[most] < places[it.placeKey()]+2 {
		return nil
	}
	var last *priorityItem
	for _, w := range l.waiting {
		if it.competesWith(w) && w.placeKey() == most && (excess <= 0 || w.before(it)) && (last == nil || last.before(w)) {
			last = w
		}
	}
	if last == nil {
		return nil
	}
	relief := l.meanServiceOf(last.class) / time.Duration(max(l.limit.Allowed(), 1))
	if excess > relief+l.meanServiceOf(it.class)/2 { // a waiting request expires that much behind its longest wait
		return nil
	}
	return last
}

// displacedError returns the error for a waiting request whose place the item takes.
func (l *PriorityLimiter) displacedError(wait time.Duration, it, displaced *priorityItem) error {
	if it.before(displaced) {
		return overloaded(wait, "more urgent requests fill the queue of %d", len(l.waiting)+1)
	}
	return overloaded(0, "requests of other hosts or classes than those of %s have fewer places in the queue", displaced.placeKey().host)
}
