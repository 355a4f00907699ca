package admit

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
)

// callLimiter returns a limiter with the slots that knows the service times of calls, 40 ms,
// and of other work, 120 ms.
func callLimiter(slots int) *PriorityLimiter {
	l := NewPriorityLimiter(nil)
	l.SetSlots(slots)
	l.responded = true
	l.observe(callClass, 40*time.Millisecond)
	l.observe(WorkClass{}, 120*time.Millisecond)
	return l
}

// callClass is the class of calls of runs that are less urgent than other work.
var callClass = WorkClass{Priority: 1, Repeatable: true, OfRun: true}

// queue starts requests, and records the names of those that get a slot, in that order.
// Each holds it for the service time of its class.
type queue struct {
	l     *PriorityLimiter
	all   sync.WaitGroup
	mu    sync.Mutex
	order []string
}

func (q *queue) add(t *testing.T, name string, class WorkClass, b WaitBounds) {
	q.all.Go(func() {
		release, err := q.l.Acquire(t.Context(), class, b)
		if err != nil {
			return
		}
		q.mu.Lock()
		q.order = append(q.order, name)
		q.mu.Unlock()
		time.Sleep(map[bool]time.Duration{true: 40 * time.Millisecond, false: 120 * time.Millisecond}[class.OfRun])
		release(Completed)
	})
	synctest.Wait()
}

// count waits for the end of all requests and returns how many with the name got a slot.
func (q *queue) count(name string) int {
	q.all.Wait()
	return strings.Count(strings.Join(q.order, " ")+" ", name+" ")
}

// Guards against calls that wait behind new work of their priority, and against new work
// that gets no slot because calls go on arriving: with slots of its own, with a single slot,
// and under a limit on the rate, where slots are always free.
func TestCallsAndOtherWorkShareTheSlots(t *testing.T) {
	for _, tc := range []struct {
		name  string
		slots int
		rate  float64
	}{{"slots", 6, 0}, {"one slot", 1, 0}, {"rate limit", 6, 20}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := callLimiter(tc.slots)
				if tc.rate > 0 {
					l.Responded(time.Now(), tc.rate, true)
				}
				q := &queue{l: l}
				own := WorkClass{Priority: 1}
				// More of both than can be served in 4 s.
				for i := range 800 {
					q.add(t, "call", callClass, bounds(UntilGoal, time.Second, 2*time.Second))
					if i%4 == 0 {
						q.add(t, "work", own, bounds(UntilDeadline, time.Second, 2*time.Second))
					}
					time.Sleep(5 * time.Millisecond)
				}
				calls, work := q.count("call"), q.count("work")
				t.Logf("%d calls and %d other requests were served", calls, work)
				if 8*work < calls || calls < work {
					t.Errorf("%d calls and %d other requests were served, want most of the former and no less than an eighth of the latter", calls, work)
				}
			})
		})
	}
}

// Guards against a call that waits behind other work, and against more urgent work that
// waits behind calls which have used their share.
func TestCallsAreServedBeforeOtherWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := callLimiter(1)
		q := &queue{l: l}
		far := func() WaitBounds { return bounds(UntilDeadline, 5*time.Second, 10*time.Second) }
		q.add(t, "first", WorkClass{}, far())
		q.add(t, "batch", WorkClass{Priority: 3}, far())
		q.add(t, "same", WorkClass{Priority: 1}, far())
		q.add(t, "urgent", WorkClass{Priority: 0}, far())
		q.add(t, "call", callClass, far())
		q.all.Wait()
		if want := []string{"first", "urgent", "call", "same", "batch"}; !slices.Equal(q.order, want) {
			t.Errorf("served in the order %v, want %v", q.order, want)
		}
	})
}

// Guards against calls that are refused because they miss their goal, while their runs
// have time left, in a burst; and against calls that wait for as long in a lasting
// overload, in which the runs that wait for them only hold slots.
func TestLateCallsWaitInBurstsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := callLimiter(6)
		q := &queue{l: l}
		for range 40 {
			q.add(t, "call", callClass, bounds(UntilGoal, 50*time.Millisecond, 500*time.Millisecond))
		}
		if n := q.count("call"); n < 24 {
			t.Errorf("%d of a burst of 40 calls were served, want what a queue of four per slot allows", n)
		}
		q.order = nil
		begin := time.Now()
		for time.Since(begin) < 3*time.Second {
			q.add(t, "call", callClass, bounds(UntilGoal, 50*time.Millisecond, 500*time.Millisecond))
			time.Sleep(3 * time.Millisecond) // 333 a second, and 150 can be served
		}
		_, _, waiting := l.Stats()
		if waiting > 14 {
			t.Errorf("%d calls wait in a lasting overload, want no more than 6 slots serve in two service times", waiting)
		}
		if n := q.count("call"); n < 400 {
			t.Errorf("%d calls were served in 3 s, want the capacity of 450", n)
		}
	})
}

// Guards against requests that make calls and hold all slots, so that the calls which their
// own calls depend on get none, and against slots that stay reserved when no calls arrive.
func TestRequestsThatMakeCallsLeaveSlotsToCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := callLimiter(4)
		var releases []func(Result)
		start := func(class WorkClass, makesCalls bool) error {
			b := bounds(NoWait, time.Second, time.Second)
			b.MakesCalls = makesCalls
			release, err := l.Acquire(t.Context(), class, b)
			if err == nil {
				releases = append(releases, release)
			}
			return err
		}
		if err := start(callClass, false); err != nil {
			t.Fatal(err)
		}
		releases[0](Completed)
		for range 3 {
			if err := start(WorkClass{}, true); err != nil {
				t.Fatal(err)
			}
		}
		if err := start(WorkClass{}, true); !errkind.Is(err, errkind.Overloaded) {
			t.Errorf("got %v for a fourth request that makes calls, want its slot left to calls", err)
		}
		if err := start(callClass, true); err != nil {
			t.Errorf("a call got no slot: %v", err)
		}
		releases[4](Completed)
		if err := start(WorkClass{}, false); err != nil {
			t.Errorf("a request that makes no calls got no slot: %v", err)
		}
		releases[5](Completed)
		time.Sleep(keptSlotsTime + time.Millisecond)
		if err := start(WorkClass{}, true); err != nil {
			t.Errorf("the slot is still reserved %v after the last call: %v", keptSlotsTime, err)
		}
	})
}

// Guards against a burst of calls that fills the queue, so that all other work is refused.
func TestCallsLeavePlacesInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &queue{l: callLimiter(6)}
		for range 6 {
			q.add(t, "work", WorkClass{Priority: 1}, bounds(UntilGoal, time.Second, time.Second))
		}
		for range 40 {
			q.add(t, "call", callClass, bounds(UntilGoal, time.Second, time.Second))
		}
		for range 6 {
			q.add(t, "work", WorkClass{Priority: 1}, bounds(UntilGoal, time.Second, time.Second))
		}
		if work, calls := q.count("work"), q.count("call"); work != 12 || calls < 16 {
			t.Errorf("%d requests and %d calls were served, want 12 and at least 16", work, calls)
		}
	})
}
