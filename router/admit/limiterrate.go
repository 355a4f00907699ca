package admit

import (
	"math"
	"time"

	"burdockglade.dev/router/slowstart"
)

// firstInFlight bounds the requests in flight until the upstream has responded once. Only
// its responses name its rate limit, which a router that has just started does not know.
const firstInFlight = 3

// mayStart reports whether one more request may be sent. The caller holds l.mu.
func (l *PriorityLimiter) mayStart(now time.Time) bool {
	return l.inFlight < l.maxInFlight() && l.tokenWait(now, 1) == 0
}

// tokenWait returns the time until the rate limit and the bound of a cold upstream let n
// more requests through. The caller holds l.mu.
func (l *PriorityLimiter) tokenWait(now time.Time, n int) time.Duration {
	return max(l.rate.Wait(now, n), l.cold.Wait(now, n))
}

// allowedPerSecond returns the lowest bound on the requests per second, 0 if there is none.
// The caller holds l.mu.
func (l *PriorityLimiter) allowedPerSecond(now time.Time) float64 {
	limit, cold := l.rate.PerSecond(), l.cold.Bound(now).PerSecond
	if limit == 0 || cold == 0 {
		return max(limit, cold)
	}
	return min(limit, cold)
}

// SetCold sets the bound on the requests to the upstream while it is cold, and the time at
// which it is warm. Requests of the last second count against a bound that begins. It
// returns their number.
func (l *PriorityLimiter) SetCold(bound slowstart.Bound, until time.Time) (recent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.cold.Set(now, bound, until)
	l.dispatch()
	return l.cold.Recent(now)
}

// maxInFlight returns the number of requests that may be in flight. The caller holds l.mu.
func (l *PriorityLimiter) maxInFlight() int {
	if !l.responded {
		return min(l.limit.Allowed(), firstInFlight)
	}
	return l.limit.Allowed()
}

// awaitToken has the waiting requests dispatched when the next token is due. The caller
// holds l.mu.
func (l *PriorityLimiter) awaitToken(now time.Time) {
	wait := l.tokenWait(now, 1)
	if wait == 0 || len(l.waiting) == 0 {
		return
	}
	if l.nextToken != nil {
		l.nextToken.Reset(wait)
		return
	}
	l.nextToken = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// Responded records the response to a request that was sent at the given time. The
// upstream names a limit on the requests per second in it, or names none.
func (l *PriorityLimiter) Responded(sent time.Time, perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responded = true
	l.rate.Observe(l.now(), sent, perSecond, limited)
	l.dispatch()
}

// NewUpstream forgets the rate limit and the pace of the last upstream. The next one may
// name others.
func (l *PriorityLimiter) NewUpstream() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.responded, l.pace = RateLimit{}, false, Pace{}
	l.dispatch()
}

// Load returns the load of the upstream as a share of what it can take. Under a rate limit
// and while the upstream is cold, slots is the number of requests that run at that rate, and
// busy also counts the slots for which the limit allows no further request yet.
func (l *PriorityLimiter) Load() (slots, busy, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paceFactor = l.pace.Factor(l.now())
	slots, busy = l.limit.Allowed(), l.inFlight
	if l.rate.Limited() {
		slots = min(slots, max(1, int(math.Round(l.rate.PerSecond()*l.atPace(l.meanService).Seconds()))))
		busy = max(busy, int(math.Round(float64(slots)*l.rate.UsedShare(l.now()))))
	}
	if now := l.now(); l.cold.Cold(now) {
		slots = min(slots, l.cold.Bound(now).Slots(l.atPace(l.meanService).Seconds()))
		busy = max(busy, int(math.Round(float64(slots)*l.cold.UsedShare(now))))
	}
	return slots, busy, len(l.waiting)
}
