package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of Backoff.
const (
	DefaultBase = 10 * time.Millisecond
	DefaultCap  = 2 * time.Second
)

// Backoff computes pauses between attempts: exponential with full jitter, so
// that senders that failed together do not return together.
type Backoff struct {
	// Base is the upper end of the first pause; 0 means DefaultBase.
	Base time.Duration
	// Cap is the upper end of every pause; 0 means DefaultCap.
	Cap time.Duration
	// Rand replaces the global source. A source that is not safe for
	// concurrent use makes the Backoff unsafe as well.
	Rand *rand.Rand
}

// Delay returns the pause before the repeat number attempt, which counts from 0.
func (b Backoff) Delay(attempt int) time.Duration {
	base, limit := b.Base, b.Cap
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultCap
	}
	for range attempt {
		base *= 2
		if base >= limit {
			break
		}
	}
	n := int64(min(base, limit)) + 1
	if b.Rand != nil {
		return time.Duration(b.Rand.Int64N(n))
	}
	return time.Duration(rand.Int64N(n))
}
