package admit

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/reservation"
)

// reserving returns a limiter that makes reservations, and the counts of their events.
func reserving(slots int, share float64) (*PriorityLimiter, map[ReservationEvent]int) {
	counts := map[ReservationEvent]int{}
	l := NewPriorityLimiter(nil)
	l.Reserve(ReservationOptions{
		Options:         reservation.Options{Share: share, Random: rand.New(rand.NewPCG(1, 2)).Float64},
		HonouredDivisor: 3,
		Count:           func(e ReservationEvent, n int) { counts[e] += n },
	})
	l.SetSlots(slots)
	l.Responded(time.Now(), 0, false)
	return l, counts
}

// competitor is a caller whose requests are sent again after refusals.
type competitor struct {
	limiter *PriorityLimiter
	host    string
	// took is the service time, goal and deadline those of the first attempt.
	took, goal, deadline time.Duration
	// ignores is true if the caller retries every 50 ms whatever it was told.
	ignores bool
}

// run sends one request until it is served or its deadline has passed. It reports whether it
// was served, and the number of attempts.
func (c competitor) run(ctx context.Context) (served bool, attempts int) {
	start := time.Now()
	deadline := start.Add(c.deadline)
	var returns reservation.Returns
	for time.Until(deadline) > c.took {
		attempts++
		now := time.Now()
		earlier, kind := returns.Match(now, "", 0, deadline)
		release, err := c.limiter.Acquire(ctx, WorkClass{Priority: 1}, WaitBounds{
			Policy: UntilGoal, Goal: start.Add(c.goal), Deadline: deadline, Origin: Origin{Host: c.host, Final: true, Return: kind}})
		if err == nil {
			time.Sleep(c.took)
			release(Completed)
			return time.Now().Before(deadline), attempts
		}
		now = time.Now()
		refusal := err.(*errkind.Error)
		honoured := time.Until(deadline) / 3
		f := reservation.Refusal{Deadline: deadline, At: now.Add(refusal.RetryAfter), Reserved: refusal.Room == errkind.RoomReserved, Back: now.Add(min(refusal.RetryAfter, honoured))}
		if kind == reservation.Early {
			f = earlier
		}
		returns.Refused(now, f)
		if c.ignores {
			time.Sleep(50 * time.Millisecond)
		} else {
			time.Sleep(max(min(f.At.Sub(now), honoured), 50*time.Millisecond))
		}
	}
	return false, attempts
}

// compete sends requests of the competitors at their intervals for the length. It returns
// the share of each that was served.
func compete(t *testing.T, length time.Duration, interval []time.Duration, by []competitor) (share []float64, attempts int) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := make([]int, len(by)), make([]int, len(by))
	for i, c := range by {
		for at := time.Duration(i) * time.Millisecond; at < length; at += interval[i] {
			sent[i]++
			wg.Go(func() {
				time.Sleep(at)
				ok, n := c.run(t.Context())
				mu.Lock()
				defer mu.Unlock()
				attempts += n
				if ok {
					served[i]++
				}
			})
		}
	}
	wg.Wait()
	share = make([]float64, len(by))
	for i := range by {
		share[i] = float64(served[i]) / float64(sent[i])
	}
	return share, attempts
}

// Guards against capacity that is lost because callers return when there is no room, and
// against reservations that are refused: twice the capacity for 3 s.
func TestReturningCallersFindRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, counts := reserving(4, 0.5)
		observeService(t, l, 100*time.Millisecond)
		c := competitor{limiter: l, host: "h1", took: 100 * time.Millisecond, goal: 400 * time.Millisecond, deadline: time.Second}
		share, attempts := compete(t, 3*time.Second, []time.Duration{12500 * time.Microsecond}, []competitor{c}) // 80 a second, 40 can be served
		t.Logf("%.3f served in %d attempts; %v", share[0], attempts, counts)
		if share[0] < 0.5 {
			t.Errorf("%.3f of the requests were served, the capacity is above half", share[0])
		}
		if counts[RefusedDue] > counts[ReservationKept]/20 {
			t.Errorf("%d of %d returning requests were refused in spite of their reservations", counts[RefusedDue], counts[ReservationKept])
		}
	})
}
