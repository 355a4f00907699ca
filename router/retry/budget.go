package retry

import (
	"sync"
	"time"
)

const (
	// minRetryRate is the number of retries per second that a service is always
	// allowed, so that a service with little traffic can retry at all.
	minRetryRate = 1.0
	// burstSeconds is the number of seconds of traffic whose retries may
	// accumulate in the bucket.
	burstSeconds = 10.0
	// sharedBurstSeconds is the same for a budget that bounds retries within a
	// window of about 10 s. It is shorter because the accumulated retries add to
	// the share of the window.
	sharedBurstSeconds = 1.0
	// minBurst is the minimum capacity of a bucket.
	minBurst = 10.0
)

// Budget is a token bucket that limits retries to a share of a service's requests.
// It is safe for concurrent use; times are passed in.
type Budget struct {
	mu sync.Mutex
	bucket
}

// bucket is the state of a Budget.
type bucket struct {
	share float64
	// minRate is the number of tokens per second that are added without requests.
	minRate float64
	// minCapacity is the minimum capacity of the bucket in tokens.
	minCapacity float64
	// burstSeconds is the number of seconds of traffic whose tokens may accumulate.
	burstSeconds float64
	tokens       float64
	// rate is the smoothed number of requests per second, from which the capacity
	// is computed.
	rate float64
	// counted is the number of requests since last.
	counted float64
	last    time.Time
}

// NewBudget returns a budget that allows retries for the share (0 to 1) of the
// requests. A share of 0 or less leaves minRetryRate.
func NewBudget(share float64) *Budget {
	return &Budget{bucket: bucket{share: max(share, 0), minRate: minRetryRate, minCapacity: minBurst, burstSeconds: burstSeconds, tokens: minBurst}}
}

// NewSharedBudget returns one host's part of a budget that is divided among hosts.
// minRate is the number of retries per second that are always allowed, and
// minCapacity the minimum capacity of the bucket.
func NewSharedBudget(share, minRate, minCapacity float64) *Budget {
	return &Budget{bucket: bucket{share: max(share, 0), minRate: minRate, minCapacity: minCapacity, burstSeconds: sharedBurstSeconds, tokens: minCapacity}}
}

// SetShare changes the share of requests that may be retried.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = max(share, 0)
}

// Request counts one request of the service that is not a retry.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counted++
	b.tokens = min(b.tokens+b.share, b.capacity())
}

// Take consumes one token and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens, without a change.
func (b *Budget) Tokens(now time.Time) float64 {
	b.mu.Lock()
	state := b.bucket
	b.mu.Unlock()
	state.advance(now)
	return state.tokens
}

// advance updates the rate and adds the tokens of minRate, at most once per second.
func (b *bucket) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	elapsed := now.Sub(b.last).Seconds()
	if elapsed < 1 {
		return
	}
	b.last = now
	b.rate += (b.counted/elapsed - b.rate) / 2
	b.counted = 0
	b.tokens = min(b.tokens+b.minRate*elapsed, b.capacity())
}

// capacity returns the maximum number of tokens.
func (b *bucket) capacity() float64 {
	return max(b.minCapacity, b.share*b.rate*b.burstSeconds)
}
