package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against retries that multiply the traffic when every request fails.
func TestBudgetLimitsRetriesToTheShare(t *testing.T) {
	b := NewBudget(0.1)
	const perSecond, seconds = 1000, 60
	retries := 0
	for i := range perSecond * seconds {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		b.Request(now)
		if b.Take(now) {
			retries++
		}
	}
	const limit = perSecond*seconds/10 + seconds + int(minBurst)
	if retries > limit || retries < perSecond*seconds/10 {
		t.Errorf("%d retries, want about a tenth of %d and at most %d", retries, perSecond*seconds, limit)
	}
}

// Guards against a service with little traffic that can never retry, and against
// tokens that accumulate without bound while it is idle.
func TestBudgetMinimumRate(t *testing.T) {
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
		t.Error("the minimum of one retry per second is missing")
	}
	taken := 0
	for b.Take(epoch.Add(time.Hour)) {
		taken++
	}
	if taken != int(minBurst) {
		t.Errorf("an idle hour accumulated %d retries, want %v", taken, minBurst)
	}
}

// Guards against delays above the cap, overflow, and delays that are equal for all
// clients.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Cap: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	for attempt := range 200 {
		limit := time.Second
		if attempt < 7 {
			limit = min(limit, 10*time.Millisecond<<attempt)
		}
		low, high := limit, time.Duration(0)
		for range 100 {
			d := b.Delay(attempt)
			low, high = min(low, d), max(high, d)
		}
		if high > limit || low < 0 || high < limit/2 || low > limit/2 {
			t.Fatalf("attempt %d: delays from %v to %v, limit %v", attempt, low, high, limit)
		}
	}
	if d := (Backoff{}).Delay(1000); d < 0 || d > DefaultCap {
		t.Errorf("default delay %v", d)
	}
}

// Guards against retries of work that must not run twice, for every error kind, and
// against retries without remaining time or budget.
func TestDecide(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	forbidden := func() bool { t.Error("a token was taken for an attempt that is not retried"); return true }
	for _, kind := range errkind.Kinds() {
		response := errkind.ResponseOf(kind)
		if got := Decide(AtMostOnce, errkind.Unknown, kind, time.Second, forbidden); got != StopUnsafe {
			t.Errorf("%s with unknown outcome: %v", kind, got)
		}
		if response.Outcome != errkind.NotRun {
			continue
		}
		want, take := Retry, yes
		if !response.Retryable {
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

// Guards against an explanation that shows another number of retries than the budget
// allows, or that uses the budget up.
func TestTokensAgreeWithTake(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewSharedBudget(0.1, 2, 3)
	b.Request(now)
	now = now.Add(3 * time.Second)
	want := b.Tokens(now)
	if again := b.Tokens(now); again != want {
		t.Errorf("%v tokens, then %v", want, again)
	}
	taken := 0
	for b.Take(now) {
		taken++
	}
	if taken != int(want) || taken == 0 {
		t.Errorf("%d retries were allowed, %v tokens shown", taken, want)
	}
}
