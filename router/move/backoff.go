package move

import "time"

// Limits of the pause before a move is tried again.
const (
	backoffBase = 200 * time.Millisecond
	backoffMax  = 10 * time.Second
)

// Backoff returns the pause after the given number of failed attempts, with
// full jitter: random is uniform in [0, 1). The pause is at least a tenth of
// its upper bound, so that a refusal is not answered by an immediate repeat.
func Backoff(failed int, random float64) time.Duration {
	limit := backoffBase
	for i := 1; i < failed && limit < backoffMax; i++ {
		limit *= 2
	}
	limit = min(limit, backoffMax)
	return limit/10 + time.Duration(random*float64(limit-limit/10))
}
