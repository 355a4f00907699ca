package sidecar

import (
	"cmp"
	"math/bits"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/dependency"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/metrics"
)

// runField is the field of a request between routers that marks a call of a run. Its value
// is the time in milliseconds before the deadline at which the run needs the response,
// rounded up to a power of two, so that it seldom differs from that of the last request on
// the connection.
const runField = "Burdock-Run"

// maxBeforeDeadline bounds that time.
const maxBeforeDeadline = time.Minute

// runCallsDriver links the calls that the local upstream makes to the requests that run
// there, and limits new ones whose calls cannot be served. Nil does neither. It is safe for
// concurrent use.
type runCallsDriver struct {
	// parentID returns the id of the request that may have made the one with the id.
	parentID func(id string) (parent string, ok bool)
	config   *currentConfig
	log      *event.Logger
	scope    tally.Scope
	services *metrics.TenantLabels
	// active is true once a request at the upstream has made a call.
	active atomic.Bool

	mu      sync.Mutex
	tracker *dependency.Tracker
	// limited holds the services whose limit is logged.
	limited map[string]bool
	limits  []dependency.Limit
	// reportedAt is the time at which the limits were last compared with limited.
	reportedAt time.Time
}

// limitReportInterval is the time between two comparisons of the limits with those that are
// logged.
const limitReportInterval = 250 * time.Millisecond

// callOfRun is what is known of a call that was made by a request in progress.
type callOfRun struct {
	// known is true if the call was made by a request in progress.
	known bool
	// neededBefore is the time before the deadline of the call at which the run needs the
	// response, to use it.
	neededBefore time.Duration
	// call is nil at the gate of another host.
	call *dependency.Call
}

// buildRunCalls returns nil if the platform's ids do not name the parent of a call, or the
// settings switch the driver off.
func (s *Sidecar) buildRunCalls() *runCallsDriver {
	if s.opts.ParentID == nil || !s.settings.Calls.Enabled {
		return nil
	}
	return &runCallsDriver{
		parentID: s.opts.ParentID, config: s.config, log: s.log, scope: s.scope,
		services: metrics.NewTenantLabels(metrics.MaxTenants),
		tracker:  dependency.NewTracker(), limited: map[string]bool{},
	}
}

// link makes the request a call of the run that its id names, if that one is in progress at
// the local upstream. Its priority, goal and deadline then follow from the run.
func (d *runCallsDriver) link(c *Call, now time.Time) {
	if d == nil {
		return
	}
	parent, ok := d.parentID(c.RequestID)
	if !ok {
		return
	}
	d.mu.Lock()
	call := d.tracker.Call(now, parent, c.Service)
	d.mu.Unlock()
	if call == nil {
		return
	}
	d.active.Store(true)
	c.Priority = min(c.Priority, call.Priority)
	c.Goal = call.Goal
	if call.Deadline.Before(c.Deadline) {
		c.Deadline = call.Deadline
	}
	c.ofRun = callOfRun{known: true, neededBefore: call.NeededBefore(c.Deadline), call: call}
}

// ended records the result of a call and returns it.
func (d *runCallsDriver) ended(c *Call, r *Result) *Result {
	if d == nil || c.ofRun.call == nil {
		return r
	}
	now := time.Now()
	outcome, retryAfter := callOutcome(r), time.Duration(0)
	if r.Err != nil {
		retryAfter = r.Err.RetryAfter
	}
	d.mu.Lock()
	d.tracker.CallEnded(now, c.ofRun.call, outcome, r.Host, retryAfter)
	d.reportLimits(now)
	d.mu.Unlock()
	tags := map[string]string{"service": d.services.Label(c.Service), "outcome": callOutcomeNames[outcome]}
	d.scope.Tagged(tags).Counter("calls_of_runs").Inc(1)
	return r
}

var callOutcomeNames = map[dependency.Outcome]string{
	dependency.Ignored: "other", dependency.Served: "served", dependency.Refused: "refused", dependency.Unreachable: "unreachable",
}

// callOutcome returns what the result of a call says about the capacity of its service.
func callOutcome(r *Result) dependency.Outcome {
	if r.Err == nil {
		return dependency.Served
	}
	switch r.Err.Kind {
	case errkind.Overloaded, errkind.UpstreamRefused, errkind.UpstreamDown, errkind.NoOwner, errkind.WrongOwner,
		errkind.LeaseLapsed, errkind.Draining, errkind.DeadlinePassed, errkind.CallsRefused:
		return dependency.Refused
	case errkind.PeerUnreachable:
		return dependency.Unreachable
	}
	if r.Unreachable {
		return dependency.Unreachable
	}
	return dependency.Ignored
}

