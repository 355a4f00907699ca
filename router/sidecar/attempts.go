package sidecar

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/responsehead"
	"burdockglade.dev/router/retry"
	"burdockglade.dev/router/vhost"
)

// tryHosts offers the call to hosts until one responds or no other attempt is allowed.
func (e *entry) tryHosts(ctx context.Context, c *Call, route *vhost.Route) *Result {
	return e.tryHostsWith(ctx, c, route, e.attemptHedged)
}

// attemptFunc offers a call to a host.
type attemptFunc func(ctx context.Context, h *fleet.Host, c *Call, route *vhost.Route, tried []*fleet.Host) *Result

// tryHostsWith is tryHosts with another way to offer the call.
func (e *entry) tryHostsWith(ctx context.Context, c *Call, route *vhost.Route, attempt attemptFunc) *Result {
	var tried []*fleet.Host
	trialHost, err := e.quarantine.atEntry(c)
	if err != nil {
		return e.calls.ended(c, &Result{Err: err})
	}
	c.trialHost = trialHost
	arrivals := 0
	mayHaveRun := false
	var last *Result
	for len(tried) < maxHosts {
		h, r := e.chooseHost(ctx, c, tried, last)
		if r == nil {
			r = e.checkTimeLeft(h, c)
		}
		if r != nil {
			if last == nil || explainsBetter(r, last) {
				last = r
			}
			break
		}
		if last != nil && last.Body != nil {
			last.close()
		}
		c.WaitPolicy = waitPolicy(c, len(tried))
		e.markAttempt(c, h, tried)
		last = attempt(ctx, h, c, route, tried)
		tried = append(tried, h)
		c.noteRegionRefusal(h, last)
		tried, arrivals, mayHaveRun = c.countHedge(last, tried, arrivals, mayHaveRun)
		if last.Arrived {
			arrivals++
		}
		mayHaveRun = mayHaveRun || !last.notRun()
		if !e.shouldRetry(ctx, c, route, last, arrivals) {
			break
		}
	}
	return e.calls.ended(c, e.finalResult(ctx, c, last, mayHaveRun))
}

// checkTimeLeft returns an error result if the router stops and the response of the host is
// expected after its end.
func (e *entry) checkTimeLeft(h *fleet.Host, c *Call) *Result {
	expected := min(h.ExpectedLatency(c.Objective), time.Until(c.Deadline))
	if expected <= e.graceLeft() {
		return nil
	}
	return errorResult(errkind.Draining, "the response of host %s would come after the end of this router", h.Member().Host)
}

// chooseHost returns the host for the next attempt, or an error result.
func (e *entry) chooseHost(ctx context.Context, c *Call, tried []*fleet.Host, last *Result) (*fleet.Host, *Result) {
	if c.Keyed {
		// The refusing host may know a newer key map than this one.
		if last != nil && last.Holder != "" {
			if h := e.fleet.Host(last.Holder); h != nil && !slices.Contains(tried, h) {
				return e.usableHolder(h, c)
			}
		}
		return e.chooseHolder(ctx, c, tried)
	}
	if c.trialHost != "" {
		return e.chooseTrialHost(c, tried)
	}
	allowed := e.regions.filter(c)
	if c.Large {
		return e.chooseNear(c, tried, allowed)
	}
	if h := e.chooseReserving(c, tried); h != nil {
		return h, nil
	}
	if allowed != nil {
		return e.chooseAllowed(c, tried, allowed)
	}
	h := e.choose(time.Now(), c, tried, nil)
	if h == nil {
		return nil, errorResult(errkind.NoOwner, "no upstream of %s accepts requests; %d were tried", c.Service, len(tried))
	}
	return h, nil
}

// chooseHolder returns the host whose upstream holds the key of the call. If the key is
// being moved, it waits for the next holder.
func (e *entry) chooseHolder(ctx context.Context, c *Call, tried []*fleet.Host) (*fleet.Host, *Result) {
	wait := min(time.Until(c.Deadline), c.Objective) / moveWaitDivisor
	if c.dryRun || e.allEvacuated(c.Service) {
		wait = 0
	}
	var refusedBy []string
	for _, h := range tried {
		refusedBy = append(refusedBy, h.Member().Host)
	}
	found := e.keys.lookupHolder(ctx, c.Service, c.Key, wait, refusedBy)
	if found.Host == "" {
		return nil, errorResult(errkind.NoOwner, "key %d of %s has no holder in map version %d", c.Key, c.Service, found.Version)
	}
	h := e.fleet.Host(found.Host)
	if h == nil {
		return nil, errorResult(errkind.NoOwner, "key %d of %s is held by host %s, which is not known", c.Key, c.Service, found.Host)
	}
	return e.usableHolder(h, c)
}

// allEvacuated reports whether no upstream of the service accepts requests while zones are
// evacuated. A key then has no next holder to wait for.
func (e *entry) allEvacuated(service string) bool {
	return e.evacuation.active() && e.fleet.ChooseLowest(time.Now(), service, nil, nil) == nil
}

// reachableHolder returns the host, or an error result if the host is known to be
// unreachable.
func reachableHolder(h *fleet.Host, c *Call) (*fleet.Host, *Result) {
	if !c.allowRequest(time.Now(), h) {
		return nil, errorResult(errkind.PeerUnreachable, "key %d of %s is held by host %s, which does not respond", c.Key, c.Service, h.Member().Host)
	}
	return h, nil
}

// moveWaitDivisor is the divisor of the latency objective that gives how long a request
// waits for a key that is being moved.
const moveWaitDivisor = 4

