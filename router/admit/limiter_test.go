package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
)

// Guards against a cold upstream that receives its full load immediately, and
// against a limit above the announced slots.
func TestLimitStartsLowAndStopsAtTheSlots(t *testing.T) {
	l := NewLimit(16)
	if l.Allowed() != 4 {
		t.Fatalf("a cold upstream with 16 slots gets %d requests, want 4", l.Allowed())
	}
	l.Observe(epoch, Completed, 1)
	if l.value != 4 {
		t.Errorf("the limit grew although it was not used up")
	}
	for range 1000 {
		l.Observe(epoch, Completed, l.Allowed())
		if l.Allowed() > 16 {
			t.Fatalf("limit %d above the slots", l.Allowed())
		}
	}
	if l.Allowed() != 16 {
		t.Errorf("a healthy upstream got %d of its 16 slots", l.Allowed())
	}
}

// Guards against one burst of refusals that lowers the limit to the minimum, and
// against a limit from which an upstream cannot recover.
func TestLimitFallsOncePerBurstAndRecovers(t *testing.T) {
	l := NewLimit(16)
	for range 1000 {
		l.Observe(epoch, Completed, 16)
	}
	for range 10 {
		l.Observe(epoch, Shed, 16)
	}
	if l.Allowed() != 11 {
		t.Errorf("limit %d after one burst, want 11", l.Allowed())
	}
	for i := range 100 {
		l.Observe(epoch.Add(time.Duration(i)*decreaseInterval), Shed, 16)
	}
	if l.Allowed() != 1 {
		t.Errorf("limit %d under constant refusals, want 1", l.Allowed())
	}
	for range 1000 {
		l.Observe(epoch, Completed, l.Allowed())
	}
	if l.Allowed() != 16 {
		t.Errorf("the limit recovered to %d only", l.Allowed())
	}
}

func newOneSlotLimiter() *Limiter {
	return NewLimiter(LimiterOptions{Slots: 1})
}

// Guards against a leaked slot when a request is cancelled at the moment at which
// it is granted the slot.
func TestAbandonedRequestReturnsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOneSlotLimiter()
		release, err := l.Acquire(t.Context(), "a", time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := l.Acquire(ctx, "a", time.Time{})
			done <- err
		}()
		synctest.Wait()
		l.mu.Lock()
		cancel()
		l.inFlight--
		l.dispatch(l.now())
		l.mu.Unlock()
		err = <-done
		l.mu.Lock()
		l.inFlight++
		l.mu.Unlock()
		release(Completed)
		allowed, inFlight, waiting := l.Stats()
		if err == nil {
			inFlight--
		}
		if allowed != 1 || inFlight != 0 || waiting != 0 {
			t.Errorf("err %v, allowed %d, in flight %d, waiting %d", err, allowed, inFlight, waiting)
		}
	})
}

// Guards against a request that stays queued after its deadline.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOneSlotLimiter()
		release, err := l.Acquire(t.Context(), "a", time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		defer release(Failed)
		start := time.Now()
		_, err = l.Acquire(t.Context(), "a", start.Add(30*time.Millisecond))
		if !errkind.Is(err, errkind.DeadlinePassed) || time.Since(start) != 30*time.Millisecond {
			t.Errorf("got %v after %v", err, time.Since(start))
		}
		if _, _, waiting := l.Stats(); waiting != 0 {
			t.Errorf("%d entries left in the queue", waiting)
		}
	})
}

// Guards against cancelled requests that still occupy the queue.
func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOneSlotLimiter()
		release, _ := l.Acquire(t.Context(), "a", time.Time{})
		defer release(Failed)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		_, err := l.Acquire(ctx, "a", time.Time{})
		if _, _, waiting := l.Stats(); waiting != 0 || !errkind.Is(err, errkind.CallerLeft) {
			t.Errorf("got %v with %d waiting", err, waiting)
		}
	})
}

// Guards against waiting requests that get no response when another tenant
// displaces them or the upstream becomes unavailable.
func TestDisplacedAndOrphanedRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(LimiterOptions{Slots: 1, Queue: QueueOptions{Limit: 2}})
		release, _ := l.Acquire(t.Context(), "burst", time.Time{})
		defer release(Failed)
		errs := map[string]chan error{"burst": make(chan error, 2), "quiet": make(chan error, 1)}
		acquire := func(tenant string) {
			go func() {
				_, err := l.Acquire(t.Context(), tenant, time.Time{})
				errs[tenant] <- err
			}()
			synctest.Wait()
		}
		acquire("burst")
		acquire("burst")
		acquire("quiet")
		if err := <-errs["burst"]; !errkind.Is(err, errkind.Overloaded) {
			t.Errorf("displaced request got %v", err)
		}
		l.Reset(0)
		for _, tenant := range []string{"burst", "quiet"} {
			if err := <-errs[tenant]; !errkind.Is(err, errkind.UpstreamDown) {
				t.Errorf("%s got %v", tenant, err)
			}
		}
	})
}

// Guards against a released slot that wakes no waiter, and against a double
// release that admits too many requests.
func TestReleaseWakesNextWaiterOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newOneSlotLimiter()
		first, _ := l.Acquire(t.Context(), "a", time.Time{})
		got := make(chan func(Result))
		go func() {
			second, _ := l.Acquire(t.Context(), "a", time.Time{})
			got <- second
		}()
		synctest.Wait()
		first(Completed)
		first(Completed)
		second := <-got
		if _, inFlight, _ := l.Stats(); inFlight != 1 {
			t.Errorf("%d in flight, want 1", inFlight)
		}
		second(Completed)
	})
}

func BenchmarkLimiterAcquire(b *testing.B) {
	l := NewLimiter(LimiterOptions{Slots: 1 << 20})
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := l.Acquire(b.Context(), "a", deadline)
		if err != nil {
			b.Fatal(err)
		}
		release(Completed)
	}
}
