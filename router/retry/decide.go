package retry

import (
	"time"

	"burdockglade.dev/router/errkind"
)

// Class says what a repeat of the work can do.
type Class int

// The classes.
const (
	// AtMostOnce work must not run twice.
	AtMostOnce Class = iota
	// Repeatable work is idempotent.
	Repeatable
)

// ClassOf returns the class of an HTTP method. The extra methods come from the
// service's definition.
func ClassOf(method string, extra []string) Class {
	if Idempotent(method, extra) {
		return Repeatable
	}
	return AtMostOnce
}

// Decision says whether to repeat an attempt.
type Decision int

// The decisions.
const (
	// Retry: repeat the attempt after a pause.
	Retry Decision = iota
	// StopUnsafe: the work may have run and must not run twice.
	StopUnsafe
	// StopFinal: another attempt cannot succeed.
	StopFinal
	// StopTime: the remaining time is too short.
	StopTime
	// StopBudget: the budget is spent.
	StopBudget
)

// minRemaining is the time below which an attempt has no chance: a hop between
// regions takes 8 ms each way.
const minRemaining = 20 * time.Millisecond

// Decide says whether a failed attempt may be repeated. kind and outcome are
// those of the failure, remaining is the time to the deadline after the pause
// of the repeat. take is called last, and only when the attempt may be repeated
// otherwise; it takes a token from the budget.
func Decide(class Class, outcome errkind.Outcome, kind errkind.Kind, remaining time.Duration, take func() bool) Decision {
	if outcome != errkind.NotRun && class != Repeatable {
		return StopUnsafe
	}
	if !mayHelp(outcome, kind) {
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

// mayHelp reports whether another attempt can succeed. Every unknown outcome
// may be a fault of the path that the next attempt does not meet.
func mayHelp(outcome errkind.Outcome, kind errkind.Kind) bool {
	if outcome != errkind.NotRun {
		return kind != errkind.Internal
	}
	return errkind.ResponseOf(kind).Retryable
}
