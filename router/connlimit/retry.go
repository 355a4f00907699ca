package connlimit

import "time"

// RefusalRetry is the time after which a client may retry that was refused for lack of
// budget. Most ordinary requests that held the budget have ended by then.
const RefusalRetry = 250 * time.Millisecond

const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// AcceptRetry is the delay after a failed Accept. The zero value starts at 5 ms; it doubles
// up to 1 s.
type AcceptRetry struct {
	delay time.Duration
}

// Next returns the time to wait after one more failure.
func (r *AcceptRetry) Next() time.Duration {
	r.delay = min(max(2*r.delay, minAcceptDelay), maxAcceptDelay)
	return r.delay
}
