package admit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
)

func bounds(p WaitPolicy, goal, deadline time.Duration) WaitBounds {
	now := time.Now()
	return WaitBounds{Policy: p, Goal: now.Add(goal), Deadline: now.Add(deadline)}
}

// observeService runs one request that takes the duration, so that the limiter
// knows the service time.
func observeService(t *testing.T, l *PriorityLimiter, took time.Duration) {
	t.Helper()
	release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(took)
	release(Completed)
}

// Guards against requests that wait behind others of a lower priority.
func TestPriorityLimiterServesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan int, 3)
		for _, priority := range []int{2, 1, 0} {
			go func() {
				free, err := l.Acquire(t.Context(), WorkClass{Priority: priority}, bounds(UntilDeadline, time.Second, time.Minute))
				if err != nil {
					t.Error(err)
					return
				}
				order <- priority
				free(Completed)
			}()
			synctest.Wait()
		}
		release(Completed)
		for want := range 3 {
			if got := <-order; got != want {
				t.Errorf("priority %d ran, want %d", got, want)
			}
		}
	})
}

// Guards against a queue under overload in which every request waits until it has
// missed its latency objective.
func TestPriorityLimiterKeepsWaitsWithinTheGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		observeService(t, l, 100*time.Millisecond)
		release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		defer release(Completed)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 2 {
			go func() {
				_, _ = l.Acquire(ctx, WorkClass{Priority: 1}, bounds(UntilGoal, 300*time.Millisecond, time.Minute))
			}()
			synctest.Wait()
		}
		_, err = l.Acquire(ctx, WorkClass{Priority: 1}, bounds(UntilGoal, 300*time.Millisecond, time.Minute))
		if !errkind.Is(err, errkind.Overloaded) {
			t.Errorf("got %v, want an immediate refusal", err)
		}
		cancel()
		synctest.Wait()
		if _, _, waiting := l.Stats(); waiting != 0 {
			t.Errorf("%d requests wait after they were cancelled", waiting)
		}
	})
}

// Guards against a leaked slot when the upstream becomes unavailable and returns
// while a request holds it, and against requests that wait forever for an upstream
// that is unavailable.
func TestPriorityLimiterLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		refused := make(chan error, 1)
		go func() {
			_, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(UntilDeadline, time.Second, time.Second))
			refused <- err
		}()
		synctest.Wait()
		l.SetSlots(0)
		if err := <-refused; !errkind.Is(err, errkind.UpstreamDown) {
			t.Errorf("got %v, want a refusal because the upstream is unavailable", err)
		}
		release(Completed)
		l.SetSlots(1)
		if _, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second)); err != nil {
			t.Errorf("no slot after the upstream's return: %v", err)
		}
	})
}

// awaitAll waits until the admitted requests have ended.
func awaitAll() {
	time.Sleep(time.Hour)
	synctest.Wait()
}

// enqueue starts a request and sends its name to order when it is admitted, or the
// name with a minus sign when it is refused. An admitted request runs for took.
func enqueue(ctx context.Context, l *PriorityLimiter, name string, priority int, b WaitBounds, took time.Duration, order chan<- string) {
	go func() {
		free, err := l.Acquire(ctx, WorkClass{Priority: priority}, b)
		if err != nil {
			order <- "-" + name
			return
		}
		order <- name
		time.Sleep(took)
		free(Completed)
	}()
	synctest.Wait()
}

// wantOrder checks the next names that enqueue sends.
func wantOrder(t *testing.T, order <-chan string, names ...string) {
	t.Helper()
	for _, want := range names {
		if got := <-order; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards against late requests that a burst leaves in the queue and that make all
// later ones late as well.
func TestPriorityLimiterServesLateRequestsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitAll()
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		const took = 100 * time.Millisecond
		observeService(t, l, took)
		order := make(chan string, 8)
		enqueue(t.Context(), l, "first", 1, bounds(NoWait, time.Second, time.Second), took, order)
		enqueue(t.Context(), l, "late", 1, bounds(UntilDeadline, -time.Millisecond, time.Minute), took, order)
		enqueue(t.Context(), l, "in time", 1, bounds(UntilGoal, time.Second, time.Minute), took, order)
		wantOrder(t, order, "first", "in time", "late")
	})
}

