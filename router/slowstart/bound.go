// Package slowstart bounds the requests to an upstream that is cold. It knows until when
// the upstream is cold, and how many requests it may get until then. It has no clock;
// times are passed in and must not decrease.
package slowstart

import "math"

const (
	// margin is the part of the allowed requests that stays unused, because requests do not
	// arrive at the intervals at which they are sent.
	margin = 0.15
	// minBurstShare is the least part of the requests of a second that may come at once.
	minBurstShare = 0.1
)

// Bound is a bound on requests: a token bucket. The zero value has no bound.
type Bound struct {
	// PerSecond is the rate in requests per second, Burst the number of requests that may
	// come at once. In any closed second there are at most PerSecond + Burst.
	PerSecond, Burst float64
}

// NewBound returns the bound for an upstream that tolerates perSecond requests a second
// while it is cold and must not get more than perSecond x overage + slack in any second.
// It returns no bound if perSecond is not above 0.
func NewBound(perSecond, overage, slack float64) Bound {
	if !(perSecond > 0) {
		return Bound{}
	}
	allowed := perSecond*overage + slack
	usable := (1 - margin) * allowed
	if usable < 2 {
		// A burst of 1 and a rate below 1 let one request through in a second.
		return Bound{PerSecond: (1 - margin) * min(perSecond, allowed, 1), Burst: 1}
	}
	rate := min(perSecond, usable*(1-minBurstShare), usable-1)
	return Bound{PerSecond: rate, Burst: usable - rate}
}

// Slots returns the number of requests that run at once at the bound's rate if each takes
// the given time in seconds. It is at least 1.
func (b Bound) Slots(serviceSeconds float64) int {
	return int(max(1, min(math.Round(b.PerSecond*serviceSeconds), 1<<20)))
}
