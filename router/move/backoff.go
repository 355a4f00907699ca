package move

import "time"

// Limits of the delay before a move is retried.
const (
	backoffBase = 200 * time.Millisecond
	backoffMax  = 10 * time.Second
)

// Backoff returns the delay before the next attempt after the given number of
// failed ones. The upper limit doubles with each failure, up to backoffMax.
// random is uniform in [0, 1) and spreads the delay between a tenth of the limit
// and the limit; the minimum prevents an immediate retry after a refusal.
func Backoff(failures int, random float64) time.Duration {
	limit := backoffBase
	for i := 1; i < failures && limit < backoffMax; i++ {
		limit *= 2
	}
	limit = min(limit, backoffMax)
	return limit/10 + time.Duration(random*float64(limit-limit/10))
}
