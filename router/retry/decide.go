package retry

import (
	"time"

	"burdockglade.dev/router/errkind"
)

// Class states whether work may run more than once.
type Class int

// The classes.
const (
	// AtMostOnce work must not run twice.
	AtMostOnce Class = iota
	// Repeatable work is idempotent.
	Repeatable
)

// ClassOf returns the class of an HTTP method. extra are the further methods that the
// service's definition declares idempotent.
func ClassOf(method string, extra []string) Class {
	if Idempotent(method, extra) {
		return Repeatable
	}
	return AtMostOnce
}

// Decision is the result of Decide. The numbers are written to logs.
type Decision int

// The decisions.
const (
	// Retry: retry after a delay.
	Retry Decision = iota
	// StopUnsafe: the work may have run and must not run twice.
	StopUnsafe
	// StopFinal: another attempt cannot succeed.
	StopFinal
	// StopTime: the remaining time is too short.
	StopTime
	// StopBudget: the retry budget is exhausted.
	StopBudget
)

// minRemaining is the remaining time below which an attempt cannot succeed: a hop
// between regions takes 8 ms each way.
const minRemaining = 20 * time.Millisecond

// Decide decides whether a failed attempt is retried. outcome and kind describe the
// failure, remaining is the time from the retry to the deadline. take takes a token
// from the retry budget; it is called only if all other conditions for a retry hold.
func Decide(class Class, outcome errkind.Outcome, kind errkind.Kind, remaining time.Duration, take func() bool) Decision {
	if outcome != errkind.NotRun && class != Repeatable {
		return StopUnsafe
	}
	if !canSucceed(outcome, kind) {
		return StopFinal
	}
	if remaining < minRemaining {
		return StopTime
	}
	if !take() {
		return StopBudget
	}
	return Retry
}

// canSucceed reports whether another attempt can succeed. An unknown outcome may be
// caused by a fault of the network path, which the next attempt may avoid.
func canSucceed(outcome errkind.Outcome, kind errkind.Kind) bool {
	if outcome != errkind.NotRun {
		return kind != errkind.Internal
	}
	return errkind.ResponseOf(kind).Retryable
}
