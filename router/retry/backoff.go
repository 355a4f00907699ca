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

// Backoff computes the delays between attempts: exponential backoff with full
// jitter, so that clients that failed together do not retry together.
type Backoff struct {
	// Base is the maximum of the first delay; 0 means DefaultBase.
	Base time.Duration
	// Cap is the maximum of every delay; 0 means DefaultCap.
	Cap time.Duration
	// Rand replaces the global random source. The Backoff is safe for concurrent
	// use only if Rand is nil.
	Rand *rand.Rand
}

// Delay returns the delay before the retry with the given number, counted from 0.
func (b Backoff) Delay(retry int) time.Duration {
	base, limit := b.Base, b.Cap
	if base <= 0 {
		base = DefaultBase
	}
	if limit <= 0 {
		limit = DefaultCap
	}
	for range retry {
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
