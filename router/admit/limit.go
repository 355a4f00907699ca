package admit

import (
	"math"
	"time"
)

const (
	// startShare is the part of the slots that a cold upstream is given.
	startShare = 0.25
	// decreaseFactor is applied to the limit when the upstream sheds load.
	decreaseFactor = 0.7
	// decreasePause separates two decreases: refusals of requests that were
	// sent under the old limit say nothing of the new one.
	decreasePause = 100 * time.Millisecond
	// fullFloorShare is the part of the slots that an upstream keeps that serves
	// with all of them.
	fullFloorShare = 0.5
	// nearlyFull is the part of the limit from which a refusal of such an upstream
	// can come from its load.
	nearlyFull = 0.8
	// minLimit keeps a trickle of requests that can find a recovered upstream.
	minLimit = 1.0
)

// Limit is the number of requests that may run at the upstream at once. It
// grows by one per round of answers while it is used up, and falls by a factor
// when the upstream sheds load. It never exceeds the announced slots.
type Limit struct {
	slots int
	value float64
	// floor is the value below which refusals do not bring the limit.
	floor        float64
	lastDecrease time.Time
}

// NewLimit returns the limit for a cold upstream with the announced slots.
func NewLimit(slots int) Limit {
	l := Limit{slots: max(slots, 0), floor: minLimit}
	l.value = max(minLimit, math.Floor(float64(l.slots)*startShare))
	return l
}

// NewWarmLimit returns the limit for an upstream that serves with all its slots
// from the start, and that gets no requests but those admitted here. Its
// refusals come from a fault rather than from its load, which stays within its
// slots; they lower the limit to a part of the slots only.
func NewWarmLimit(slots int) Limit {
	l := Limit{slots: max(slots, 0)}
	l.value = float64(l.slots)
	l.floor = max(minLimit, l.value*fullFloorShare)
	return l
}

// Allowed returns the number of requests that may run at once. It is 0 when no
// slots are announced.
func (l *Limit) Allowed() int {
	return min(int(l.value), l.slots)
}

// Observe takes the result of one request. inFlight is the number of requests
// that were running, this one included: a limit that was not used up has not
// been tested and does not grow.
func (l *Limit) Observe(now time.Time, r Result, inFlight int) {
	switch r {
	case Completed:
		if inFlight >= l.Allowed() {
			l.value = min(l.value+1/l.value, max(float64(l.slots), minLimit))
		}
	case Shed:
		full := l.floor > minLimit
		if now.Sub(l.lastDecrease) < decreasePause || (full && float64(inFlight) < nearlyFull*l.value) {
			return
		}
		l.lastDecrease = now
		l.value = max(l.floor, l.value*decreaseFactor)
	}
}
