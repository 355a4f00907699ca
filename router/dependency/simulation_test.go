package dependency_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/dependency"
	"burdockglade.dev/router/errkind"
)

// named is a request of the route with the name.
type named string

func (n named) RouteName() string { return string(n) }

const hostsOfService = 3

// testHost is the router of one host with its upstream of 6 slots.
type testHost struct {
	limiter *admit.PriorityLimiter
	mu      sync.Mutex
	tracker *dependency.Tracker
	down    atomic.Bool
}

// simulation has services of three hosts each, without network. With plain set, calls of
// runs are not recognised, as before there was this package.
type simulation struct {
	services map[string][]*testHost
	plain    bool
	random   *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	nextID int
}

func newSimulation(plain bool, callingHosts int) *simulation {
	s := &simulation{services: map[string][]*testHost{}, plain: plain, random: rand.New(rand.NewPCG(1, 2)), counts: map[string]int{}}
	for name, hosts := range map[string]int{"a": callingHosts, "b": hostsOfService} {
		for range hosts {
			h := &testHost{limiter: admit.NewPriorityLimiter(nil), tracker: dependency.NewTracker()}
			h.limiter.SetSlots(6)
			h.limiter.Responded(time.Now(), 0, false)
			s.services[name] = append(s.services[name], h)
		}
	}
	return s
}

func (s *simulation) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

