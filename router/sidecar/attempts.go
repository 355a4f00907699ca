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
	"burdockglade.dev/router/retry"
	"burdockglade.dev/router/vhost"
)

// attempts offers the call to hosts until one answers or nothing more can help.
func (e *entry) attempts(ctx context.Context, c *Call, route *vhost.Route) *Result {
	var tried []*fleet.Host
	arrivals := 0
	unknown := false
	var last *Result
	for range maxHops {
		h, r := e.choose(ctx, c, tried, last)
		if r != nil {
			if last == nil {
				last = r
			}
			break
		}
		if last != nil && last.Body != nil {
			last.close()
		}
		c.WaitPolicy = patience(c, len(tried))
		last = e.attempt(ctx, h, c)
		tried = append(tried, h)
		if last.Arrived {
			arrivals++
		}
		unknown = unknown || (last.Err != nil && !last.notRun())
		if !e.another(ctx, c, route, last, arrivals) {
			break
		}
	}
	return e.final(ctx, c, last, unknown)
}

// choose returns the host for the next attempt, or a refusal.
func (e *entry) choose(ctx context.Context, c *Call, tried []*fleet.Host, last *Result) (*fleet.Host, *Result) {
	if c.Keyed {
		// The refusing host may know more than this one has read.
		if last != nil && last.Holder != "" {
			if h := e.fleet.Host(last.Holder); h != nil && !slices.Contains(tried, h) {
				return answering(h, c)
			}
		}
		return e.chooseHolder(ctx, c, tried)
	}
	h := e.fleet.Choose(time.Now(), c.Service, tried)
	if h == nil {
		return nil, refused(errkind.NoOwner, "no upstream of %s takes work; %d were tried", c.Service, len(tried))
	}
	return h, nil
}

// chooseHolder returns the host whose upstream holds the call's key. A key that
// is being moved is waited for.
func (e *entry) chooseHolder(ctx context.Context, c *Call, tried []*fleet.Host) (*fleet.Host, *Result) {
	wait := min(time.Until(c.Deadline), c.Objective) / moveWaitShare
	found := e.keys.holder(ctx, c.Service, c.Key, wait, len(tried) > 0)
	if found.Host == "" {
		return nil, refused(errkind.NoOwner, "key %d of %s has no holder in map version %d", c.Key, c.Service, found.Version)
	}
	h := e.fleet.Host(found.Host)
	if h == nil {
		return nil, refused(errkind.NoOwner, "key %d of %s is held by host %s, which is not known", c.Key, c.Service, found.Host)
	}
	return answering(h, c)
}

// answering returns the host, or a refusal when it is known not to answer.
func answering(h *fleet.Host, c *Call) (*fleet.Host, *Result) {
	if !h.AllowRequest(time.Now()) {
		return nil, refused(errkind.PeerUnreachable, "key %d of %s is held by host %s, which does not answer", c.Key, c.Service, h.Member().Host)
	}
	return h, nil
}

// moveWaitShare is the part of the latency objective for which a request waits
// for a key that is being moved.
const moveWaitShare = 4

// patience says how long a call may wait at the next host. The first host is not
// waited for when others may have a free slot, and the last one until the
// deadline. A key has one holder, where a queue makes all calls late.
func patience(c *Call, tried int) admit.Patience {
	switch {
	case c.Keyed:
		return admit.UntilGoal
	case tried == 0:
		return admit.NoWait
	case tried == maxHops-1:
		return admit.UntilDeadline
	}
	return admit.UntilGoal
}

// attempt offers the call to one host.
func (e *entry) attempt(ctx context.Context, h *fleet.Host, c *Call) *Result {
	h.RequestStarted()
	start := time.Now()
	var r *Result
	if h.Member().Host == e.host {
		r = e.gate.serve(ctx, c)
	} else {
		r = sendHop(ctx, h.Client, e.headers, c)
		e.exchange.seen(r.Config, h.Client)
	}
	r.Host = h.Member().Host
	now := time.Now()
	if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
		h.RequestCancelled()
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

// another decides whether the call is offered to another host.
func (e *entry) another(ctx context.Context, c *Call, route *vhost.Route, r *Result, arrivals int) bool {
	if ctx.Err() != nil {
		return false
	}
	failedAtUpstream := r.Err == nil && r.Status >= http.StatusInternalServerError && c.Repeatable
	if r.Err == nil && !failedAtUpstream {
		return false
	}
	if c.Stream != nil && r.Arrived {
		return false // the body cannot be sent again
	}
	if c.Keyed && r.notRun() && r.Err.Kind == errkind.Overloaded {
		return false // no other host may serve the key
	}
	if !r.Arrived && r.notRun() {
		return errkind.AnswerOf(r.Err.Kind).Retryable
	}
	if arrivals >= max(route.MaxAttempts, 1) {
		return false
	}
	outcome, kind := errkind.Unknown, errkind.OutcomeUnknown
	if r.Err != nil {
		outcome, kind = errkind.AnswerOf(r.Err.Kind).Outcome, r.Err.Kind
	}
	class := retry.Once
	if c.Repeatable {
		class = retry.Repeatable
	}
	now := time.Now()
	take := func() bool { return e.budgets.of(c.Service).Take(now) }
	decision := retry.Decide(class, outcome, kind, c.Deadline.Sub(now), take)
	e.log.Log(eventRetry, event.F("request", c.RequestID), event.F("service", c.Service), event.F("host", r.Host),
		event.F("kind", string(kind)), event.F("outcome", string(outcome)), event.F("arrivals", arrivals), event.F("decision", int(decision)))
	return decision == retry.Repeat
}

// final turns the last attempt into the result for the caller. When any attempt
// may have run, the caller is not told that the request did not run.
func (e *entry) final(ctx context.Context, c *Call, last *Result, unknown bool) *Result {
	if last.Err == nil {
		return last
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return refused(errkind.CallerLeft, "the caller left")
	}
	if unknown && last.notRun() {
		last.Err = errkind.New(errkind.OutcomeUnknown, "an earlier attempt may have run; the last one: %w", last.Err)
	}
	return last
}
