package admit

import "time"

const (
	// rateBurstTime is the time whose unused requests may be made up for at once.
	rateBurstTime = time.Second
	// minRateBurst is the lowest number of requests in a burst.
	minRateBurst = 1.0
	// minRate is the lowest rate, in requests per second, that is enforced. Only responses
	// show that a limit has ended, so some requests must get through.
	minRate = 0.25
)

// RateLimit is a token bucket that bounds the requests per second to an upstream. The
// zero value has no bound. It has no clock; times are passed in and must not decrease.
type RateLimit struct {
	// perSecond is the number of requests per second, 0 if there is no bound.
	perSecond float64
	tokens    float64
	// filledAt is the time up to which tokens were added.
	filledAt time.Time
	// namedAt is the time of the last response that named a limit.
	namedAt time.Time
}

// Limited reports whether there is a bound.
func (r *RateLimit) Limited() bool {
	return r.perSecond > 0
}

// PerSecond returns the bound in requests per second, or 0 if there is none.
func (r *RateLimit) PerSecond() float64 {
	return r.perSecond
}

// Observe records the response to a request that was sent at the given time: the upstream
// names a limit in it, or names none. A limit ends with a response that names none to a
// request that was sent after the last response that named one; an earlier request may
// have been responded to before the limit began.
func (r *RateLimit) Observe(now, sent time.Time, perSecond float64, named bool) {
	switch {
	case named:
		r.namedAt = now
		r.set(now, max(perSecond, minRate))
	case r.Limited() && sent.After(r.namedAt):
		*r = RateLimit{}
	}
}

func (r *RateLimit) set(now time.Time, perSecond float64) {
	begins := !r.Limited()
	r.fill(now)
	r.perSecond = perSecond
	if begins {
		r.tokens, r.filledAt = r.burst(), now
	}
	r.tokens = min(r.tokens, r.burst())
}

// Take takes a token. It reports false if there is none.
func (r *RateLimit) Take(now time.Time) bool {
	if r.Wait(now, 1) > 0 {
		return false
	}
	if r.Limited() {
		r.tokens--
	}
	return true
}

// Wait returns the time until n tokens have come, 0 if there is no bound. n may exceed the
// burst: it then counts tokens that others take before.
func (r *RateLimit) Wait(now time.Time, n int) time.Duration {
	if !r.Limited() {
		return 0
	}
	r.fill(now)
	missing := float64(n) - r.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/r.perSecond*float64(time.Second)) + 1
}

// UsedShare returns the part of the burst that is used up, from 0 to 1.
func (r *RateLimit) UsedShare(now time.Time) float64 {
	if !r.Limited() {
		return 0
	}
	r.fill(now)
	return 1 - max(r.tokens, 0)/r.burst()
}

func (r *RateLimit) fill(now time.Time) {
	if !r.Limited() || !now.After(r.filledAt) {
		return
	}
	r.tokens = min(r.tokens+r.perSecond*now.Sub(r.filledAt).Seconds(), r.burst())
	r.filledAt = now
}

func (r *RateLimit) burst() float64 {
	return max(r.perSecond*rateBurstTime.Seconds(), minRateBurst)
}