// Guards against slots that are granted to requests that cannot end before their
// deadline.
func TestPriorityLimiterRefusesRequestsThatCannotEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitAll()
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		const took = 100 * time.Millisecond
		observeService(t, l, took)
		order := make(chan string, 8)
		enqueue(t.Context(), l, "first", 1, bounds(NoWait, time.Second, time.Second), 4*took, order)
		enqueue(t.Context(), l, "hopeless", 1, bounds(UntilDeadline, 4*took, 4*took+took/2), took, order)
		enqueue(t.Context(), l, "later", 1, bounds(UntilDeadline, time.Second, time.Minute), took, order)
		wantOrder(t, order, "first", "-hopeless", "later")
	})
}

// Guards against urgent requests that are refused because less urgent ones fill the
// queue.
func TestPriorityLimiterDisplacesLessUrgentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitAll()
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		order := make(chan string, 8)
		enqueue(t.Context(), l, "first", 2, bounds(NoWait, time.Second, time.Second), time.Second, order)
		for range maxWaitingPerSlot {
			enqueue(t.Context(), l, "listing", 2, bounds(UntilDeadline, time.Minute, time.Minute), time.Second, order)
		}
		enqueue(t.Context(), l, "listing too many", 2, bounds(UntilDeadline, time.Minute, time.Minute), time.Second, order)
		enqueue(t.Context(), l, "payment", 1, bounds(UntilDeadline, time.Minute, time.Minute), time.Second, order)
		wantOrder(t, order, "first", "-listing too many", "-listing", "payment", "listing")
	})
}

// Guards against short calls that are refused because requests of another priority
// take long. Running requests depend on such calls.
func TestPriorityLimiterEstimatesServiceTimePerClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitAll()
		l := NewPriorityLimiter(nil)
		l.SetSlots(4)
		order := make(chan string, 64)
		for range 8 {
			enqueue(t.Context(), l, "long", 2, bounds(NoWait, time.Second, time.Second), 600*time.Millisecond, order)
			<-order
			time.Sleep(600 * time.Millisecond)
			enqueue(t.Context(), l, "short", 1, bounds(NoWait, time.Second, time.Second), 50*time.Millisecond, order)
			<-order
			time.Sleep(50 * time.Millisecond)
		}
		for range 4 {
			enqueue(t.Context(), l, "long", 2, bounds(NoWait, time.Second, time.Second), 100*time.Millisecond, order)
			<-order
		}
		enqueue(t.Context(), l, "short", 1, bounds(UntilGoal, 250*time.Millisecond, 800*time.Millisecond), 50*time.Millisecond, order)
		if got := <-order; got != "short" {
			t.Errorf("%q: the call was refused although a slot is free in time", got)
		}
	})
}

// Guards against short calls that are delayed or refused because of long requests
// of the same priority. The work of the requests that wait for such a call would be
// wasted.
func TestPriorityLimiterServesNearGoalsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitAll()
		l := NewPriorityLimiter(nil)
		l.SetSlots(2)
		payment, call := WorkClass{Priority: 1}, WorkClass{Priority: 1, Repeatable: true}
		for class, took := range map[WorkClass]time.Duration{payment: 400 * time.Millisecond, call: 80 * time.Millisecond} {
			free, err := l.Acquire(t.Context(), class, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(took)
			free(Completed)
		}
		start := time.Now()
		run := func(class WorkClass, goal, took time.Duration) <-chan time.Duration {
			ended := make(chan time.Duration, 1)
			go func() {
				free, err := l.Acquire(t.Context(), class, bounds(UntilGoal, goal, time.Minute))
				if err != nil {
					t.Errorf("%+v: %v", class, err)
					ended <- 0
					return
				}
				time.Sleep(took)
				free(Completed)
				ended <- time.Since(start)
			}()
			synctest.Wait()
			return ended
		}
		run(payment, 2*time.Second, 100*time.Millisecond)
		run(payment, 2*time.Second, 100*time.Millisecond)
		run(payment, 2*time.Second, 400*time.Millisecond)
		run(payment, 2*time.Second, 400*time.Millisecond)
		if took := <-run(call, 350*time.Millisecond, 80*time.Millisecond); took > 350*time.Millisecond {
			t.Errorf("the call ended after %v", took)
		}
	})
}

