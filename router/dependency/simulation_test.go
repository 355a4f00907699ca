package dependency_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/dependency"
)

// work is one kind of request. Its calls are made one after another, between equal parts of
// the time that it takes.
type work struct {
	name, service       string
	took, goal, timeout time.Duration
	priority            int
	calls               []work
}

// RouteName implements dependency.Request.
func (w work) RouteName() string { return w.name }

var (
	ownWork    = work{name: "own", service: "b", took: 120 * time.Millisecond, goal: 400 * time.Millisecond, timeout: time.Second}
	caller     = work{name: "run", service: "a", took: 60 * time.Millisecond, goal: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []work{lookup("b"), lookup("b")}}
	callerBack = work{name: "run back", service: "b", took: 60 * time.Millisecond, goal: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []work{lookup("a"), lookup("a")}}
)

func lookup(service string) work {
	return work{name: "lookup at " + service, service: service, took: 40 * time.Millisecond, goal: 150 * time.Millisecond, timeout: 450 * time.Millisecond, priority: 1}
}

var (
	errNotAdmitted = errors.New("not admitted")
	errLost        = errors.New("lost")
	errDown        = errors.New("down")
)

// testHost is the router of one host with its upstream of 6 slots. mu guards the tracker.
type testHost struct {
	limiter *admit.PriorityLimiter
	mu      sync.Mutex
	tracker *dependency.Tracker
}

// simulation has the services a and b, without network. With plain set, calls of runs are not
// recognised.
type simulation struct {
	services map[string][]*testHost
	plain    bool

	mu     sync.Mutex
	random *rand.Rand
	counts map[string]int
	nextID int
	down   bool // no upstream of b responds
}

func newSimulation(plain bool, callingHosts int) *simulation {
	s := &simulation{services: map[string][]*testHost{}, plain: plain, random: rand.New(rand.NewPCG(1, 2)), counts: map[string]int{}}
	for name, hosts := range map[string]int{"a": callingHosts, "b": 3} {
		for range hosts {
			h := &testHost{limiter: admit.NewPriorityLimiter(nil), tracker: dependency.NewTracker()}
			h.limiter.SetSlots(6)
			h.limiter.Responded(time.Now(), 0, false)
			s.services[name] = append(s.services[name], h)
		}
	}
	return s
}

// locked runs f while no other goroutine uses the random numbers, counts and ids.
func (s *simulation) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// chooseHost returns a random host of a service, as the holder of a random key is.
func (s *simulation) chooseHost(service string) (h *testHost, name string) {
	s.locked(func() {
		i := s.random.IntN(len(s.services[service]))
		h, name = s.services[service][i], fmt.Sprint(i)
	})
	return h, name
}

