package sidecar

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hedge"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/vhost"
)

// hedger holds what is known of slow requests of callers on this host.
type hedger struct {
	routes *hedge.Routes
	shares *hedge.Shares
	scope  tally.Scope
	labels *metrics.TenantLabels
}

// newHedger returns nil if the settings allow no second requests.
func newHedger(settings HedgeSettings, m *entryMetrics) *hedger {
	if settings.MaxShare <= 0 {
		return nil
	}
	return &hedger{routes: hedge.NewRoutes(), shares: hedge.NewShares(settings.MaxShare), scope: m.scope, labels: m.routes}
}

// countOutcome counts a second request by what became of it.
func (g *hedger) countOutcome(route, outcome string) {
	g.scope.Tagged(map[string]string{"route": g.labels.Label(route), "outcome": outcome}).Counter("hedges").Inc(1)
}

// countDenial counts a slow request that was not sent a second time.
func (g *hedger) countDenial(route string, reason hedge.Reason) {
	g.scope.Tagged(map[string]string{"route": g.labels.Label(route), "reason": string(reason)}).Counter("hedges_denied").Inc(1)
}

// observe records the time of an attempt that began at start.
func (g *hedger) observe(route string, start time.Time, r *Result) {
	if r.usable() {
		now := time.Now()
		g.routes.Responded(now, route, now.Sub(start))
	}
}

// usable reports whether the result is a response that is not worth another attempt.
func (r *Result) usable() bool {
	return r.Err == nil && r.Status < http.StatusInternalServerError
}

// attemptHedged offers the call to the host, and to a second one if the response is slower
// than most. It returns the first usable result. If there is none, the result names the
// other attempt.
func (e *entry) attemptHedged(ctx context.Context, h *fleet.Host, c *Call, route *vhost.Route, tried []*fleet.Host) *Result {
	if e.hedges == nil || !c.hedgeRequest(route, tried).Eligible() || !e.quarantine.mayRepeat(c) {
		return e.attempt(ctx, h, c)
	}
	e.hedges.shares.Of(c.Service).Request()
	start := time.Now()
	delay, known := e.hedges.routes.Delay(start, route.Name)
	if !known {
		r := e.attempt(ctx, h, c)
		e.hedges.observe(route.Name, start, r)
		return r
	}
	return e.newPair(ctx, h, c, route, delay).run(start)
}

func (e *entry) newPair(ctx context.Context, h *fleet.Host, c *Call, route *vhost.Route, delay time.Duration) *attemptPair {
	second := *c // before the first attempt, which changes the call
	second.refusedRegions = slices.Clone(c.refusedRegions)
	second.WaitPolicy = admit.NoWait
	second.Origin = admit.Origin{}
	return &attemptPair{
		entry: e, attempt: e.attempt, ctx: ctx, call: c, secondCall: &second,
		route: route, first: h, delay: delay, done: make(chan struct{}),
	}
}

func (c *Call) hedgeRequest(route *vhost.Route, tried []*fleet.Host) hedge.Request {
	return hedge.Request{
		Repeatable: c.Repeatable && route.Repeatable, Keyed: c.Keyed, BodyKept: c.Stream == nil,
		MaxAttempts: route.MaxAttempts, Tried: len(tried),
	}
}

// errOvertaken is the cause with which a first attempt is cancelled when the second one has
// responded.
var errOvertaken = errors.New("another host responded first")

// noteOvertaken records that a cancelled attempt ran for longer than one at another host.
func noteOvertaken(ctx context.Context, h *fleet.Host, c *Call, ran time.Duration) {
	if errors.Is(context.Cause(ctx), errOvertaken) {
		h.Overtaken(ran, c.Objective)
	}
}