func (s *simulation) rand(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// work is one kind of request.
type work struct {
	name, service string
	took          time.Duration
	goal          time.Duration
	timeout       time.Duration
	priority      int
	// calls are made one after another, each after a part of took.
	calls []work
}

// serve runs a request at a host, and reports whether it was served. parent is the id of the
// run whose call it is, at the host from.
func (s *simulation) serve(h *testHost, w work, c *dependency.Call, deadline time.Time) error {
	if h.down.Load() {
		return errkind.New(errkind.UpstreamDown, "down")
	}
	now := time.Now()
	bounds := admit.WaitBounds{Policy: admit.UntilGoal, Goal: now.Add(w.goal), Deadline: deadline}
	class := admit.WorkClass{Priority: w.priority, Repeatable: len(w.calls) == 0}
	if c != nil {
		class.OfRun, bounds.Goal, bounds.Deadline = true, c.Goal, deadline.Add(-c.Needs)
		class.Priority = min(class.Priority, c.Priority)
	}
	if !s.plain {
		h.mu.Lock()
		bounds.MakesCalls = h.tracker.MakesCalls(w.name)
		var refused *dependency.Refusal
		if c == nil {
			refused = h.tracker.Admit(now, w.name)
		}
		h.mu.Unlock()
		if refused != nil {
			return errkind.New(errkind.CallsRefused, "not admitted")
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	release, err := h.limiter.Acquire(ctx, class, bounds)
	if err != nil {
		if c == nil {
			h.mu.Lock()
			h.tracker.Release(now, w.name)
			h.mu.Unlock()
		}
		return err
	}
	s.mu.Lock()
	s.nextID++
	run := &dependency.Run{ID: fmt.Sprint(s.nextID), Request: named(w.name), Priority: w.priority, Deadline: deadline, Goal: bounds.Goal}
	s.mu.Unlock()
	h.mu.Lock()
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
		target := s.rand(len(s.services[call.service])) // the holder of a random key
		to := s.services[call.service][target]
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
			h.tracker.CallEnded(time.Now(), c, outcome, fmt.Sprint(target), 0)
			h.mu.Unlock()
		}
		if err != nil {
			s.count(call.name + " refused")
			return fmt.Errorf("lost: %w", err)
		}
		s.count(call.name + " served")
		time.Sleep(part)
	}
	if time.Now().After(deadline) {
		return fmt.Errorf("late")
	}
	return nil
}

// load offers work at a rate per second to random hosts of its service for a time. Requests
// are refused at up to two hosts.
func (s *simulation) load(w work, perSecond float64, during time.Duration) {
	var all sync.WaitGroup
	end := time.Now().Add(during)
	for time.Now().Before(end) {
		all.Go(func() {
			deadline, goal := time.Now().Add(w.timeout), time.Now().Add(w.goal)
			hosts := s.services[w.service]
			err := s.serve(hosts[s.rand(len(hosts))], w, nil, deadline)
			kind := errkind.Of(err)
			switch {
			case err == nil && time.Now().After(goal):
				s.count(w.name + " tardy")
			case err == nil:
				s.count(w.name + " done")
			case kind == errkind.CallsRefused && err.Error()[:4] != "lost":
				s.count(w.name + " not admitted")
			case err.Error()[:4] == "lost" || err.Error()[:4] == "late":
				s.count(w.name + " lost")
			default:
				s.count(w.name + " refused")
			}
		})
		time.Sleep(time.Duration(float64(500+s.rand(1000)) / 1000 / perSecond * float64(time.Second)))
	}
	all.Wait()
}

var (
	ownWork = work{name: "own", service: "b", took: 120 * time.Millisecond, goal: 400 * time.Millisecond, timeout: time.Second}
	lookup  = work{name: "lookup", service: "b", took: 40 * time.Millisecond, goal: 150 * time.Millisecond, timeout: 450 * time.Millisecond, priority: 1}
	caller  = work{name: "run", service: "a", took: 60 * time.Millisecond, goal: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []work{lookup, lookup}}

	lookupBack = work{name: "lookup back", service: "a", took: 40 * time.Millisecond, goal: 150 * time.Millisecond, timeout: 450 * time.Millisecond, priority: 1}
	callerBack = work{name: "run back", service: "b", took: 60 * time.Millisecond, goal: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, calls: []work{lookupBack, lookupBack}}
)

// offered is a load of requests per second.
type offered struct {
	work
	perSecond float64
}

// simulate offers loads for a time, and returns how many requests had which outcome.
func simulate(t *testing.T, plain bool, callingHosts int, during time.Duration, loads ...offered) map[string]int {
	t.Helper()
	var counts map[string]int
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(plain, callingHosts)
		var all sync.WaitGroup
		for _, o := range loads {
			all.Go(func() { s.load(o.work, o.perSecond, during) })
		}
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
	const during = 8 * time.Second
	loads := []offered{{caller, 300}, {ownWork, 100}} // 24 and 12 slots of 18
	before := simulate(t, true, 9, during, loads...)
	now := simulate(t, false, 9, during, loads...)
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
	const during = 8 * time.Second
	loads := []offered{{caller, 300}, {callerBack, 300}}
	before := simulate(t, true, 3, during, loads...)
	now := simulate(t, false, 3, during, loads...)
	for _, name := range []string{"run", "run back"} {
		if done, lost := now[name+" done"], now[name+" lost"]; done < before[name+" done"] || done < 400 || lost > done/10 {
			t.Errorf("%d requests %q completed and %d were lost; without recognised calls %d and %d", done, name, lost, before[name+" done"], before[name+" lost"])
		}
	}
}

// Guards against a change for services whose calls and own work fit: none of either may be
// refused or limited.
func TestCallsBelowCapacityAreNotLimited(t *testing.T) {
	now := simulate(t, false, 9, 8*time.Second, offered{caller, 100}, offered{ownWork, 40})
	if done, all := now["run done"]+now["own done"], 100*8+40*8; done < all*95/100 || now["run lost"]+now["run not admitted"] > 0 {
		t.Errorf("%d of about %d requests were served in time", done, all)
	}
}

// Guards against runs that go on being lost while the service that they call is down, and
// against a limit that does not end after its return.
func TestCalledServiceIsLostAndRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(false, 3)
		setDown := func(down bool) {
			for _, h := range s.services["b"] {
				h.down.Store(down)
			}
		}
		s.load(caller, 60, 3*time.Second)
		setDown(true)
		s.counts = map[string]int{}
		s.load(caller, 60, 10*time.Second)
		t.Log("down:", s.counts)
		// Each host loses six runs and those that run by then, and one in half a second
		// afterwards.
		if lost := s.counts["run lost"]; lost > 3*(6+4+20) || s.counts["run not admitted"] < 400 {
			t.Errorf("%d of 600 runs were lost while the service was down, want one of each host in 0.5 s", lost)
		}
		setDown(false)
		s.load(caller, 60, 4*time.Second)
		s.counts = map[string]int{}
		s.load(caller, 60, 5*time.Second)
		t.Log("restored:", s.counts)
		if s.counts["run not admitted"] > 0 || s.counts["run done"] < 250 {
			t.Errorf("%d of 300 runs completed from 4 s after the return on, %d were not admitted", s.counts["run done"], s.counts["run not admitted"])
		}
	})
}
