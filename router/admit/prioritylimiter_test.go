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

// warm runs one request of the length, so that the limiter knows how long they
// take.
func warm(t *testing.T, l *PriorityLimiter, took time.Duration) {
	t.Helper()
	release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(took)
	release(Completed)
}

// Guards against urgent requests that wait behind less urgent ones.
func TestPriorityLimiterServesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		release, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		order := make(chan int, 3)
		for _, rank := range []int{2, 1, 0} {
			go func() {
				free, err := l.Acquire(t.Context(), WorkClass{Priority: rank}, bounds(UntilDeadline, time.Second, time.Minute))
				if err != nil {
					t.Error(err)
					return
				}
				order <- rank
				free(Completed)
			}()
			synctest.Wait()
		}
		release(Completed)
		for want := range 3 {
			if got := <-order; got != want {
				t.Errorf("rank %d ran, want %d", got, want)
			}
		}
	})
}

// Pattern: overload. Guards against queues in which every request waits until it
// has missed its objective.
func TestPriorityLimiterKeepsWaitsWithinTheGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		warm(t, l, 100*time.Millisecond)
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
			t.Errorf("got %v, want a refusal at once", err)
		}
		cancel()
		synctest.Wait()
		if _, _, waiting := l.Stats(); waiting != 0 {
			t.Errorf("%d requests wait after their callers left", waiting)
		}
	})
}

// Guards against a slot that is lost when a request leaves at the moment at
// which it is given the slot, and against requests that wait for ever when the
// upstream is gone.
func TestPriorityLimiterLosesNoSlot(t *testing.T) {
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
			t.Errorf("got %v, want a refusal because the upstream is gone", err)
		}
		release(Completed)
		l.SetSlots(1)
		if _, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second)); err != nil {
			t.Errorf("no slot after the upstream's return: %v", err)
		}
	})
}

// settle waits until the admitted requests have ended.
func settle() {
	time.Sleep(time.Hour)
	synctest.Wait()
}

// enqueue lets a request wait and sends its name when it is admitted, or the
// name with a minus when it is refused. An admitted request runs for took.
func enqueue(ctx context.Context, l *PriorityLimiter, name string, rank int, b WaitBounds, took time.Duration, order chan<- string) {
	go func() {
		free, err := l.Acquire(ctx, WorkClass{Priority: rank}, b)
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

// wantOrder checks the names that enqueue sends.
func wantOrder(t *testing.T, order <-chan string, names ...string) {
	t.Helper()
	for _, want := range names {
		if got := <-order; got != want {
			t.Errorf("%q ended, want %q", got, want)
		}
	}
}

// Pattern: a burst that leaves late requests in the queue. Guards against a
// queue in which late requests make all later ones late as well.
func TestPriorityLimiterServesLateRequestsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		const took = 100 * time.Millisecond
		warm(t, l, took)
		order := make(chan string, 8)
		enqueue(t.Context(), l, "first", 1, bounds(NoWait, time.Second, time.Second), took, order)
		enqueue(t.Context(), l, "late", 1, bounds(UntilDeadline, -time.Millisecond, time.Minute), took, order)
		enqueue(t.Context(), l, "in time", 1, bounds(UntilGoal, time.Second, time.Minute), took, order)
		wantOrder(t, order, "first", "in time", "late")
	})
}

// Guards against slots that are given to requests whose answer nobody would
// wait for.
func TestPriorityLimiterRefusesWhatCannotEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		const took = 100 * time.Millisecond
		warm(t, l, took)
		order := make(chan string, 8)
		enqueue(t.Context(), l, "first", 1, bounds(NoWait, time.Second, time.Second), 4*took, order)
		enqueue(t.Context(), l, "hopeless", 1, bounds(UntilDeadline, 4*took, 4*took+took/2), took, order)
		enqueue(t.Context(), l, "later", 1, bounds(UntilDeadline, time.Second, time.Minute), took, order)
		wantOrder(t, order, "first", "-hopeless", "later")
	})
}

// Pattern: a queue full of less urgent work. Guards against urgent requests that
// are refused because others wait.
func TestPriorityLimiterDisplacesLessUrgentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		l := NewPriorityLimiter(nil)
		l.SetSlots(1)
		order := make(chan string, 8)
		enqueue(t.Context(), l, "first", 2, bounds(NoWait, time.Second, time.Second), time.Second, order)
		for range waitingPerSlot {
			enqueue(t.Context(), l, "listing", 2, bounds(UntilDeadline, time.Minute, time.Minute), time.Second, order)
		}
		enqueue(t.Context(), l, "listing too many", 2, bounds(UntilDeadline, time.Minute, time.Minute), time.Second, order)
		enqueue(t.Context(), l, "payment", 1, bounds(UntilDeadline, time.Minute, time.Minute), time.Second, order)
		wantOrder(t, order, "first", "-listing too many", "-listing", "payment", "listing")
	})
}

