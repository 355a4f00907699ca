package admit

import (
	"time"

	"burdockglade.dev/router/errkind"
)

// Preview is what Acquire would decide now.
type Preview struct {
	// Err is the error with which the request would be refused at once, or nil.
	Err error
	// Queued is true if the request would wait for a slot, about for Wait.
	Queued bool
	Wait   time.Duration
	// Late is true if the response is expected to miss its goal.
	Late bool
}

// Preview returns what Acquire would decide now. It takes no slot and no token, and does not
// change the waiting requests.
func (l *PriorityLimiter) Preview(class WorkClass, bounds WaitBounds) Preview {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.paceFactor = l.pace.Factor(now)
	if l.limit.Allowed() == 0 {
		return Preview{Err: errNoUpstream()}
	}
	it := &priorityItem{class: class, arrival: l.nextArrival, bounds: bounds}
	if l.mayStartAtOnce(now, it) {
		return Preview{Late: l.wouldMissGoal(now, it)}
	}
	l.classify(now, it)
	wait, _, err := l.judge(now, it)
	return Preview{Err: err, Queued: err == nil, Wait: wait, Late: it.late}
}

func errNoUpstream() *errkind.Error {
	return errkind.New(errkind.UpstreamDown, "no upstream is announced")
}

// classify sets the fields by which the item is ordered among those that wait. The caller
// holds l.mu.
func (l *PriorityLimiter) classify(now time.Time, it *priorityItem) {
	it.promoted = l.isShort(it.class) && l.promoted < l.limit.Allowed()/promotedSlotsDivisor
	it.late = it.turn == turnReserved || l.wouldMissGoal(now, it)
}