// Guards against a limit that falls to one request and stays there, because the
// upstream refuses some requests regardless of its load.
func TestPriorityLimiterKeepsSlotsOfAnUpstreamThatRefusesSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		for range 60 {
			free, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(decreaseInterval)
			free(Shed)
		}
		if allowed, _, _ := l.Stats(); allowed != 18 {
			t.Errorf("%d slots are used of 18 after refusals of single requests, want all", allowed)
		}
		for range 60 {
			var running []func(Result)
			for {
				free, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
				if err != nil {
					break
				}
				running = append(running, free)
			}
			time.Sleep(decreaseInterval)
			for _, free := range running {
				free(Shed)
			}
		}
		if allowed, _, _ := l.Stats(); allowed != 9 {
			t.Errorf("%d slots are used of 18 after refusals under full load, want half", allowed)
		}
	})
}

// Guards against the refusal of short calls when long urgent requests saturate an
// upstream. Requests elsewhere, which have held a slot for long, fail if their short
// calls are refused.
func TestPriorityLimiterServesShortCallsOfRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			long          = 260 * time.Millisecond
			short         = 50 * time.Millisecond
			longInterval  = 24 * time.Millisecond // 1.08 times 10 slots
			shortInterval = 20 * time.Millisecond // 0.25 times 10 slots
			length        = 20 * time.Second
		)
		l := NewPriorityLimiter(nil)
		l.SetSlots(10)
		var mu sync.Mutex
		served, sent := map[WorkClass]int{}, map[WorkClass]int{}
		var wg sync.WaitGroup
		load := func(class WorkClass, interval, took, goal, deadline time.Duration) {
			for at := time.Duration(0); at < length; at += interval {
				wg.Go(func() {
					time.Sleep(at)
					release, err := l.Acquire(t.Context(), class, bounds(UntilGoal, goal, deadline))
					mu.Lock()
					sent[class]++
					if err == nil {
						served[class]++
					}
					mu.Unlock()
					if err == nil {
						time.Sleep(took)
						release(Completed)
					}
				})
			}
		}
		urgent, call := WorkClass{Priority: 0}, WorkClass{Priority: 1, Repeatable: true}
		load(urgent, longInterval, long, 500*time.Millisecond, 1000*time.Millisecond)
		load(call, shortInterval, short, 200*time.Millisecond, 600*time.Millisecond)
		wg.Wait()
		for class, minShare := range map[WorkClass]float64{urgent: 0.6, call: 0.95} {
			if share := float64(served[class]) / float64(sent[class]); share < minShare {
				t.Errorf("%+v: %.2f of %d served, want %.2f", class, share, sent[class], minShare)
			}
		}
	})
}

// Guards against urgent requests that are starved by many short requests of a low
// priority.
func TestShortRequestsDoNotStarveUrgentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(10)
		var mu sync.Mutex
		served, sent := 0, 0
		var wg sync.WaitGroup
		for at := time.Duration(0); at < 10*time.Second; at += 2 * time.Millisecond {
			wg.Go(func() {
				time.Sleep(at)
				release, err := l.Acquire(t.Context(), WorkClass{Priority: 1, Repeatable: true}, bounds(UntilGoal, 200*time.Millisecond, 600*time.Millisecond))
				if err == nil {
					time.Sleep(50 * time.Millisecond)
					release(Completed)
				}
			})
		}
		for at := time.Duration(0); at < 10*time.Second; at += 65 * time.Millisecond { // 4 of 10 slots
			wg.Go(func() {
				time.Sleep(at)
				release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(UntilGoal, 500*time.Millisecond, time.Second))
				mu.Lock()
				defer mu.Unlock()
				sent++
				if err != nil {
					return
				}
				served++
				wg.Go(func() {
					time.Sleep(260 * time.Millisecond)
					release(Completed)
				})
			})
		}
		wg.Wait()
		if share := float64(served) / float64(sent); share < 0.9 {
			t.Errorf("%.2f of %d urgent requests served", share, sent)
		}
	})
}

// BenchmarkPriorityLimiterAcquire measures a request that gets a slot at once.
func BenchmarkPriorityLimiterAcquire(b *testing.B) {
	l := NewPriorityLimiter(nil)
	l.SetSlots(16)
	l.Responded(time.Now(), 0, false)
	benchmarkAcquire(b, l, bounds(NoWait, time.Second, time.Second))
}

func benchmarkAcquire(b *testing.B, l *PriorityLimiter, at WaitBounds) {
	b.ReportAllocs()
	for b.Loop() {
		release, err := l.Acquire(b.Context(), WorkClass{}, at)
		if err != nil {
			b.Fatal(err)
		}
		release(Completed)
	}
}