// waitPolicy returns how long a call may wait for a slot at the next host. At the first
// host it does not wait, because others may have a free slot; at the last one it waits
// until the deadline. A key has a single holder, where a longer queue would make all
// calls miss their objective.
func waitPolicy(c *Call, tried int) admit.WaitPolicy {
	switch {
	case c.Keyed:
		return admit.UntilGoal
	case c.Large:
		return c.largeWaitPolicy(time.Now())
	case tried == 0:
		return admit.NoWait
	case tried == maxHosts-1:
		return admit.UntilDeadline
	}
	return admit.UntilGoal
}

// refuseAttempt returns an error result if the call must not be sent to the host.
func (e *entry) refuseAttempt(now time.Time, h *fleet.Host, c *Call) *Result {
	// The host's own gate refuses the call as well, unless it has restarted since.
	if e.fleet.LeavingFor(now, h.Member().Host) > e.drainLimit {
		return errorResult(errkind.Draining, "the upstream of %s has said that it leaves", h.Member().Host)
	}
	if err := e.evacuation.checkHost(h.Member().Zone, c); err != nil {
		return &Result{Err: err, Host: h.Member().Host}
	}
	return nil
}

// attempt offers the call to one host.
func (e *entry) attempt(ctx context.Context, h *fleet.Host, c *Call) *Result {
	start := time.Now()
	if r := e.refuseAttempt(start, h, c); r != nil {
		return r
	}
	if c.Large && !c.Keyed {
		e.noteLargeAttempt(c, h)
	}
	h.RequestStarted()
	var r *Result
	if h.Member().Host == e.host {
		r = e.gate.serve(ctx, c)
	} else {
		c.deferBody = e.defersBody(start, h, c)
		r = sendHop(ctx, h.Client, e.headers, c)
		e.logBrokenHop(c, h, r)
		e.observeRefusal(start, h, c, r)
		e.evacuation.merge(r.Evacuated, h.Member().Host) // before the configuration counts as confirmed
		e.quarantine.responded(c, r, h.Member().Host)
		e.exchange.observe(r.Config, start, h.Client)
	}
	r.Host = h.Member().Host
	now := time.Now()
	if r.Leaving != nil {
		e.fleet.MarkLeaving(now, r.Host, *r.Leaving)
	}
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		h.RequestCancelled()
		noteOvertaken(ctx, h, c, now.Sub(start))
		return r
	}
	result := fleet.Result{Reached: !r.Unreachable, Load: r.Load, HasLoad: r.HasLoad}
	if r.Arrived {
		result.Failed = r.Err != nil || r.Status >= http.StatusInternalServerError
		result.Latency, result.Objective = now.Sub(start), c.Objective
	}
	h.RequestDone(now, result)
	return r
}

// logBrokenHop logs the result of a call to another host whose response was broken.
func (e *entry) logBrokenHop(c *Call, h *fleet.Host, r *Result) {
	if r.Err != nil && errors.Is(r.Err, responsehead.ErrBroken) {
		e.log.Log(eventBrokenHop, event.F("request", c.RequestID), event.F("host", h.Member().Host),
			event.F("address", h.Client.Address()), event.F("error", r.Err.Err.Error()))
	}
}

// shouldRetry reports whether the call is offered to another host.
func (e *entry) shouldRetry(ctx context.Context, c *Call, route *vhost.Route, r *Result, arrivals int) bool {
	if ctx.Err() != nil {
		return false
	}
	failedAtUpstream := r.Err == nil && r.Status >= http.StatusInternalServerError && c.Repeatable
	if r.Err == nil && !failedAtUpstream {
		return false
	}
	if !c.bodySendable() {
		return false
	}
	if c.Keyed && r.notRun() && (r.Err.Kind == errkind.Overloaded || (r.Err.Kind == errkind.RegionUnavailable && r.Holder == "")) {
		return false // no other host may serve the key
	}
	if !r.Arrived && r.notRun() {
		return errkind.ResponseOf(r.Err.Kind).Retryable
	}
	if arrivals >= max(route.MaxAttempts, 1) {
		return false
	}
	if r.Arrived && !e.quarantine.mayRepeatAfter(ctx, c, r) {
		return false
	}
	outcome, kind := errkind.Unknown, errkind.OutcomeUnknown
	if r.Err != nil {
		outcome, kind = errkind.ResponseOf(r.Err.Kind).Outcome, r.Err.Kind
	}
	class := retry.AtMostOnce
	if c.Repeatable {
		class = retry.Repeatable
	}
	now := time.Now()
	takeBudget := func() bool { return e.takeRetry(now, c) }
	decision := retry.Decide(class, outcome, kind, c.Deadline.Sub(now), takeBudget)
	e.log.Log(eventRetry, event.F("request", c.RequestID), event.F("service", c.Service), event.F("host", r.Host),
		event.F("kind", string(kind)), event.F("outcome", string(outcome)), event.F("arrivals", arrivals), event.F("decision", int(decision)))
	return decision == retry.Retry
}

// finalResult returns the result for the caller. If any attempt may have run, it does not
// say that the request did not run.
func (e *entry) finalResult(ctx context.Context, c *Call, last *Result, mayHaveRun bool) *Result {
	if last.Err == nil {
		return last
	}
	switch {
	case errors.Is(context.Cause(ctx), errGraceOver) && mayHaveRun:
		return errorResult(errkind.OutcomeUnknown, "the router of this host ends; the request was still running")
	case errors.Is(context.Cause(ctx), errGraceOver):
		return errorResult(errkind.Draining, "the router of this host ends; the request was still waiting")
	case errors.Is(ctx.Err(), context.Canceled):
		return errorResult(errkind.CallerLeft, "the caller left")
	}
	if mayHaveRun && last.notRun() {
		last.Err = errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run; the last one: %w", last.Err)
	}
	return last
}
