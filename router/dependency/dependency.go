// Package dependency tracks the requests that run at one upstream (runs) and the calls to
// other services that the upstream makes for them. It derives the goal of a call from its
// run, and limits new runs of routes whose calls cannot be served. It takes the time as an
// argument and has no clock, network or goroutine. Its types are not safe for concurrent
// use.
package dependency

import (
	"time"
)

const (
	// maxRoutes and maxServices bound what is remembered; further routes and services are
	// not tracked.
	maxRoutes   = 256
	maxServices = 64
	// maxServicesOfRoute bounds the services that one route is known to call.
	maxServicesOfRoute = 8
	// maxCallsOfRun bounds the calls that are recorded for one run.
	maxCallsOfRun = 64
	// positions is the number of calls of a run for which the time that the run needs
	// afterwards is kept separately; the last one stands for all further calls.
	positions = 4
	// averageWeight is the weight of a new value in the moving averages.
	averageWeight = 0.1
	// minCallsPerRun is the mean number of calls from which on a route counts as one that
	// calls the service.
	minCallsPerRun = 0.1
)

// Request is a request as the router knows it.
type Request interface {
	// RouteName returns the name of the route, or "" if it has none.
	RouteName() string
}

// Run is a request in progress at the local upstream.
type Run struct {
	ID string
	// Request is asked for the route, once at most and only if it is needed.
	Request  Request
	Priority int
	Deadline time.Time
	Goal     time.Time

	route  string
	routed bool
	calls  []*Call
	// failed is true if a call of the run was not served, so that the run ends early.
	failed bool
}

func (r *Run) routeName() string {
	if !r.routed {
		r.routed = true
		r.route = r.Request.RouteName()
	}
	return r.route
}

// Call is a call of a run to another service.
type Call struct {
	// Priority, Deadline and Goal are those of the run; Goal is brought forward by Needs.
	Priority int
	Deadline time.Time
	Goal     time.Time
	// Needs is the time that the run is expected to need after the call.
	Needs time.Duration

	run     *Run
	service string
	endedAt time.Time
}

// NeededBefore returns how long before the deadline of the call its run needs the response, so
// that it can use it.
func (c *Call) NeededBefore(deadline time.Time) time.Duration {
	return max(deadline.Sub(c.Deadline.Add(-c.Needs)), 0)
}

// Tracker tracks the runs of one upstream.
type Tracker struct {
	runs     map[string]*Run
	routes   map[string]*route
	services map[string]*service
}

// route is what is known of the runs of one route.
type route struct {
	// calls is the mean number of calls of a run by service.
	calls map[string]float64
	// needs is the mean time from the end of a call to the end of its run, by the position
	// of the call.
	needs [positions]time.Duration
}

// NewTracker returns a tracker that knows no runs.
func NewTracker() *Tracker {
	return &Tracker{runs: map[string]*Run{}, routes: map[string]*route{}, services: map[string]*service{}}
}

// Idle reports whether no route is known to make calls.
func (t *Tracker) Idle() bool {
	return len(t.routes) == 0
}

// Start records that a run begins.
func (t *Tracker) Start(run *Run) {
	t.runs[run.ID] = run
}

// End records that a run has ended. completed is false if the upstream did not respond.
func (t *Tracker) End(now time.Time, run *Run, completed bool) {
	if t.runs[run.ID] == run { // a later attempt may have the same id
		delete(t.runs, run.ID)
	}
	if len(t.routes) == 0 || (len(run.calls) == 0 && (!completed || t.routes[run.routeName()] == nil)) {
		return
	}
	r := t.route(run.routeName())
	if r == nil {
		return
	}
	r.observe(now, run, completed && !run.failed)
}

// route returns what is known of a route, nil if it is not tracked.
func (t *Tracker) route(name string) *route {
	r := t.routes[name]
	if r == nil && name != "" && len(t.routes) < maxRoutes {
		r = &route{calls: map[string]float64{}}
		t.routes[name] = r
	}
	return r
}

// observe records the calls of a run that has ended. A run that ended early shows at most
// that there are more calls than known.
func (r *route) observe(now time.Time, run *Run, whole bool) {
	count := map[string]float64{}
	for i, c := range run.calls {
		count[c.service]++
		if whole && !c.endedAt.IsZero() {
			at := min(i, positions-1)
			r.needs[at] = average(r.needs[at], now.Sub(c.endedAt))
		}
	}
	for service, n := range count {
		known, ok := r.calls[service]
		switch {
		case !ok && len(r.calls) < maxServicesOfRoute:
			r.calls[service] = n
		case ok && (whole || n > known):
			r.calls[service] = known + averageWeight*(n-known)
		}
	}
	for service, known := range r.calls {
		if whole && count[service] == 0 {
			r.calls[service] = known * (1 - averageWeight)
		}
	}
}

func average(known, value time.Duration) time.Duration {
	if known == 0 {
		return value
	}
	return known + time.Duration(averageWeight*float64(value-known))
}

// Call records a call to a service by the run with the id parent. It returns nil if no such
// run is in progress.
func (t *Tracker) Call(now time.Time, parent, service string) *Call {
	run := t.runs[parent]
	if run == nil || !run.Deadline.After(now) {
		return nil
	}
	c := &Call{Priority: run.Priority, Deadline: run.Deadline, run: run, service: service}
	if r := t.route(run.routeName()); r != nil {
		c.Needs = r.needs[min(len(run.calls), positions-1)]
	}
	c.Goal = run.Goal.Add(-c.Needs)
	if len(run.calls) < maxCallsOfRun {
		run.calls = append(run.calls, c)
	}
	return c
}

// Outcome is how a call fared.
type Outcome int

// The outcomes.
const (
	// Ignored says nothing about the capacity of the called service.
	Ignored Outcome = iota
	// Served: an upstream of the service has run the call.
	Served
	// Refused: the call did not run, because the service could not take it in time.
	Refused
	// Unreachable: the call did not run, because this host could not reach the other one.
	Unreachable
)

// CallEnded records the outcome of a call at a host of the called service. retryAfter is
// the time after which the service expects to have capacity, or 0.
func (t *Tracker) CallEnded(now time.Time, c *Call, outcome Outcome, host string, retryAfter time.Duration) {
	c.endedAt = now
	c.run.failed = c.run.failed || outcome != Served
	if outcome == Ignored {
		return
	}
	s := t.services[c.service]
	if s == nil {
		if len(t.services) >= maxServices {
			return
		}
		s = &service{hosts: map[string]*tally{}}
		t.services[c.service] = s
	}
	s.observe(now, outcome, host, retryAfter)
}

// MakesCalls reports whether runs of the route are expected to make calls.
func (t *Tracker) MakesCalls(routeName string) bool {
	if r := t.routes[routeName]; r != nil {
		for _, n := range r.calls {
			if n >= minCallsPerRun {
				return true
			}
		}
	}
	return false
}
