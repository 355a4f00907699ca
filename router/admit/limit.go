package admit

import (
	"math"
	"time"
)

const (
	// coldStartShare is the share of the slots with which the limit of a cold
	// upstream starts.
	coldStartShare = 0.25
	// decreaseFactor multiplies the limit when the upstream sheds load.
	decreaseFactor = 0.7
	// decreaseInterval is the minimum time between two decreases. Refusals of
	// requests that were sent under the old limit say nothing about the new one.
	decreaseInterval = 100 * time.Millisecond
	// warmFloorShare is the share of the slots below which refusals do not lower
	// the limit of a warm upstream.
	warmFloorShare = 0.5
	// saturatedShare is the share of the limit that must be in flight for a
	// refusal by a warm upstream to count as caused by load.
	saturatedShare = 0.8
	// minLimit is the lowest limit. It lets a few requests through, so that the
	// recovery of an upstream is detected.
	minLimit = 1.0
)

// Limit is an adaptive limit on the number of requests in flight at the upstream
// (additive increase, multiplicative decrease). It grows by one per round of
// responses while it is used up, and is multiplied by decreaseFactor when the
// upstream sheds load. It never exceeds the announced slots.
type Limit struct {
	slots int
	value float64
	// floor is the value below which refusals do not lower the limit.
	floor        float64
	lastDecrease time.Time
}

// NewLimit returns the limit for a cold upstream with the announced slots.
func NewLimit(slots int) Limit {
	l := Limit{slots: max(slots, 0), floor: minLimit}
	l.value = max(minLimit, math.Floor(float64(l.slots)*coldStartShare))
	return l
}

// NewWarmLimit returns the limit for an upstream that can use all its slots from
// the start and receives only requests admitted under this limit. Its load stays
// within its slots, so its refusals come from a fault rather than from load: they
// lower the limit to warmFloorShare of the slots at most.
func NewWarmLimit(slots int) Limit {
	l := Limit{slots: max(slots, 0)}
	l.value = float64(l.slots)
	l.floor = max(minLimit, l.value*warmFloorShare)
	return l
}

// Allowed returns the number of requests that may be in flight. It is 0 when no
// slots are announced.
func (l *Limit) Allowed() int {
	return min(int(l.value), l.slots)
}

// Observe updates the limit with the result of one request. inFlight is the
// number of requests in flight, including this one: a limit that was not used up
// has not been tested and does not grow.
func (l *Limit) Observe(now time.Time, r Result, inFlight int) {
	switch r {
	case Completed:
		if inFlight >= l.Allowed() {
			l.value = min(l.value+1/l.value, max(float64(l.slots), minLimit))
		}
	case Shed:
		warm := l.floor > minLimit
		if now.Sub(l.lastDecrease) < decreaseInterval || (warm && float64(inFlight) < saturatedShare*l.value) {
			return
		}
		l.lastDecrease = now
		l.value = max(l.floor, l.value*decreaseFactor)
	}
}
