package dependency

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// named is a request of the route with the name.
type named string

func (n named) RouteName() string { return string(n) }

// newRun starts a run with 1,000 ms until its goal and 2,000 ms until its deadline.
func newRun(t *Tracker, id, route string, began time.Time) *Run {
	r := &Run{ID: id, Request: named(route), Priority: 1, Goal: began.Add(time.Second), Deadline: began.Add(2 * time.Second)}
	t.Start(r)
	return r
}

// Guards against a request that is taken for a call of a run which does not exist, has ended
// or has passed its deadline, or of which another attempt is in progress.
func TestCallsNeedARunInProgress(t *testing.T) {
	tracker := NewTracker()
	if tracker.Call(at(0), "", "s") != nil || tracker.Call(at(0), "r", "s") != nil {
		t.Error("a call of an unknown run was recognised")
	}
	first := newRun(tracker, "r", "route", at(0))
	second := newRun(tracker, "r", "route", at(10))
	tracker.End(at(20), first, true)
	if tracker.Call(at(30), "r", "s") == nil {
		t.Error("the end of an earlier attempt ended the later one")
	}
	if tracker.Call(at(2010), "r", "s") != nil {
		t.Error("a call behind the deadline of its run was recognised")
	}
	tracker.End(at(2020), second, true)
	if tracker.Call(at(2030), "r", "s") != nil {
		t.Error("a call of an ended run was recognised")
	}
	if !tracker.Idle() == (len(tracker.routes) == 0) {
		t.Error("a route that makes calls is not known")
	}
}

// Guards against calls that are served too late for the rest of their run: 300 ms after the
// first call and 100 ms after the second.
func TestGoalOfACallLeavesTimeForItsRun(t *testing.T) {
	tracker := NewTracker()
	for i := range 50 {
		begin := 10_000 * i
		r := newRun(tracker, fmt.Sprint(i), "route", at(begin))
		for _, end := range []int{100, 300} {
			c := tracker.Call(at(begin+end-50), r.ID, "s")
			tracker.CallEnded(at(begin+end), c, Served, "h", 0)
		}
		tracker.End(at(begin+400), r, true)
	}
	newRun(tracker, "last", "route", at(0))
	var c *Call
	for i, want := range []time.Duration{300 * time.Millisecond, 100 * time.Millisecond} {
		c = tracker.Call(at(0), "last", "s")
		if c.Needs != want || !c.Goal.Equal(at(1000).Add(-want)) || c.Priority != 1 || !c.Deadline.Equal(at(2000)) {
			t.Errorf("call %d: %v needed afterwards, goal in %v, want %v before the goal of the run", i, c.Needs, c.Goal.Sub(start), want)
		}
	}
	if early, late := c.NeededBefore(at(500)), c.NeededBefore(at(1950)); early != 0 || late != 50*time.Millisecond {
		// the run needs 100 ms after the call, and has 2,000 ms left
		t.Errorf("responses are needed %v and %v before deadlines in 500 and 1,950 ms, want 0 and 50 ms", early, late)
	}
	if !tracker.MakesCalls("route") || tracker.MakesCalls("other") {
		t.Error("the routes that make calls are not told apart")
	}
}

// Guards against runs that end early because of a refused call and make their route look as
// if it made fewer calls, and against a route that counts as calling for ever.
func TestCallsOfARouteAreLearned(t *testing.T) {
	tracker := NewTracker()
	run := func(calls int, outcome Outcome) {
		r := newRun(tracker, "r", "route", at(0))
		for range calls {
			tracker.CallEnded(at(50), tracker.Call(at(0), "r", "s"), outcome, "h", 0)
		}
		tracker.End(at(100), r, true)
	}
	run(2, Served)
	for range 50 {
		run(1, Refused)
	}
	if n := tracker.routes["route"].calls["s"]; n != 2 {
		t.Errorf("%v calls for each run, want 2", n)
	}
	for range 50 {
		run(0, Served)
	}
	if tracker.MakesCalls("route") {
		t.Error("a route that makes no calls any more counts as one that does")
	}
}

// offer offers runs of the route at a rate for a time, each of which makes one call at a
// random host, and returns the share of them that was admitted.
func offer(tracker *Tracker, from, to, everyMs int, outcome func(i int) (Outcome, string)) (admitted, all int) {
	for ms := from; ms < to; ms += everyMs {
		all++
		if tracker.Admit(at(ms), "route") != nil {
			continue
		}
		admitted++
		r := newRun(tracker, fmt.Sprint(ms), "route", at(ms))
		o, host := outcome(all)
		tracker.CallEnded(at(ms), tracker.Call(at(ms), r.ID, "s"), o, host, 300*time.Millisecond)
		tracker.End(at(ms), r, true)
	}
	return admitted, all
}