// serve runs a request at a host. c is nil if it is no recognised call.
func (s *simulation) serve(h *testHost, w work, c *dependency.Call, deadline time.Time) error {
	var run *dependency.Run
	down := false
	s.locked(func() {
		s.nextID++
		run = &dependency.Run{ID: fmt.Sprint(s.nextID), Request: w, Priority: w.priority, Deadline: deadline, Goal: time.Now().Add(w.goal)}
		down = s.down && w.service == "b"
	})
	if down {
		return errDown
	}
	bounds := admit.WaitBounds{Policy: admit.UntilGoal, Goal: run.Goal, Deadline: deadline}
	class := admit.WorkClass{Priority: w.priority, Repeatable: len(w.calls) == 0}
	if c != nil {
		class.OfRun, bounds.Goal, bounds.Deadline = true, c.Goal, deadline.Add(-c.NeededBefore(deadline))
		class.Priority = min(class.Priority, c.Priority)
	}
	if !s.plain {
		h.mu.Lock()
		bounds.MakesCalls = h.tracker.MakesCalls(w.name)
		refused := c == nil && h.tracker.Admit(time.Now(), w.name) != nil
		h.mu.Unlock()
		if refused {
			return errNotAdmitted
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	release, err := h.limiter.Acquire(ctx, class, bounds)
	h.mu.Lock()
	if err != nil {
		if c == nil {
			h.tracker.Release(w.name)
		}
		h.mu.Unlock()
		return err
	}
	h.tracker.Start(run)
	h.mu.Unlock()
	err = s.run(h, run.ID, w, deadline)
	h.mu.Lock()
	h.tracker.End(time.Now(), run, true)
	h.mu.Unlock()
	release(admit.Completed)
	return err
}

// run does the work of a request and makes its calls.
func (s *simulation) run(h *testHost, id string, w work, deadline time.Time) error {
	part := w.took / time.Duration(len(w.calls)+1)
	time.Sleep(part)
	for _, call := range w.calls {
		to, name := s.chooseHost(call.service)
		var c *dependency.Call
		if !s.plain {
			h.mu.Lock()
			c = h.tracker.Call(time.Now(), id, call.service)
			h.mu.Unlock()
		}
		end := time.Now().Add(call.timeout)
		if deadline.Before(end) {
			end = deadline
		}
		err := s.serve(to, call, c, end)
		if c != nil {
			outcome := dependency.Served
			if err != nil {
				outcome = dependency.Refused
			}
			h.mu.Lock()
			h.tracker.CallEnded(time.Now(), c, outcome, name, 0)
			h.mu.Unlock()
		}
		if err != nil {
			return errLost
		}
		time.Sleep(part)
	}
	return nil
}

// load offers work at a rate per second to random hosts of its service for a time.
func (s *simulation) load(w work, perSecond float64, during time.Duration) {
	var all sync.WaitGroup
	for end := time.Now().Add(during); time.Now().Before(end); {
		all.Go(func() {
			deadline, goal := time.Now().Add(w.timeout), time.Now().Add(w.goal)
			h, _ := s.chooseHost(w.service)
			outcome := "refused"
			switch err := s.serve(h, w, nil, deadline); {
			case err == nil && time.Now().After(goal):
				outcome = "late"
			case err == nil:
				outcome = "done"
			case err == errNotAdmitted || err == errLost:
				outcome = err.Error()
			}
			s.locked(func() { s.counts[w.name+" "+outcome]++ })
		})
		var pause float64
		s.locked(func() { pause = (0.5 + s.random.Float64()) / perSecond })
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
	all.Wait()
}

// simulate offers loads, as requests per second, for 8 s, and returns how many requests had
// which outcome.
func simulate(t *testing.T, plain bool, callingHosts int, first work, firstRate float64, second work, secondRate float64) map[string]int {
	t.Helper()
	var counts map[string]int
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(plain, callingHosts)
		var all sync.WaitGroup
		all.Go(func() { s.load(first, firstRate, 8*time.Second) })
		all.Go(func() { s.load(second, secondRate, 8*time.Second) })
		all.Wait()
		counts = s.counts
	})
	t.Logf("calls recognised %v: %v", !plain, counts)
	return counts
}

// Guards against runs that are lost because the service that they call serves new work of
// its own first: it is offered twice what it can serve. Recognised calls must let half as many
// runs again complete as without recognition, lose a third of them at most, and leave a third
// of the slots to the service's own work.
func TestCalledServiceAtTwiceItsCapacity(t *testing.T) {
	before := simulate(t, true, 9, caller, 300, ownWork, 100) // 24 and 12 slots of 18
	now := simulate(t, false, 9, caller, 300, ownWork, 100)
	if now["run done"] < before["run done"]*3/2 || now["run lost"] > before["run lost"]/3 {
		t.Errorf("%d runs completed and %d were lost; without recognised calls %d and %d", now["run done"], now["run lost"], before["run done"], before["run lost"])
	}
	if n := now["own done"]; n < 350 { // 6 slots serve 400
		t.Errorf("%d own requests of the called service were served in time", n)
	}
}

// Guards against runs of two services that call each other and hold all slots of both while
// they wait for one another.
func TestServicesThatCallEachOther(t *testing.T) {
	before := simulate(t, true, 3, caller, 300, callerBack, 300)
	now := simulate(t, false, 3, caller, 300, callerBack, 300)
	for _, name := range []string{"run", "run back"} {
		if done, lost := now[name+" done"], now[name+" lost"]; done < before[name+" done"] || done < 400 || lost > done/10 {
			t.Errorf("%d requests %q completed and %d were lost; without recognised calls %d and %d", done, name, lost, before[name+" done"], before[name+" lost"])
		}
	}
}

// Guards against a change for services whose calls and own work fit: none of either may be
// refused or limited.
func TestCallsBelowCapacityAreNotLimited(t *testing.T) {
	now := simulate(t, false, 9, caller, 100, ownWork, 40)
	if done, all := now["run done"]+now["own done"], 100*8+40*8; done < all*95/100 || now["run lost"]+now["run not admitted"] > 0 {
		t.Errorf("%d of about %d requests were served in time", done, all)
	}
}

// Guards against runs that go on being lost while the service that they call is down, and
// against a limit that does not end after its return.
func TestCalledServiceIsLostAndRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(false, 3)
		phase := func(down bool, during time.Duration) map[string]int {
			s.down, s.counts = down, map[string]int{}
			s.load(caller, 60, during)
			t.Logf("down %v: %v", down, s.counts)
			return s.counts
		}
		phase(false, 3*time.Second)
		// Each host loses six runs and those that run by then, and one in half a second
		// afterwards.
		if got := phase(true, 10*time.Second); got["run lost"] > 3*(6+4+20) || got["run not admitted"] < 400 {
			t.Errorf("%d of 600 runs were lost while the service was down, want one of each host in 0.5 s", got["run lost"])
		}
		phase(false, 4*time.Second)
		if got := phase(false, 5*time.Second); got["run not admitted"] > 0 || got["run done"] < 250 {
			t.Errorf("%d of 300 runs completed from 4 s after the return on, %d were not admitted", got["run done"], got["run not admitted"])
		}
	})
}
