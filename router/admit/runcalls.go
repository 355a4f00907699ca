package admit

import (
	"container/heap"
	"math"
	"time"
)

// Bounds on calls of runs: requests for whose responses other running requests wait, so that
// refusing one wastes the work of a request that runs elsewhere.
const (
	// While other work waits, calls start on at most callSlotsNumerator/callSlotsDenominator
	// of the slots, and at most maxCallsInRow one after another. The second bound counts
	// where a rate limit binds, or with a single slot.
	callSlotsNumerator, callSlotsDenominator = 2, 3
	maxCallsInRow                            = 6
	// burstFactor: the queue of calls shows a burst if it was empty within the last
	// burstFactor mean service times, otherwise a lasting overload.
	burstFactor = 8
	// standingWaitFactor bounds the wait of a call that can meet its goal in a lasting
	// overload, in mean service times. Longer waits make runs hold their slots in vain.
	standingWaitFactor = 4
	// keptSlotsDivisor: requests that make calls themselves leave at least
	// 1/keptSlotsDivisor of the slots to calls that arrived within the last
	// keptSlotsTime. Otherwise the requests of two services that call each other could hold
	// all slots and wait for one another.
	keptSlotsDivisor = 4
	keptSlotsTime    = 2 * time.Second
	// useTime is the time constant of the average of the slots that calls use.
	useTime = 500 * time.Millisecond
)

// runCalls is the state of a PriorityLimiter that concerns calls of runs.
type runCalls struct {
	// inFlight are the calls, and callers the requests that make calls, in flight.
	inFlight, callers int
	// inRow is the number of calls that were started since other work that waited was.
	inRow int
	// arrivedAt is the time of the last call, otherAt that of the last other request, and
	// waitingSince the time since which the queue has had calls.
	arrivedAt, otherAt, waitingSince time.Time
	// used is the moving average at usedAt of the slots that calls use.
	used   float64
	usedAt time.Time
}

// slotsInUse returns the moving average of the slots that calls use.
func (c *runCalls) slotsInUse(now time.Time) float64 {
	if c.used == 0 {
		return 0
	}
	return c.used * math.Exp(-float64(now.Sub(c.usedAt))/float64(useTime))
}

// noteArrival notes that the request arrives now. The caller holds l.mu.
func (l *PriorityLimiter) noteArrival(now time.Time, it *priorityItem) {
	if it.class.OfRun {
		l.calls.arrivedAt = now
	} else {
		l.calls.otherAt = now
	}
}

// mayStartAtOnce reports whether the request may start without waiting. The caller holds l.mu.
func (l *PriorityLimiter) mayStartAtOnce(now time.Time, it *priorityItem) bool {
	if !l.mayStart(now) || l.mustLeaveSlot(now, it) {
		return false
	}
	// Requests that leave the last slots to calls do not keep others waiting.
	for _, w := range l.waiting {
		if !l.mustLeaveSlot(now, w) {
			return false
		}
	}
	return true
}

// mustLeaveSlot reports whether the request must leave the free slots to calls of runs. The
// caller holds l.mu.
func (l *PriorityLimiter) mustLeaveSlot(now time.Time, it *priorityItem) bool {
	if !it.bounds.MakesCalls || it.class.OfRun || l.calls.arrivedAt.IsZero() || now.Sub(l.calls.arrivedAt) > keptSlotsTime {
		return false
	}
	slots := l.limit.Allowed()
	return slots > 1 && l.calls.callers >= slots-max(slots/keptSlotsDivisor, 1)
}

// next removes the request from the queue that gets the next slot, and returns nil if none
// may start. The caller holds l.mu.
func (l *PriorityLimiter) next(now time.Time) *priorityItem {
	if len(l.waiting) == 0 || !l.mayStart(now) {
		return nil
	}
	first := l.waiting[0]
	callsLast := first.class.OfRun && l.callsUseShare()
	if !callsLast && !l.mustLeaveSlot(now, first) {
		return heap.Pop(&l.waiting).(*priorityItem)
	}
	var best, call *priorityItem
	for _, w := range l.waiting {
		switch {
		case l.mustLeaveSlot(now, w):
		case callsLast && w.class.OfRun:
			if call == nil || w.before(call) {
				call = w
			}
		case best == nil || w.before(best):
			best = w
		}
	}
	if best == nil {
		best = call
	}
	if best != nil {
		heap.Remove(&l.waiting, best.index)
	}
	return best
}

