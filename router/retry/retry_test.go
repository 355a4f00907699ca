package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against repeats that multiply the traffic when every request fails.
func TestBudgetLimitsRepeatsToTheShare(t *testing.T) {
	b := NewBudget(0.1)
	const perSecond, seconds = 1000, 60
	repeats := 0
	for i := range perSecond * seconds {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		b.Request(now)
		if b.Take(now) {
			repeats++
		}
	}
	const limit = perSecond*seconds/10 + seconds + int(minBurst)
	if repeats > limit || repeats < perSecond*seconds/10 {
		t.Errorf("%d repeats, want about a tenth of %d and at most %d", repeats, perSecond*seconds, limit)
	}
}

// Guards against a service with little traffic that can never repeat, and
// against a floor that grows without bound while idle.
func TestBudgetFloor(t *testing.T) {
	b := NewBudget(0)
	b.Request(epoch)
	for range int(minBurst) {
		if !b.Take(epoch) {
			t.Fatal("the initial burst is too small")
		}
	}
	if b.Take(epoch) {
		t.Fatal("the budget is not bounded")
	}
	if !b.Take(epoch.Add(time.Second)) {
		t.Error("the floor of one repeat per second is missing")
	}
	taken := 0
	for b.Take(epoch.Add(time.Hour)) {
		taken++
	}
	if taken != int(minBurst) {
		t.Errorf("an idle hour saved %d repeats, want %v", taken, minBurst)
	}
}

// Guards against pauses beyond the cap, overflow, and pauses that are equal for
// all senders.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Cap: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	for attempt := range 200 {
		limit := time.Second
		if attempt < 7 {
			limit = min(limit, 10*time.Millisecond<<attempt)
		}
		low, high := limit, time.Duration(0)
		for range 100 {
			p := b.Delay(attempt)
			low, high = min(low, p), max(high, p)
		}
		if high > limit || low < 0 || high < limit/2 || low > limit/2 {
			t.Fatalf("attempt %d: pauses from %v to %v, limit %v", attempt, low, high, limit)
		}
	}
	if p := (Backoff{}).Delay(1000); p < 0 || p > DefaultCap {
		t.Errorf("default pause %v", p)
	}
}

// Guards against a second run of work that must run once, for every kind of
// failure, and against repeats without time or budget.
func TestDecide(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	forbidden := func() bool { t.Error("a token was taken for an attempt that is not repeated"); return true }
	for _, kind := range errkind.Kinds() {
		answer := errkind.ResponseOf(kind)
		if got := Decide(AtMostOnce, errkind.Unknown, kind, time.Second, forbidden); got != StopUnsafe {
			t.Errorf("%s with unknown outcome: %v", kind, got)
		}
		if answer.Outcome != errkind.NotRun {
			continue
		}
		want, take := Retry, yes
		if !answer.Retryable {
			want, take = StopFinal, forbidden
		}
		for _, class := range []Class{AtMostOnce, Repeatable} {
			if got := Decide(class, errkind.NotRun, kind, time.Second, take); got != want {
				t.Errorf("%s of class %v, not run: %v, want %v", kind, class, got, want)
			}
		}
	}
	if got := Decide(Repeatable, errkind.Unknown, errkind.OutcomeUnknown, time.Second, yes); got != Retry {
		t.Errorf("idempotent work with unknown outcome: %v", got)
	}
	if got := Decide(Repeatable, errkind.NotRun, errkind.Overloaded, time.Millisecond, forbidden); got != StopTime {
		t.Errorf("without time: %v", got)
	}
	if got := Decide(Repeatable, errkind.NotRun, errkind.Overloaded, time.Second, no); got != StopBudget {
		t.Errorf("without budget: %v", got)
	}
}
