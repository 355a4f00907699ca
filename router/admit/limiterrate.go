package admit

import (
	"math"
	"time"
)

// firstInFlight bounds the requests in flight until the upstream has responded once. Only
// its responses name its rate limit, which a router that has just started does not know.
const firstInFlight = 3

// mayStart reports whether one more request may be sent. The caller holds l.mu.
func (l *PriorityLimiter) mayStart(now time.Time) bool {
	return l.inFlight < l.maxInFlight() && l.rate.Wait(now, 1) == 0
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
	wait := l.rate.Wait(now, 1)
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

// NewUpstream forgets the rate limit of the last upstream. The next one may name another.
func (l *PriorityLimiter) NewUpstream() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.responded = RateLimit{}, false
	l.dispatch()
}

// Load returns the load of the upstream as a share of what it can take. Under a rate limit
// slots is the number of requests that run at that rate, and busy also counts the slots for
// which the limit allows no further request yet.
func (l *PriorityLimiter) Load() (slots, busy, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots, busy = l.limit.Allowed(), l.inFlight
	if l.rate.Limited() {
		slots = min(slots, max(1, int(math.Round(l.rate.PerSecond()*l.meanService.Seconds()))))
		busy = max(busy, int(math.Round(float64(slots)*l.rate.UsedShare(l.now()))))
	}
	return slots, busy, len(l.waiting)
}
