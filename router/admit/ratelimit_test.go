package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
)

// Guards against limits that are exceeded in any 4 s, and against low ones under which
// nothing gets through.
func TestRateLimitBoundsEveryWindow(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1, 7.5, 100, 1e9} {
		var r RateLimit
		start := time.Unix(0, 0)
		r.Observe(start, start, perSecond, true)
		var taken []time.Time
		for now := start; now.Sub(start) < 20*time.Second; now = now.Add(time.Millisecond) {
			if now.Sub(start) > 10*time.Second && now.Sub(start) < 12*time.Second {
				continue // an idle time, after which a burst follows
			}
			if r.Take(now) {
				taken = append(taken, now)
			}
		}
		allowed := 1.5*perSecond*4 + 5
		first := 0
		for i, at := range taken {
			for at.Sub(taken[first]) >= 4*time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				t.Fatalf("limit %v: %d within 4 s, %v are allowed", perSecond, n, allowed)
			}
		}
		if least := min(perSecond, 1000) * 15; float64(len(taken)) < least || len(taken) == 0 {
			t.Errorf("limit %v: %d in 18 s, want %v at least", perSecond, len(taken), least)
		}
	}
}

// Guards against a limit that outlasts its upstream's need, and against one that ends by a
// response that the upstream had made before it named it.
func TestRateLimitEndsWithLaterResponses(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	var r RateLimit
	r.Observe(at(100), at(50), 10, true)
	r.Observe(at(110), at(90), 0, false)
	if !r.Limited() {
		t.Error("the response to an earlier request ended the limit")
	}
	r.Observe(at(200), at(150), 20, true)
	if r.PerSecond() != 20 {
		t.Errorf("limit %v, want 20", r.PerSecond())
	}
	r.Observe(at(300), at(250), 0, false)
	if r.Limited() {
		t.Error("the limit has not ended")
	}
}

// Guards against a router that has just started and sends a low-limited upstream as many
// requests as it has slots before the first response names the limit.
func TestFewRequestsBeforeTheFirstResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		acquire := func() (n int) {
			for ; ; n++ {
				if _, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second)); err != nil {
					return n
				}
			}
		}
		if n := acquire(); n != firstInFlight {
			t.Errorf("%d requests before the first response, want %d", n, firstInFlight)
		}
		l.Responded(time.Now(), 2, true)
		if n := acquire(); n != 2 {
			t.Errorf("%d further requests under a limit of 2 a second, want 2", n)
		}
		l.NewUpstream()
		l.Responded(time.Now(), 0, false)
		if n := acquire(); n != 18-firstInFlight-2 {
			t.Errorf("%d further requests without a limit, want the remaining slots", n)
		}
	})
}

// Guards against requests that wait for a token although they cannot get one in time, that
// wait in vain, or that are told to come back too early.
func TestWaitingForTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		observeService(t, l, 10*time.Millisecond)
		l.Responded(time.Now(), 2, true)
		for range 2 {
			release, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			release(Completed)
		}
		start := time.Now()
		_, err := l.Acquire(t.Context(), WorkClass{}, bounds(UntilGoal, 100*time.Millisecond, time.Second))
		refusal, ok := err.(*errkind.Error)
		if !ok || refusal.Kind != errkind.Overloaded || time.Since(start) > 0 {
			t.Fatalf("got %v after %v, want a refusal at once", err, time.Since(start))
		}
		if refusal.RetryAfter < 500*time.Millisecond || refusal.RetryAfter > 510*time.Millisecond {
			t.Errorf("retry after %v, want the time of the next token", refusal.RetryAfter)
		}
		release, err := l.Acquire(t.Context(), WorkClass{}, bounds(UntilGoal, time.Second, 2*time.Second))
		if err != nil || time.Since(start) < 500*time.Millisecond || time.Since(start) > 510*time.Millisecond {
			t.Fatalf("got %v after %v, want a slot after 0.5 s", err, time.Since(start))
		}
		release(Completed)
	})
}

// Guards against a limited upstream that looks idle to those that choose among hosts and
// move keys, so that they send it what it must refuse.
func TestLoadUnderRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		observeService(t, l, 100*time.Millisecond)
		if slots, busy, _ := l.Load(); slots != 18 || busy != 0 {
			t.Errorf("%d of %d slots busy, want none of 18", busy, slots)
		}
		l.Responded(time.Now(), 40, true)
		if slots, busy, _ := l.Load(); slots != 4 || busy != 0 {
			t.Errorf("%d of %d slots busy, want none of the 4 that 40 requests a second of 100 ms use", busy, slots)
		}
		for range 40 {
			release, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			release(Failed)
		}
		if slots, busy, _ := l.Load(); slots != 4 || busy != 4 {
			t.Errorf("%d of %d slots busy with no token left, want all", busy, slots)
		}
	})
}
