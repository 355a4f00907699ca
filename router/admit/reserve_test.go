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
		Options:         reservation.Options{Share: share, LateShare: 0.1, Random: rand.New(rand.NewPCG(1, 2)).Float64},
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
// was served.
func (c competitor) run(ctx context.Context) bool {
	start := time.Now()
	deadline := start.Add(c.deadline)
	var refusals reservation.Refusals
	for time.Until(deadline) > c.took {
		now := time.Now()
		earlier, kind := refusals.Take(now, "", 0, deadline)
		release, err := c.limiter.Acquire(ctx, WorkClass{Priority: 1}, WaitBounds{
			Policy: UntilGoal, Goal: start.Add(c.goal), Deadline: deadline, Origin: Origin{Host: c.host, Final: true, Return: kind}})
		if err == nil {
			time.Sleep(c.took)
			release(Completed)
			return time.Now().Before(deadline)
		}
		now = time.Now()
		refusal := err.(*errkind.Error)
		honoured := time.Until(deadline) / 3
		f := reservation.Refusal{Deadline: deadline, RetryAt: now.Add(refusal.RetryAfter), Reserved: refusal.Room == errkind.RoomReserved, ExpectedAt: now.Add(min(refusal.RetryAfter, honoured))}
		if kind == reservation.Early {
			f = earlier
		}
		refusals.Add(now, f)
		if c.ignores {
			time.Sleep(50 * time.Millisecond)
		} else {
			time.Sleep(max(min(f.RetryAt.Sub(now), honoured), 50*time.Millisecond))
		}
	}
	return false
}

// compete sends requests of the competitors at their intervals for the length. It returns
// the share of each that was served.
func compete(t *testing.T, length time.Duration, interval []time.Duration, by []competitor) (share []float64) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := make([]int, len(by)), make([]int, len(by))
	for i, c := range by {
		for at := time.Duration(i) * time.Millisecond; at < length; at += interval[i] {
			sent[i]++
			wg.Go(func() {
				time.Sleep(at)
				ok := c.run(t.Context())
				mu.Lock()
				defer mu.Unlock()
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
	return share
}

// Guards against capacity that is lost because callers return when there is no room, and
// against reservations that are refused: twice the capacity for 3 s.
func TestReturningCallersFindRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, counts := reserving(4, 0.5)
		observeService(t, l, 100*time.Millisecond)
		c := competitor{limiter: l, host: "h1", took: 100 * time.Millisecond, goal: 400 * time.Millisecond, deadline: time.Second}
		share := compete(t, 3*time.Second, []time.Duration{12500 * time.Microsecond}, []competitor{c}) // 80 a second, 40 can be served
		if share[0] < 0.55 {
			t.Errorf("%.3f of the requests were served, the capacity up to the last deadline is 0.66", share[0])
		}
		if counts[RefusedDue] > counts[ReservationKept]/20 {
			t.Errorf("%d of %d returning requests were refused in spite of their reservations", counts[RefusedDue], counts[ReservationKept])
		}
	})
}

// Guards against callers that ignore Retry-After and thereby get more than those that honour
// it.
func TestIgnoringRetryAfterGainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := reserving(4, 0.25)
		observeService(t, l, 100*time.Millisecond)
		honours := competitor{limiter: l, host: "h1", took: 100 * time.Millisecond, goal: 400 * time.Millisecond, deadline: time.Second}
		ignores := honours
		ignores.ignores = true
		share := compete(t, 10*time.Second, []time.Duration{18 * time.Millisecond, 42 * time.Millisecond}, []competitor{honours, ignores}) // twice the capacity, 30% ignore
		if share[1] > share[0]+0.05 {
			t.Errorf("%.3f of the requests were served for callers that ignore Retry-After, %.3f for the others", share[1], share[0])
		}
	})
}

// Guards against a host that sends ten times its share and leaves no places in the queue to
// the others.
func TestHostsShareTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := reserving(4, 0.25)
		observeService(t, l, 100*time.Millisecond)
		greedy := competitor{limiter: l, host: "greedy", took: 100 * time.Millisecond, goal: 400 * time.Millisecond, deadline: time.Second}
		modest := greedy
		modest.host = "modest"
		share := compete(t, 10*time.Second, []time.Duration{5 * time.Millisecond, 50 * time.Millisecond}, []competitor{greedy, modest}) // half of 40 a second is 20
		if share[1] < 0.85 {
			t.Errorf("%.3f of the requests of the modest host were served, %.3f of the greedy one", share[1], share[0])
		}
	})
}

