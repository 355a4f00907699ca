// Package admit implements admission control for an upstream. It decides which
// requests run at once, which wait and which are refused: an adaptive
// concurrency limit in front of a bounded queue. Limiter shares the slots fairly
// between tenants, PriorityLimiter serves requests by priority and goal. Limit
// and Queue have no clock and start no goroutines.
package admit

// Result is the result of an admitted request, as a signal for the limit.
type Result int

// The results.
const (
	// Completed: the upstream responded.
	Completed Result = iota
	// Shed: the upstream refused the request because of its load.
	Shed
	// Failed: no response, or the request was not sent. The limit does not
	// change.
	Failed
)
