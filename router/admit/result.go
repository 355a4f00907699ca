// Package admit decides which requests may run at the upstream at once and
// which wait: a concurrency limit and a bounded queue that is fair between
// tenants. Limit and Queue are pure; Limiter drives them.
package admit

// Result is what became of an admitted request, as a signal for the limit.
type Result int

// The results.
const (
	// Completed: the upstream answered.
	Completed Result = iota
	// Shed: the upstream refused the work because of its load.
	Shed
	// Failed: no answer, or the request was not sent. It does not change the
	// limit.
	Failed
)