// Guards against reservations that are refused because the upstream has become slower since.
func TestSlowerUpstreamKeepsReservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, counts := reserving(4, 0.25)
		observeService(t, l, 100*time.Millisecond)
		c := competitor{limiter: l, host: "h1", took: 100 * time.Millisecond, goal: 400 * time.Millisecond, deadline: 2 * time.Second}
		slower := c
		slower.took = 150 * time.Millisecond
		var wg sync.WaitGroup
		wg.Go(func() { compete(t, time.Second, []time.Duration{12500 * time.Microsecond}, []competitor{c}) })
		time.Sleep(time.Second)
		compete(t, 2*time.Second, []time.Duration{12500 * time.Microsecond}, []competitor{slower})
		wg.Wait()
		if counts[ReservationKept] == 0 || counts[RefusedDue] > counts[ReservationKept]/10 {
			t.Errorf("%d of %d returning requests were refused in spite of their reservations", counts[RefusedDue], counts[ReservationKept])
		}
	})
}

// Guards against reservations at times at which a rate limit lets nothing through.
func TestReservationsRespectTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, counts := reserving(16, 0.5)
		observeService(t, l, 10*time.Millisecond)
		l.Responded(time.Now(), 2, true) // 2 a second
		refused := 0
		for range 8 {
			_, err := l.Acquire(t.Context(), WorkClass{Priority: 1}, WaitBounds{Goal: time.Now().Add(8 * time.Second), Deadline: time.Now().Add(20 * time.Second), Origin: Origin{Host: "h1", Final: true}})
			if err == nil {
				continue
			}
			refused++
			refusal := err.(*errkind.Error)
			if least := time.Duration(refused) * 500 * time.Millisecond; refusal.RetryAfter < least || refusal.Room == errkind.RoomUnknown {
				t.Errorf("refusal %d: return in %v (%q), the token comes in %v at the earliest", refused, refusal.RetryAfter, refusal.Room, least)
			}
		}
		if refused == 0 || counts[ReservationMade] == 0 {
			t.Errorf("%d refusals, %d reservations", refused, counts[ReservationMade])
		}
	})
}

// Guards against refusals for other reasons than a lack of room that make reservations,
// against reservations at hosts that are not the last one, and against an idle gate that
// treats returning requests otherwise than first attempts.
func TestOnlyFinalRefusalsReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, counts := reserving(1, 0.5)
		observeService(t, l, 100*time.Millisecond)
		at := func(final bool) WaitBounds {
			b := bounds(NoWait, time.Second, 3*time.Second)
			b.Origin = Origin{Host: "h1", Final: final}
			return b
		}
		release := func(Result) {}
		for _, kind := range []reservation.Return{reservation.Due, reservation.Early, reservation.Unreserved, reservation.FirstAttempt} {
			release(Completed) // the gate is idle
			b, err := at(true), error(nil)
			b.Origin.Return = kind
			if release, err = l.Acquire(t.Context(), WorkClass{}, b); err != nil || l.Reservations() != 0 {
				t.Fatalf("idle, %v: %v, %d reservations", kind, err, l.Reservations())
			}
		}
		if _, err := l.Acquire(t.Context(), WorkClass{}, at(false)); err.(*errkind.Error).Room != errkind.RoomUnknown || l.Reservations() != 0 {
			t.Errorf("a host that is not the last one: %v, %d reservations", err, l.Reservations())
		}
		if _, err := l.Acquire(t.Context(), WorkClass{}, at(true)); err.(*errkind.Error).Room != errkind.RoomReserved {
			t.Errorf("the last host: %v without a reservation", err)
		}
		release(Completed)
		l.SetSlots(0)
		if _, err := l.Acquire(t.Context(), WorkClass{}, at(true)); !errkind.Is(err, errkind.UpstreamDown) || l.Reservations() != 1 {
			t.Errorf("without an upstream: %v, %d reservations, want 1", err, l.Reservations())
		}
		if counts[RefusedFirst] != 1 {
			t.Errorf("events %v", counts)
		}
	})
}

// BenchmarkReservingLimiter measures a request that gets a slot at once at a gate that makes
// reservations. BenchmarkPriorityLimiterAcquire measures it without.
func BenchmarkReservingLimiter(b *testing.B) {
	l, _ := reserving(16, 0.25)
	at := bounds(NoWait, time.Second, time.Second)
	at.Origin = Origin{Host: "h1", Final: true}
	benchmarkAcquire(b, l, at)
}
