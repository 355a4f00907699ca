package slowstart

import "time"

// Bucket bounds the requests to an upstream while it is cold, and counts those of the last
// second at all times. The zero value has no bound.
type Bucket struct {
	bound Bound
	// until is the time at which the upstream is warm.
	until  time.Time
	tokens float64
	// filledAt is the time up to which tokens were added.
	filledAt time.Time
	recent   recent
}

// Set sets the bound and the time at which it ends. When a bound begins or changes, the
// requests of the last second count against it: the upstream may have been cold already
// when it got them.
func (b *Bucket) Set(now time.Time, bound Bound, until time.Time) {
	if bound == (Bound{}) || !until.After(now) {
		b.bound, b.until = Bound{}, time.Time{}
		return
	}
	if !b.Cold(now) || bound != b.bound {
		b.bound, b.filledAt = bound, now
		// A lower debt would count the requests for more than a second.
		b.tokens = max(bound.Burst-float64(b.recent.count(now)), -bound.PerSecond)
	}
	b.until = until
}

// Cold reports whether the upstream is cold.
func (b *Bucket) Cold(now time.Time) bool {
	return b.bound != (Bound{}) && now.Before(b.until)
}

// Bound returns the bound in force, or none.
func (b *Bucket) Bound(now time.Time) Bound {
	if !b.Cold(now) {
		return Bound{}
	}
	return b.bound
}

// Sent records a request, which takes a token while the upstream is cold.
func (b *Bucket) Sent(now time.Time) {
	b.recent.add(now)
	if b.Cold(now) {
		b.fill(now)
		b.tokens--
	}
}

// Recent returns the number of requests of the last second.
func (b *Bucket) Recent(now time.Time) int {
	return b.recent.count(now)
}

// Wait returns the time until n tokens have come or the bound has ended, 0 if there is no
// bound. n may exceed the burst: it then counts tokens that others take before.
func (b *Bucket) Wait(now time.Time, n int) time.Duration {
	if !b.Cold(now) {
		return 0
	}
	b.fill(now)
	missing := float64(n) - b.tokens
	if missing <= 0 {
		return 0
	}
	left, seconds := b.until.Sub(now), missing/b.bound.PerSecond
	if seconds >= left.Seconds() {
		return left
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// UsedShare returns the part of the burst that is used up, from 0 to 1, and 0 if there is
// no bound.
func (b *Bucket) UsedShare(now time.Time) float64 {
	if !b.Cold(now) {
		return 0
	}
	b.fill(now)
	return 1 - max(b.tokens, 0)/b.bound.Burst
}

func (b *Bucket) fill(now time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	b.tokens = min(b.tokens+b.bound.PerSecond*now.Sub(b.filledAt).Seconds(), b.bound.Burst)
	b.filledAt = now
}