// admit returns an error if the gate must not begin the call because the calls that it would
// make cannot be served. Otherwise it notes whether the call is expected to make some.
func (d *runCallsDriver) admit(c *Call) *errkind.Error {
	if d == nil || !d.active.Load() {
		return nil
	}
	route, now := d.routeName(c), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	c.makesCalls = d.tracker.MakesCalls(route)
	if !c.makesCalls || c.ofRun.known {
		return nil
	}
	refusal := d.tracker.Admit(now, route)
	d.reportLimits(now)
	if refusal == nil {
		return nil
	}
	d.scope.Tagged(map[string]string{"service": d.services.Label(refusal.Service)}).Counter("runs_refused").Inc(1)
	kind := errkind.CallsRefused
	if refusal.Local {
		kind = errkind.Overloaded // other hosts may reach the service
	}
	err := errkind.New(kind, "%.0f%% of the calls to %s, which the request would make, are refused", 100*refusal.Share, refusal.Service)
	err.RetryAfter = refusal.RetryAfter
	return err
}

// takeBack takes back an admission of admit: the call does not begin.
func (d *runCallsDriver) takeBack(c *Call) {
	if d == nil || !c.makesCalls || c.ofRun.known {
		return
	}
	route := d.routeName(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Release(route)
}

// started records that the call begins at the upstream. The returned function replaces
// release and also records the end.
func (d *runCallsDriver) started(c *Call, release func(admit.Result)) func(admit.Result) {
	if d == nil || c.RequestID == "" {
		return release
	}
	c.calls = d
	// A call that is offered to the upstream again is another run: calls of the first one may
	// still be in progress.
	run := &dependency.Run{ID: c.RequestID, Request: c, Priority: c.Priority, Deadline: c.Deadline, Goal: c.Goal}
	d.mu.Lock()
	d.tracker.Start(run)
	d.mu.Unlock()
	return func(r admit.Result) {
		d.mu.Lock()
		var now time.Time // not needed while nothing makes calls
		if !d.tracker.Idle() {
			now = time.Now()
		}
		d.tracker.End(now, run, r == admit.Completed)
		d.mu.Unlock()
		release(r)
	}
}

// RouteName implements dependency.Request.
func (c *Call) RouteName() string {
	return c.calls.routeName(c)
}

// routeName returns the name of the route of a call, "" if it has none. It is looked up once,
// by the configuration in force, if the call came from another host.
func (d *runCallsDriver) routeName(c *Call) string {
	if c.route == nil && !c.routeLookedUp {
		table, route := d.config.callRoute(c)
		c.lookedUpRoute, c.routeLookedUp = route, table != nil
	}
	if route := cmp.Or(c.route, c.lookedUpRoute); route != nil {
		return route.Name
	}
	return ""
}

// reportLimits logs limits that have begun or ended, and sets the metric of the refused
// calls. It does not wait for the log, because every request needs d.mu, which the caller
// holds.
func (d *runCallsDriver) reportLimits(now time.Time) {
	if now.Sub(d.reportedAt) < limitReportInterval {
		return
	}
	d.reportedAt = now
	d.limits = d.tracker.Limits(now, d.limits[:0])
	for _, l := range d.limits {
		d.scope.Tagged(map[string]string{"service": d.services.Label(l.Service)}).Gauge("calls_refused_share").Update(l.Share)
		if l.Limited == d.limited[l.Service] {
			continue
		}
		d.limited[l.Service] = l.Limited
		which := eventRunsUnlimited
		if l.Limited {
			which = eventRunsLimited
		}
		go d.log.Log(which, event.F("service", l.Service), event.F("refused_share", l.Share), event.F("calls_per_second", l.Rate))
	}
}

// waitBounds returns the bounds on the wait of the call at the gate, if its response then
// takes the given time to be sent.
func (c *Call) waitBounds(sending time.Duration) admit.WaitBounds {
	return admit.WaitBounds{
		Policy: c.WaitPolicy, Goal: c.Goal.Add(-sending), Deadline: c.Deadline.Add(-sending - c.ofRun.neededBefore),
		Origin:     c.Origin,
		MakesCalls: c.makesCalls,
	}
}

// encode returns the value of runField.
func (r callOfRun) encode() string {
	ms := uint64(min(r.neededBefore, maxBeforeDeadline).Milliseconds())
	if ms > 1 {
		ms = 1 << bits.Len64(ms-1)
	}
	return strconv.FormatUint(ms, 10)
}

// takeCallOfRun removes runField from the header and decodes it. A value that is not one of
// encode marks no call.
func takeCallOfRun(header http.Header) callOfRun {
	value := header.Get(runField)
	if value == "" {
		return callOfRun{}
	}
	header.Del(runField)
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return callOfRun{}
	}
	return callOfRun{known: true, neededBefore: min(time.Duration(ms)*time.Millisecond, maxBeforeDeadline)}
}