// callsUseShare reports whether calls have used up their share while other work waits. The
// caller holds l.mu.
func (l *PriorityLimiter) callsUseShare() bool {
	return l.calls.inFlight >= l.callSlots() || l.calls.inRow >= maxCallsInRow
}

// callSlots returns the slots on which calls may start while other work waits.
func (l *PriorityLimiter) callSlots() int {
	return max(l.limit.Allowed()*callSlotsNumerator/callSlotsDenominator, 1)
}

// countStart counts the start of a request, which countEnd takes out of the requests in flight
// when it ends. The caller holds l.mu.
func (l *PriorityLimiter) countStart(now time.Time, it *priorityItem) {
	c := &l.calls
	if it.bounds.MakesCalls {
		c.callers++
	}
	if !it.class.OfRun {
		c.inRow = 0
		return
	}
	c.used = c.slotsInUse(now) + float64(l.meanServiceOf(it.class))/float64(useTime)
	c.usedAt = now
	c.inFlight++
	c.inRow++
	if !l.waiting.hasOtherWork() {
		c.inRow = 0
	}
}

// countEnd counts the end of a request. The calls in a row and the average of the slots in use
// describe starts and stay as they are. The caller holds l.mu.
func (l *PriorityLimiter) countEnd(it *priorityItem) {
	if it.bounds.MakesCalls {
		l.calls.callers--
	}
	if it.class.OfRun {
		l.calls.inFlight--
	}
}

// hasOtherWork reports whether requests wait that are no calls of runs.
func (h priorityHeap) hasOtherWork() bool {
	for _, w := range h {
		if !w.class.OfRun {
			return true
		}
	}
	return false
}

// waitBesideCalls returns the expected time until the request gets a slot if calls and other
// work each wait for their own share of the slots; 0 if there are no calls. The caller holds
// l.mu.
func (l *PriorityLimiter) waitBesideCalls(now time.Time, it *priorityItem) time.Duration {
	if l.calls.arrivedAt.IsZero() || (now.Sub(l.calls.arrivedAt) > keptSlotsTime && !it.class.OfRun && l.calls.slotsInUse(now) == 0) {
		return 0
	}
	slots, callSlots := float64(max(l.limit.Allowed(), 1)), float64(l.callSlots())
	before, otherWork := l.meanServiceOf(it.class), !it.class.OfRun // one in flight
	// A promoted call overtakes other calls, which then wait longer than they were admitted
	// for. It is therefore admitted only if the wait fits without its promotion.
	inTurn := *it
	inTurn.promoted = it.promoted && !it.class.OfRun
	for _, w := range l.waiting {
		if w.class.OfRun == it.class.OfRun && w.before(&inTurn) {
			before += l.meanServiceOf(w.class)
		}
		otherWork = otherWork || !w.class.OfRun
	}
	share := slots
	switch {
	case !it.class.OfRun:
		share = max(slots-min(l.calls.slotsInUse(now), callSlots), 1)
	case otherWork:
		share = callSlots
	}
	return time.Duration(float64(before) / share)
}

// maxCallWait returns how long a call may wait: in a burst as long as its run can use the
// response, in a lasting overload only briefly. The caller holds l.mu.
func (l *PriorityLimiter) maxCallWait(now time.Time, it *priorityItem) time.Duration {
	waiting := 0
	for _, w := range l.waiting {
		if w.class.OfRun {
			waiting++
		}
	}
	if waiting == 0 {
		l.calls.waitingSince = now
	}
	// A queue full of calls would refuse all other work.
	places := max(l.limit.Allowed(), 1) * maxWaitingPerSlot * callSlotsNumerator / callSlotsDenominator
	if waiting >= places && now.Sub(l.calls.otherAt) < keptSlotsTime {
		return 0
	}
	service := l.meanServiceOf(it.class)
	useful := it.bounds.Deadline.Sub(now) - l.leadTime(it)
	if now.Sub(l.calls.waitingSince) < burstFactor*service {
		return useful
	}
	brief := lateWaitFactor * service
	if toGoal := it.bounds.Goal.Sub(now) - l.leadTime(it); !it.late {
		brief = max(brief, min(toGoal, standingWaitFactor*service))
	}
	return min(brief, useful)
}