// Guards against limits that a hot key or a quarter of refused calls sets off, against a
// service in lasting overload that gets far more or far fewer runs than it has capacity for,
// and against runs that are all refused.
func TestRunsAreLimitedByTheCallsThatAreServed(t *testing.T) {
	hosts := func(i int) string { return fmt.Sprint("h", i%4) }
	for _, tc := range []struct {
		name      string
		outcome   func(i int) (Outcome, string)
		low, high float64
	}{
		{"none refused", func(i int) (Outcome, string) { return Served, hosts(i) }, 1, 1},
		{"a quarter refused", func(i int) (Outcome, string) { return Outcome(1 + (i/4%4)/3), hosts(i) }, 1, 1},
		{"hot key", func(i int) (Outcome, string) {
			if i%10 >= 3 {
				return Refused, "hot"
			}
			return Served, hosts(i)
		}, 1, 1},
		{"all refused", func(i int) (Outcome, string) { return Refused, hosts(i) }, 0.01, 0.08},
	} {
		admitted, all := offer(NewTracker(), 0, 10_000, 20, tc.outcome)
		if share := float64(admitted) / float64(all); share < tc.low || share > tc.high {
			t.Errorf("%s: %.3f of the runs were admitted, want %v to %v", tc.name, share, tc.low, tc.high)
		}
	}
	// A service that serves 10 calls a second of 50.
	served := 0
	admitted, all := 0, 0
	tracker := NewTracker()
	for second := range 20 {
		left := 10
		a, n := offer(tracker, second*1000, second*1000+1000, 20, func(i int) (Outcome, string) {
			if left--; left < 0 {
				return Refused, hosts(i)
			}
			served++
			return Served, hosts(i)
		})
		if second >= 5 {
			admitted, all = admitted+a, all+n
		}
	}
	if admitted < 120 || admitted > 300 {
		t.Errorf("%d of %d runs were admitted in 15 s while 150 could be served", admitted, all)
	}
}

// Guards against a refusal that sends the caller to other hosts although they have the same
// trouble, or keeps it from them although only this host cannot reach the service, and against
// one without the time at which the service has capacity.
func TestRefusalOfARun(t *testing.T) {
	for outcome, local := range map[Outcome]bool{Refused: false, Unreachable: true} {
		tracker := NewTracker()
		offer(tracker, 0, 1000, 20, func(int) (Outcome, string) { return outcome, "h" })
		refusal := tracker.Admit(at(1010), "route")
		if refusal == nil || refusal.Local != local || refusal.Service != "s" || refusal.RetryAfter < 50*time.Millisecond || refusal.RetryAfter > probeInterval {
			t.Errorf("outcome %v: got %+v, want a refusal with local %v until the service has capacity", outcome, refusal, local)
		}
		if tracker.Admit(at(1010), "other") != nil {
			t.Error("a run of a route that does not call the service was refused")
		}
	}
}

// Guards against state that grows with the names of routes, services or hosts.
func TestStateIsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 2000 {
		name := fmt.Sprint(i)
		r := newRun(tracker, name, name, at(i))
		for j := range 100 {
			tracker.CallEnded(at(i), tracker.Call(at(i), name, fmt.Sprint(i, j)), Served, name, 0)
		}
		tracker.CallEnded(at(i), tracker.Call(at(i), name, "s"), Served, name, 0)
		tracker.End(at(i), r, true)
	}
	services, hosts := 0, 0
	for _, r := range tracker.routes {
		services = max(services, len(r.calls))
	}
	for _, s := range tracker.services {
		hosts = max(hosts, len(s.hosts))
	}
	if len(tracker.runs) > 0 || len(tracker.routes) > maxRoutes || services > maxServicesOfRoute || len(tracker.services) > maxServices || hosts > maxHosts {
		t.Errorf("%d runs, %d routes with up to %d services, %d services with up to %d hosts are kept", len(tracker.runs), len(tracker.routes), services, len(tracker.services), hosts)
	}
}

// Guards against admissions of runs that do not begin and nevertheless use up what is left for
// others.
func TestReleaseReturnsTheTokensOfARun(t *testing.T) {
	tracker := NewTracker()
	offer(tracker, 0, 2000, 20, func(i int) (Outcome, string) {
		if i%5 < 2 {
			return Served, "h"
		}
		return Refused, "h"
	})
	s := tracker.services["s"]
	if !s.limited {
		t.Fatal("the runs are not limited")
	}
	s.tokens = 1
	if tracker.Admit(at(2000), "route") != nil || s.tokens >= 1 {
		t.Fatalf("%v tokens after an admission, want fewer than 1", s.tokens)
	}
	if tracker.Release("route"); s.tokens != 1 {
		t.Errorf("%v tokens after its release, want 1", s.tokens)
	}
}
