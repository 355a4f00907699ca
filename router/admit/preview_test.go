package admit

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
)

// Guards against an explanation that differs from the decision on the next request, and
// against one that takes a slot, a token or a place in the queue. The upstream is idle, then
// full with an empty queue, then has a full queue.
func TestPreviewAgreesWithAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(2)
		class := WorkClass{Priority: 1}
		if p := l.Preview(class, bounds(NoWait, time.Second, time.Second)); p.Err != nil || p.Queued {
			t.Errorf("idle: %+v, want a slot", p)
		}
		observeService(t, l, 50*time.Millisecond)
		l.Responded(time.Now(), 40, true)
		for range 2 {
			if p := l.Preview(class, bounds(NoWait, time.Second, time.Second)); p.Err != nil || p.Queued {
				t.Errorf("free slot: %+v", p)
			}
			if _, err := l.Acquire(t.Context(), class, bounds(NoWait, time.Second, time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		for waiting := 0; ; waiting++ {
			for _, policy := range []WaitPolicy{NoWait, UntilGoal, UntilDeadline} {
				before := l.rate
				for range 3 {
					l.Preview(class, bounds(policy, 2*time.Second, 3*time.Second))
				}
				if _, inFlight, queued := l.Stats(); inFlight != 2 || queued != waiting || l.rate != before || l.nextArrival != uint64(waiting) {
					t.Fatalf("after previews: %d in flight, %d waiting", inFlight, queued)
				}
			}
			p, refused := l.Preview(class, bounds(UntilGoal, 2*time.Second, 3*time.Second)), make(chan error, 1)
			go func() {
				_, err := l.Acquire(t.Context(), class, bounds(UntilGoal, 2*time.Second, 3*time.Second))
				refused <- err
			}()
			synctest.Wait()
			select {
			case err := <-refused:
				var previewed, got *errkind.Error
				if !errors.As(err, &got) || !errors.As(p.Err, &previewed) || previewed.Detail != got.Detail || previewed.RetryAfter != got.RetryAfter {
					t.Errorf("%d waiting: refused with %v, previewed %v", waiting, err, p.Err)
				}
				if waiting == 0 {
					t.Error("no request waited")
				}
				return
			default:
				if !p.Queued || p.Wait <= 0 {
					t.Errorf("%d waiting: the request waits, previewed %+v", waiting, p)
				}
			}
		}
	})
}