// Pattern: short calls that running requests depend on, beside long requests.
// Guards against refusals of short calls because other ranks take long.
func TestPriorityLimiterExpectsTheTimesOfEachRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
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

// Pattern: calls that running requests wait for, beside payments of the same
// rank. Guards against calls that come too late behind long requests, or are
// refused on account of these: the work of the waiting requests is lost then.
func TestPriorityLimiterServesNearGoalsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		l := NewPriorityLimiter(nil)
		l.SetSlots(2)
		payment, call := WorkClass{Priority: 1}, WorkClass{Priority: 1, Repeatable: true}
		for work, took := range map[WorkClass]time.Duration{payment: 400 * time.Millisecond, call: 80 * time.Millisecond} {
			free, err := l.Acquire(t.Context(), work, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(took)
			free(Completed)
		}
		start := time.Now()
		run := func(work WorkClass, goal, took time.Duration) <-chan time.Duration {
			ended := make(chan time.Duration, 1)
			go func() {
				free, err := l.Acquire(t.Context(), work, bounds(UntilGoal, goal, time.Minute))
				if err != nil {
					t.Errorf("%+v: %v", work, err)
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

// Pattern: an upstream that refuses a part of its requests whatever its load.
// Guards against a limit that falls to one request and stays there.
func TestPriorityLimiterKeepsSlotsOfAnUpstreamThatRefusesSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(18)
		for range 60 {
			free, err := l.Acquire(t.Context(), WorkClass{Priority: 0}, bounds(NoWait, time.Second, time.Second))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(decreasePause)
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
			time.Sleep(decreasePause)
			for _, free := range running {
				free(Shed)
			}
		}
		if allowed, _, _ := l.Stats(); allowed != 9 {
			t.Errorf("%d slots are used of 18 after refusals under full load, want half", allowed)
		}
	})
}

// Pattern: urgent long requests saturate an upstream that also answers the short
// calls of requests that run elsewhere. Guards against runs that fail, after they
// have used a slot for long, because their short calls are refused.
func TestPriorityLimiterServesShortCallsOfRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			long      = 260 * time.Millisecond
			short     = 50 * time.Millisecond
			longEach  = 24 * time.Millisecond // 1.08 times 10 slots
			shortEach = 20 * time.Millisecond // 0.25 times 10 slots
			length    = 20 * time.Second
		)
		l := NewPriorityLimiter(nil)
		l.SetSlots(10)
		var mu sync.Mutex
		served, asked := map[WorkClass]int{}, map[WorkClass]int{}
		var wg sync.WaitGroup
		play := func(work WorkClass, each, takes, goal, deadline time.Duration) {
			for at := time.Duration(0); at < length; at += each {
				wg.Go(func() {
					time.Sleep(at)
					release, err := l.Acquire(t.Context(), work, bounds(UntilGoal, goal, deadline))
					mu.Lock()
					asked[work]++
					if err == nil {
						served[work]++
					}
					mu.Unlock()
					if err == nil {
						time.Sleep(takes)
						release(Completed)
					}
				})
			}
		}
		urgent, call := WorkClass{Priority: 0}, WorkClass{Priority: 1, Repeatable: true}
		play(urgent, longEach, long, 500*time.Millisecond, 1000*time.Millisecond)
		play(call, shortEach, short, 200*time.Millisecond, 600*time.Millisecond)
		wg.Wait()
		for work, least := range map[WorkClass]float64{urgent: 0.6, call: 0.95} {
			if share := float64(served[work]) / float64(asked[work]); share < least {
				t.Errorf("%+v: %.2f of %d served, want %.2f", work, share, asked[work], least)
			}
		}
	})
}

// Pattern: a storm of short requests of a low rank. Guards against urgent work that
// is starved by them.
func TestShortRequestsDoNotStarveUrgentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewPriorityLimiter(nil)
		l.SetSlots(10)
		var mu sync.Mutex
		served, asked := 0, 0
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
				asked++
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
		if share := float64(served) / float64(asked); share < 0.9 {
			t.Errorf("%.2f of %d urgent requests served", share, asked)
		}
	})
}
