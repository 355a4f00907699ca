package retry

import (
	"sync"
	"time"
)

const (
	// floorRate is the number of repeats per second that a service is always
	// allowed, so that a service with little traffic can repeat at all.
	floorRate = 1.0
	// burstSeconds is the traffic whose share may be saved up.
	burstSeconds = 10.0
	// sharedBurstSeconds is that traffic for a budget that bounds repeats within
	// a window of about 10 s: what was saved up adds to the window's share.
	sharedBurstSeconds = 1.0
	// minBurst is the smallest capacity of a bucket.
	minBurst = 10.0
)

// Budget is a token bucket that limits repeats to a share of a service's
// requests. It is safe for concurrent use; times are passed in.
type Budget struct {
	mu    sync.Mutex
	share float64
	floor float64
	burst float64
	// saved is the time, in seconds of traffic, whose share may be saved up.
	saved  float64
	tokens float64
	// rate is a smoothed number of requests per second. It bounds the bucket.
	rate    float64
	counted float64
	last    time.Time
}

// NewBudget returns a budget for repeats of the share (0 to 1) of the requests.
// A share of 0 or less leaves only the floor.
func NewBudget(share float64) *Budget {
	return &Budget{share: max(share, 0), floor: floorRate, burst: minBurst, saved: burstSeconds, tokens: minBurst}
}

// NewSharedBudget returns one host's part of a budget that is divided among
// hosts. floor is the number of repeats per second that are always allowed, and
// burst the smallest capacity of the bucket.
func NewSharedBudget(share, floor, burst float64) *Budget {
	return &Budget{share: max(share, 0), floor: floor, burst: burst, saved: sharedBurstSeconds, tokens: burst}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = max(share, 0)
}

// Request counts one request, not a repeat, of the service.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.counted++
	b.tokens = min(b.tokens+b.share, b.capacity())
}

// Take uses one token. It returns false when the budget is spent.
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

// advance adds the floor for the time since the last call and updates the rate
// once per second.
func (b *Budget) advance(now time.Time) {
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
	b.tokens = min(b.tokens+b.floor*elapsed, b.capacity())
}

func (b *Budget) capacity() float64 {
	return max(b.burst, b.share*b.rate*b.saved)
}
