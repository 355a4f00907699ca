package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hedge"
	"burdockglade.dev/router/quarantine"
	"burdockglade.dev/router/vhost"
)

// choose returns the host for the call with the lowest cost, or nil if there is none.
func (e *entry) choose(now time.Time, c *Call, tried []*fleet.Host, allowed func(fleet.Member) bool) *fleet.Host {
	if c.dryRun {
		return e.fleet.ChooseLowest(now, c.Service, tried, allowed)
	}
	return e.fleet.ChooseAllowed(now, c.Service, tried, allowed)
}

// allowRequest reports whether the call is sent to the host although no other one can serve
// it. Unless the call is a dry run, it may take the probe of a host that does not respond.
func (c *Call) allowRequest(now time.Time, h *fleet.Host) bool {
	if c.dryRun {
		allowed, _ := h.WouldAllowRequest(now)
		return allowed
	}
	return h.AllowRequest(now)
}

// takeRetry takes a token from the retry budget of the call's service, and reports whether
// there was one.
func (e *entry) takeRetry(now time.Time, c *Call) bool {
	if c.dryRun {
		return e.budgets.tokens(now, c.Service) >= 1
	}
	return e.budgets.forService(c.Service).Take(now)
}

// hedgeShare returns the limit of second requests to which the call is charged.
func (e *entry) hedgeShare(c *Call) *hedge.Share {
	if c.dryRun {
		return e.hedges.shares.CopyOf(c.Service)
	}
	return e.hedges.shares.Of(c.Service)
}

// forecast is the expected result of an attempt that is not made.
type forecast struct {
	host   *fleet.Host
	policy admit.WaitPolicy
	// local is true if the gate of this host has decided, and entry if the entry has, before
	// any gate.
	local, entry bool
	preview      admit.Preview
	result       *Result
}

// tryHostsDry returns what tryHosts would, and the attempts that it would make, without
// making them. The call must be a dry run.
func (e *entry) tryHostsDry(ctx context.Context, c *Call, route *vhost.Route) (*Result, []forecast) {
	var forecasts []forecast
	r := e.tryHostsWith(ctx, c, route, func(_ context.Context, h *fleet.Host, c *Call, _ *vhost.Route, _ []*fleet.Host) *Result {
		f := e.forecastAttempt(h, c)
		f.host, f.policy = h, c.WaitPolicy
		f.result.Host = h.Member().Host
		forecasts = append(forecasts, f)
		return f.result
	})
	return r, forecasts
}

// forecastAttempt returns the expected result of offering the call to the host: the decision
// of the gate of this host, or what the last report of another one suggests.
func (e *entry) forecastAttempt(h *fleet.Host, c *Call) forecast {
	now := time.Now()
	if r := e.refuseAttempt(now, h, c); r != nil {
		return forecast{entry: true, result: r, preview: admit.Preview{Err: r.Err}}
	}
	if h.Member().Host == e.host {
		preview, r := e.gate.preview(now, c)
		return forecast{local: true, preview: preview, result: r}
	}
	figures := h.Figures(now)
	var err *errkind.Error
	switch {
	case figures.Unavailable:
		err = errkind.New(errkind.PeerUnreachable, "host %s does not respond", h.Member().Host)
	case c.WaitPolicy == admit.NoWait && figures.Utilization >= 1:
		err = errkind.New(errkind.Overloaded, "host %s has no free slot by its last report: utilization %.2f", h.Member().Host, figures.Utilization)
	default:
		return forecast{result: runResult()}
	}
	return forecast{result: &Result{Err: err, Unreachable: figures.Unavailable}, preview: admit.Preview{Err: err}}
}

// runResult is the result of a call that an upstream would get.
func runResult() *Result {
	return &Result{Arrived: true, Status: 200}
}

// preview returns what serve would decide on a call, without sending it or taking a slot.
func (g *gate) preview(now time.Time, c *Call) (admit.Preview, *Result) {
	err := g.check(now, c)
	switch {
	case err == nil:
	case err.Kind == errkind.NoOwner && g.keys.announced(c.Key):
		return admit.Preview{Queued: true}, runResult() // it would wait for the grant of its key
	default:
		return admit.Preview{Err: err}, g.refused(c, err)
	}
	behind, err := g.quarantine.previewGate(now, c)
	if err != nil {
		return admit.Preview{Err: err}, &Result{Err: err}
	}
	preview := g.limiter.Preview(c.workClass(), c.waitBounds(0))
	if preview.Err != nil {
		return preview, &Result{Err: kindError(preview.Err)}
	}
	preview.Queued = preview.Queued || behind
	return preview, runResult()
}

// previewGate returns an error if the gate must not send the call. behind is true if the call
// would wait for the end of another suspect like it.
func (q *quarantineDriver) previewGate(now time.Time, c *Call) (behind bool, err *errkind.Error) {
	r, found := q.find(c, true)
	if !found {
		return false, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.set.PeekGate(now, r, c.Keyed)
	if d.Verdict == quarantine.Refused {
		return false, q.refusal(c, d, "gate")
	}
	return d.Verdict == quarantine.Alone && q.alone[r.Fingerprint] != nil, nil
}