// attemptPair is an attempt beside which a second one may run.
type attemptPair struct {
	entry   *entry
	attempt func(context.Context, *fleet.Host, *Call) *Result
	ctx     context.Context // of the request
	call    *Call
	// secondCall is the call of the second attempt.
	secondCall *Call
	route      *vhost.Route
	first      *fleet.Host
	delay      time.Duration
	// cancelFirst ends the first attempt.
	cancelFirst context.CancelCauseFunc
	// done is closed when the second attempt has ended, after result was set.
	done chan struct{}

	mu sync.Mutex
	// firstEnded is true once the first attempt has ended; no second one begins then.
	firstEnded bool
	// second is the host of the second attempt, nil if there is none, and cancelSecond ends
	// that attempt.
	second       *fleet.Host
	cancelSecond context.CancelFunc
	// firstWon and secondWon are true if that attempt's response is passed on.
	firstWon, secondWon bool
	// result is that of the second attempt, unless the first one had won before it ended.
	result *Result
}

// run makes the first attempt in the calling goroutine. The timer begins the second one.
func (p *attemptPair) run(start time.Time) *Result {
	ctx, cancel := context.WithCancelCause(p.ctx)
	p.cancelFirst = cancel
	timer := time.AfterFunc(p.delay, p.startSecond)
	ended := false
	defer func() {
		if !ended { // a panic: the result of the second attempt is not passed on either
			timer.Stop()
			if _, secondWon := p.endFirst(true); secondWon {
				<-p.done
				p.result.close()
			}
			cancel(nil)
		}
	}()
	r := p.attempt(ctx, p.first, p.call)
	ended = true
	if timer.Stop() && r.usable() {
		p.entry.hedges.routes.RecordDelay(p.route.Name, false)
	}
	p.entry.hedges.observe(p.route.Name, start, r)
	hedged, secondWon := p.endFirst(r.usable())
	switch {
	case secondWon:
		r.close()
		cancel(nil)
		<-p.done
		return p.result
	case !hedged || r.usable():
		return withCancel(r, func() { cancel(nil) })
	}
	<-p.done
	return p.withoutWinner(withCancel(r, func() { cancel(nil) }))
}

// endFirst records the end of the first attempt, and cancels the second one if the first has
// a usable response and wins. It reports whether there is a second attempt, and whether that
// one has won already.
func (p *attemptPair) endFirst(usable bool) (hedged, secondWon bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstEnded = true
	if p.second != nil && usable && !p.secondWon {
		p.firstWon = true
		p.cancelSecond()
		if p.result != nil {
			p.result.close()
		}
	}
	return p.second != nil, p.secondWon
}

// withoutWinner returns the result of a request whose first attempt has no usable response
// and whose second one has ended.
func (p *attemptPair) withoutWinner(first *Result) *Result {
	second := p.result
	if second.usable() {
		first.close()
		return second
	}
	chosen, other, otherHost := first, second, p.second
	if first.Err != nil && second.Err == nil { // a response of an upstream comes before an error
		chosen, other, otherHost = second, first, p.first
	}
	other.close()
	chosen.hedge = &hedgedResult{second: p.second, host: otherHost, result: other}
	return chosen
}

// startSecond runs when the delay has passed. It makes the second attempt if it is allowed.
func (p *attemptPair) startSecond() {
	defer func() {
		v := recover()
		if v != nil {
			logPanic(p.entry.log, p.call.RequestID, v)
		}
		if p.second == nil {
			return
		}
		if v != nil {
			p.endSecond(&Result{Arrived: true, Err: errkind.New(errkind.OutcomeUnknown, "panic in the router of %s", p.entry.host)})
		}
		close(p.done)
	}()
	e := p.entry
	e.hedges.routes.RecordDelay(p.route.Name, true)
	ctx, call, reason := p.decide()
	if reason != hedge.None {
		e.hedges.countDenial(p.route.Name, reason)
	}
	if call == nil {
		return
	}
	e.hedges.countOutcome(p.route.Name, "sent")
	e.log.Log(eventHedged, event.F("request", call.RequestID), event.F("route", p.route.Name), event.F("service", call.Service),
		event.F("host", p.first.Member().Host), event.F("second_host", p.second.Member().Host), event.F("delay_ms", p.delay.Milliseconds()))
	start := time.Now()
	r := p.attempt(ctx, p.second, call)
	e.hedges.observe(p.route.Name, start, r)
	p.endSecond(r)
}

