package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/slowstart"
)

// startWithin sends requests that do not wait, one each millisecond, and returns the times
// of those that were admitted.
func startWithin(t *testing.T, l *PriorityLimiter, d time.Duration) (admitted []time.Time) {
	t.Helper()
	for range d / time.Millisecond {
		release, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second))
		if err == nil {
			admitted = append(admitted, time.Now())
			release(Completed)
		}
		time.Sleep(time.Millisecond)
	}
	return admitted
}

// Guards against an upstream that becomes cold again under load and gets more requests
// in any second than it tolerates, or none at all, and against a bound that stays.
func TestColdUpstreamUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		if n := len(startWithin(t, l, time.Second)); n != 1000 {
			t.Fatalf("%d of 1000 requests were admitted without a bound", n)
		}
		const allowed = 10*1.5 + 8
		if recent := l.SetCold(slowstart.NewBound(10, 1.5, 8), time.Now().Add(10*time.Second)); recent < 1000 {
			t.Errorf("%d requests in the last second, want 1000", recent)
		}
		admitted := startWithin(t, l, 10*time.Second)
		first := 0
		for i, at := range admitted {
			for at.Sub(admitted[first]) > time.Second {
				first++
			}
			if n := i - first + 1; n > allowed {
				t.Fatalf("%d requests within a second, %v are allowed", n, allowed)
			}
		}
		if len(admitted) < 85 {
			t.Errorf("%d requests in 10 s, want 10 in each second but the first", len(admitted))
		}
		if n := len(startWithin(t, l, time.Second)); n != 1000 {
			t.Errorf("%d of 1000 requests were admitted after the upstream was warm", n)
		}
	})
}

// Guards against requests that wait in vain for a cold upstream, that are told a wrong time,
// and against load reports by which others send a cold upstream what it must refuse.
func TestWaitingForColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		observeService(t, l, 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		l.SetCold(slowstart.Bound{PerSecond: 20, Burst: 5}, time.Now().Add(time.Minute))
		if slots, busy, _ := l.Load(); slots != 2 || busy != 0 {
			t.Errorf("%d of %d slots busy, want none of the 2 that 20 requests a second of 100 ms use", busy, slots)
		}
		for range 5 {
			release, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			release(Failed)
		}
		if slots, busy, _ := l.Load(); slots != 2 || busy != 2 {
			t.Errorf("%d of %d slots busy with no token left, want all", busy, slots)
		}
		start := time.Now()
		_, err := l.Acquire(t.Context(), WorkClass{}, bounds(NoWait, time.Second, time.Second))
		refusal, ok := err.(*errkind.Error)
		if !ok || refusal.RetryAfter < 50*time.Millisecond || refusal.RetryAfter > 60*time.Millisecond {
			t.Fatalf("got %v, want a refusal with the time of the next token", err)
		}
		release, err := l.Acquire(t.Context(), WorkClass{}, bounds(UntilGoal, time.Second, 2*time.Second))
		if took := time.Since(start); err != nil || took < 50*time.Millisecond || took > 60*time.Millisecond {
			t.Fatalf("got %v after %v, want a slot after 50 ms", err, took)
		}
		release(Completed)
	})
}

// Guards against waiting requests that are left without a slot when the upstream says that
// it is warm before the time that it had named.
func TestWarmUpstreamServesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(4)
		observeService(t, l, 10*time.Millisecond)
		l.SetCold(slowstart.Bound{PerSecond: 0.5, Burst: 1}, time.Now().Add(time.Minute))
		start, done := time.Now(), make(chan error)
		go func() {
			release, err := l.Acquire(t.Context(), WorkClass{}, bounds(UntilDeadline, 20*time.Second, 20*time.Second))
			if err == nil {
				release(Completed)
			}
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		l.SetCold(slowstart.Bound{}, time.Time{})
		if err := <-done; err != nil || time.Since(start) > 110*time.Millisecond {
			t.Errorf("got %v after %v, want a slot at once", err, time.Since(start))
		}
	})
}

// Guards against any difference in what is admitted, refused and reported for upstreams of
// services without a bound: one limiter is told of no bound again and again, the other never.
func TestNoBoundChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		limiters := []*PriorityLimiter{NewPriorityLimiter(nil), NewPriorityLimiter(nil)}
		var held [][2]func(Result)
		for i := range 5000 {
			var releases [2]func(Result)
			var texts [2]string
			take, goal := random.IntN(2) == 0, time.Duration(random.IntN(300))*time.Millisecond
			for j, l := range limiters {
				if j == 0 {
					l.SetCold(slowstart.NewBound(0, 1.5, 8), time.Now().Add(time.Hour))
				}
				l.SetSlots(8)
				if i%100 == 50 {
					l.Responded(time.Now(), 40, i%300 == 50)
				}
				if !take && len(held) > 0 {
					held[0][j](Completed)
					continue
				}
				release, err := l.Acquire(t.Context(), WorkClass{Priority: i % 3}, bounds(NoWait, goal, time.Second))
				releases[j], texts[j] = release, fmt.Sprint(err)
			}
			if texts[0] != texts[1] {
				t.Fatalf("request %d: %s and %s", i, texts[0], texts[1])
			}
			switch {
			case releases[0] != nil:
				held = append(held, releases)
			case !take && len(held) > 0:
				held = held[1:]
			}
			a, b, c := limiters[0].Load()
			if x, y, z := limiters[1].Load(); a != x || b != y || c != z {
				t.Fatalf("request %d: loads %d %d %d and %d %d %d", i, a, b, c, x, y, z)
			}
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
	})
}