// decide returns the context and the call for a second attempt. The call is nil if there is
// none, because of the reason or because the first attempt has ended.
func (p *attemptPair) decide() (context.Context, *Call, hedge.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstEnded || p.ctx.Err() != nil {
		return nil, nil, hedge.None
	}
	second, reason := p.entry.decideHedge(p.ctx, p.secondCall, p.route, p.first, p.delay)
	if reason != hedge.None {
		return nil, nil, reason
	}
	p.second = second
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancelSecond = cancel
	return ctx, p.secondCall, hedge.None
}

// endSecond records the result of the second attempt, and cancels the first one if the
// second has a usable response and wins.
func (p *attemptPair) endSecond(r *Result) {
	p.mu.Lock()
	outcome := "failed"
	switch {
	case p.firstWon:
		outcome = "cancelled"
		r.close()
		p.cancelSecond()
	case r.usable():
		outcome = "won"
		p.secondWon = true
		p.result = withCancel(r, p.cancelSecond)
		p.cancelFirst(errOvertaken)
	default:
		p.result = withCancel(r, p.cancelSecond)
	}
	p.mu.Unlock()
	p.entry.hedges.countOutcome(p.route.Name, outcome)
	p.entry.log.Log(eventHedgeEnded, event.F("request", p.call.RequestID), event.F("route", p.route.Name),
		event.F("second_host", p.second.Member().Host), event.F("outcome", outcome))
}

// decideHedge decides whether the call, whose first attempt is running, is sent a second
// time, and returns the host for it.
func (e *entry) decideHedge(ctx context.Context, c *Call, begun *vhost.Route, first *fleet.Host, delay time.Duration) (*fleet.Host, hedge.Reason) {
	table, route := e.config.callRoute(c)
	if route == nil || route.Name != begun.Name || !sendsTo(route, c.Service) {
		return nil, hedge.RouteChanged
	}
	if s := table.Service(c.Service); s != nil && s.Keyed {
		return nil, hedge.RouteChanged
	}
	now := time.Now()
	hosts, utilization := e.fleet.Spare(now, c.Service, e.regions.filter(c))
	state := hedge.State{
		Request: c.hedgeRequest(route, nil), Stopping: e.stoppingFor() > 0, Delay: delay, Left: c.Deadline.Sub(now),
		Hosts: hosts, Utilization: utilization, SlowRoute: e.hedges.routes.Slow(route.Name),
	}
	var second *fleet.Host
	reason := hedge.Decide(state, hedge.Limits{
		Share: e.hedgeShare(c),
		ChooseHost: func() bool {
			h, refused := e.chooseHost(ctx, c, []*fleet.Host{first}, nil)
			if refused != nil || !h.Reachable(now) || h.Member().Cold(now) {
				return false
			}
			second = h
			return true
		},
		TakeRetry: func() bool { return e.takeRetry(now, c) },
	})
	return second, reason
}

// sendsTo reports whether the route sends requests to the service.
func sendsTo(route *vhost.Route, service string) bool {
	return slices.ContainsFunc(route.Clusters, func(c vhost.Cluster) bool { return c.Service == service && c.Weight > 0 })
}

// withCancel returns the result with a body whose Close calls cancel. Without a body, it
// calls cancel at once.
func withCancel(r *Result, cancel context.CancelFunc) *Result {
	if r.Body == nil {
		cancel()
		return r
	}
	r.Body = &cancelOnClose{ReadCloser: r.Body, cancel: cancel}
	return r
}

// hedgedResult is the other result of a request that was sent twice without a usable
// response.
type hedgedResult struct {
	// second is the host of the second attempt.
	second *fleet.Host
	// host is the host of result.
	host   *fleet.Host
	result *Result
}

// countHedge adds the other attempt of a hedged request to those of the request.
func (c *Call) countHedge(r *Result, tried []*fleet.Host, arrivals int, mayHaveRun bool) ([]*fleet.Host, int, bool) {
	if r.hedge == nil {
		return tried, arrivals, mayHaveRun
	}
	other := r.hedge.result
	c.noteRegionRefusal(r.hedge.host, other)
	if other.Arrived {
		arrivals++
	}
	return append(tried, r.hedge.second), arrivals, mayHaveRun || !other.notRun()
}
