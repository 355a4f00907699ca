package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/explain"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hedge"
	"burdockglade.dev/router/quarantine"
	"burdockglade.dev/router/vhost"
)

const (
	// explainBytes is the memory of an explanation: explain.MaxHosts hosts and their JSON.
	explainBytes = 256 << 10
	// explainWriteTimeout bounds the time to send an explanation.
	explainWriteTimeout = 10 * time.Second
)

// explainHandler serves explanations, and leaves all other requests to next.
func (s *Sidecar) explainHandler(next http.Handler) http.Handler {
	if !s.settings.Explain.Enabled {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != explain.Path {
			next.ServeHTTP(w, req)
			return
		}
		w.Header().Set("Cache-Control", "no-store")
		// An error shows when the response is written.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(explainWriteTimeout))
		data, outcome, err := s.serveExplain(req)
		s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("explanations").Inc(1)
		if err != nil {
			errkind.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data) // the client may have left
	})
}

// serveExplain returns the encoded explanation and the outcome for the metric.
func (s *Sidecar) serveExplain(req *http.Request) (data []byte, outcome string, err error) {
	if req.Method != http.MethodGet {
		return nil, "invalid", errkind.New(errkind.NotFound, "%s %s is not a call of this router", req.Method, explain.Path)
	}
	q, err := explain.Decode(req.URL.RawQuery)
	if err != nil {
		return nil, "invalid", err
	}
	if !s.explaining.TryLock() { // heartbeats come first
		return nil, "busy", errkind.New(errkind.Overloaded, "another explanation is in progress")
	}
	defer s.explaining.Unlock()
	if c := connguard.Of(req.Context()); c != nil && !c.Charge(explainBytes) {
		return nil, "busy", connguard.NoMemory()
	}
	defer func() {
		if v := recover(); v != nil {
			s.log.Log(eventExplainFailed, event.F("panic", fmt.Sprint(v)), event.F("stack", string(debug.Stack())))
			data, outcome, err = nil, "failed", errkind.New(errkind.Internal, "the explanation ended with a panic; see event %d in the log", eventExplainFailed.Number)
		}
	}()
	x, err := s.entry.explain(req.Context(), q)
	if err != nil {
		return nil, "invalid", err
	}
	x.Router = explain.Router{Host: s.settings.Host.Name, Zone: s.settings.Host.Zone, Region: s.settings.Host.Region}
	s.log.Log(eventExplained, event.F("remote", req.RemoteAddr), event.F("method", q.Method), event.F("host", q.Host),
		event.F("path", q.Path[:min(len(q.Path), maxLoggedPath)]), event.F("served", x.Outcome.Served), event.F("kind", string(x.Outcome.Kind)))
	if data, err = json.Marshal(x); err != nil {
		return nil, "failed", errkind.New(errkind.Internal, "encoding: %w", err)
	}
	if x.Outcome.Served {
		return data, "served", nil
	}
	return data, "refused", nil
}

// explainedRequest returns the request of a caller that the question describes.
func (e *entry) explainedRequest(q explain.Question) (*http.Request, error) {
	u, err := url.ParseRequestURI(q.Path)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "path: %w", err)
	}
	req := &http.Request{Method: q.Method, Host: q.Host, URL: u, RequestURI: q.Path, Header: http.Header{}}
	if q.Key != "" {
		req.Header.Set(e.headers.Key, q.Key)
	}
	if q.DeadlineMs > 0 {
		req.Header.Set(e.headers.DeadlineMs, strconv.FormatInt(q.DeadlineMs, 10))
	}
	return req, nil
}

// explain returns what the entry would do with the request. It changes nothing. Errors have
// the kind BadRequest.
func (e *entry) explain(ctx context.Context, q explain.Question) (*explain.Explanation, error) {
	req, err := e.explainedRequest(q)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	x := &explain.Explanation{Request: q, Services: []explain.Service{}}
	if err := e.checkStopping(); err != nil {
		x.Outcome = refusedOutcome(now, now.Add(maxRetryAfter), err)
		return x, nil
	}
	table, route, refusal := e.lookup(req)
	if table != nil {
		x.Config = &explain.Config{Version: table.Version(), AgeMs: -1}
		if at := e.config.lastConfirmed(); !at.IsZero() {
			x.Config.AgeMs = explain.Millis(now.Sub(at))
		}
	}
	if refusal != nil {
		x.Outcome = refusedOutcome(now, now.Add(maxRetryAfter), refusal)
		return x, nil
	}
	x.Route = explainedRoute(route)
	var sum float64
	for _, cluster := range route.Clusters {
		sum += cluster.Weight
	}
	for _, cluster := range route.Clusters {
		if cluster.Weight == 0 || (q.Service != "" && cluster.Service != q.Service) {
			continue
		}
		x.Services = append(x.Services, e.explainService(ctx, req, table, route, cluster.Service, cluster.Weight/sum))
	}
	if len(x.Services) == 0 {
		return nil, errkind.New(errkind.BadRequest, "route %q sends no requests to service %q", route.Name, q.Service)
	}
	listed := 0
	for i := range x.Services {
		listed = x.Services[i].LimitHosts(explain.MaxHosts, listed)
	}
	x.Outcome = explain.Conclude(x.Services)
	return x, nil
}

// explainService explains what happens if the request goes to the service.
func (e *entry) explainService(ctx context.Context, req *http.Request, table *vhost.Table, route *vhost.Route, service string, share float64) explain.Service {
	now := time.Now()
	x := explain.Service{
		Name: service, Share: share, Kind: "plain", CostJitter: fleet.CostJitter, Attempts: []explain.Attempt{}, Hosts: []explain.Host{},
		RetryBudget: explain.RetryBudget{Tokens: e.budgets.tokens(now, service)},
		DeadlineMs:  explain.Millis(e.remainingTime(req, route)),
	}
	if s := table.Service(service); s != nil && s.Keyed {
		x.Kind = "keyed"
		if s.KeysByCommand {
			x.Kind = "keyed_by_command"
		}
	}
	c, err := e.buildCall(req, requestBody{}, table, route, now, service, e.maxTimes.peek)
	if err != nil {
		x.Hosts = e.explainHosts(now, &Call{Service: service, Method: req.Method, Host: req.Host, Target: req.RequestURI, route: route})
		x.Outcome = refusedOutcome(now, now, err)
		return x
	}
	c.dryRun = true
	x.Key = e.explainKey(now, c)
	x.Hosts = e.explainHosts(now, c)
	for i := range x.Hosts {
		if h := &x.Hosts[i]; c.Keyed {
			h.MayBeFirst = h.Host == x.Key.Holder
		}
	}
	x.LocalGate = e.explainGate(now, c)
	x.Quarantine = e.explainQuarantine(now, c)
	r, forecasts := e.tryHostsDry(ctx, c, route)
	for _, f := range forecasts {
		x.Attempts = explain.JoinAttempts(x.Attempts, e.explainAttempt(f))
	}
	var first *fleet.Host
	if len(forecasts) > 0 && forecasts[0].result.Err == nil {
		first = forecasts[0].host
	}
	x.Hedging = e.explainHedging(ctx, now, c, route, first)
	if r.Err != nil {
		x.Outcome = refusedOutcome(now, c.Deadline, r.Err)
		return x
	}
	x.Outcome = explain.Outcome{Served: true, Host: r.Host}
	return x
}

func refusedOutcome(now, deadline time.Time, err *errkind.Error) explain.Outcome {
	status, retryAfter := statusFor(err, now, deadline)
	return explain.Outcome{Status: status, Kind: err.Kind, Detail: err.Detail, RetryAfterMs: explain.Millis(retryAfter)}
}

func explainedRoute(route *vhost.Route) *explain.Route {
	return &explain.Route{
		Name: route.Name, Host: route.Host, Prefix: route.Prefix, Priority: route.Priority, Repeatable: route.Repeatable,
		LargeResponses: route.LargeResponses, TimeoutMs: route.Timeout.Milliseconds(), TargetLatencyMs: route.TargetLatency.Milliseconds(),
		MaxAttempts: max(route.MaxAttempts, 1), Regions: append([]string{}, route.Regions...), RegionsUnreadable: route.RegionsUnreadable,
	}
}

// explainKey returns what the key map says of the key of the call, or nil if it has none.
func (e *entry) explainKey(now time.Time, c *Call) *explain.Key {
	if !c.Keyed {
		return nil
	}
	x := &explain.Key{Key: c.Key, MapAgeMs: -1}
	im := e.keys.current(c.Service)
	if im == nil {
		return x
	}
	x.MapVersion, x.MapAgeMs = im.version, explain.Millis(now.Sub(im.since))
	if r := im.keys.Find(c.Key); r != nil {
		x.Holder, x.Instance, x.Generation, x.Next = r.Holder.Host, r.Holder.Instance, r.Generation, r.Next
	}
	return x
}

// explainHosts returns the hosts of the call's service.
func (e *entry) explainHosts(now time.Time, c *Call) []explain.Host {
	ranked := e.fleet.Rank(now, c.Service, e.regions.filter(c))
	near := ""
	if c.Large && !c.Keyed { // chosen by distance and not by cost
		if h := e.fleet.ChooseNearest(now, c.Service, nil, e.regions.filter(c)).Host; h != nil {
			near = h.Member().Host
		}
	}
	hosts := make([]explain.Host, 0, len(ranked))
	for i, r := range ranked {
		m := r.Member
		h := explain.Host{
			Host: m.Host, Zone: m.Zone, Region: m.Region, State: string(m.State), Excluded: string(r.Excluded), Cost: r.Cost,
			MayBeFirst:  r.Excluded == fleet.Eligible && (i == 0 || r.Cost < ranked[0].Cost+fleet.CostJitter),
			Utilization: r.Utilization, Reported: r.Load.Utilization(), LoadAgeMs: -1, Slots: r.Slots, InFlight: r.InFlight,
			Pace: 1, Link: r.Load.Link, LinkMbps: m.LinkMbps, ErrorRate: r.ErrorRate, Slowness: r.Slowness,
			Unreachable: r.Unavailable, Silent: r.Silent, ProbeDue: r.Probe, Cold: r.Cold, Local: m.Host == e.host,
		}
		if c.Large && !c.Keyed {
			h.MayBeFirst = m.Host == near
		}
		if r.LoadAge >= 0 {
			h.LoadAgeMs = explain.Millis(r.LoadAge)
		} else {
			h.Reported = 0
		}
		if r.Load.Pace > 0 {
			h.Pace = float64(r.Load.Pace) / 100
		}
		if r.Cold {
			h.ColdForMs, h.ColdRate = m.ColdUntil-now.UnixMilli(), m.ColdRate
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// explainGate returns the decision of the gate of this host on the call as a first attempt,
// or nil if its upstream serves another service.
func (e *entry) explainGate(now time.Time, c *Call) *explain.Gate {
	if s := e.gate.local.get(); !s.known || s.service != c.Service {
		return nil
	}
	first := *c
	first.WaitPolicy = waitPolicy(c, 0)
	preview, r := e.gate.preview(now, &first)
	x := explainedGate(preview, r)
	x.Slots, x.InFlight, x.Waiting = e.gate.limiter.Stats()
	return &x
}

func explainedGate(p admit.Preview, r *Result) explain.Gate {
	x := explain.Gate{Decision: explain.DecisionAdmitted, ExpectedWaitMs: explain.Millis(p.Wait), Late: p.Late}
	if p.Queued {
		x.Decision = explain.DecisionQueued
	}
	if r.Err != nil {
		x.Decision, x.Kind, x.Detail, x.RetryAfterMs = explain.DecisionRefused, r.Err.Kind, r.Err.Detail, explain.Millis(r.Err.RetryAfter)
	}
	return x
}

// waitPolicyNames are the names of the wait policies in explanations.
var waitPolicyNames = map[admit.WaitPolicy]string{admit.NoWait: "none", admit.UntilGoal: "until_goal", admit.UntilDeadline: "until_deadline"}

func (e *entry) explainAttempt(f forecast) explain.Attempt {
	x := explain.Attempt{Host: f.host.Member().Host, WaitPolicy: waitPolicyNames[f.policy], Gate: explainedGate(f.preview, f.result)}
	switch {
	case f.entry:
		x.Basis = explain.BasisEntry
	case f.local:
		x.Basis = explain.BasisLocalGate
	default:
		x.Basis = explain.BasisLastReport
		if f.result.Err == nil {
			x.Decision = explain.DecisionSent
		}
	}
	return x
}

// explainHedging returns when the call would be sent a second time beside its first attempt
// at the host first, which is nil if that attempt is refused. It returns nil if no request is
// sent twice.
func (e *entry) explainHedging(ctx context.Context, now time.Time, c *Call, route *vhost.Route, first *fleet.Host) *explain.Hedging {
	if e.hedges == nil {
		return nil
	}
	delay, known := e.hedges.routes.Delay(now, route.Name)
	x := &explain.Hedging{
		Eligible: c.hedgeRequest(route, nil).Eligible() && e.quarantine.mayRepeat(c),
		DelayMs:  -1, ShareTokens: e.hedges.shares.CopyOf(c.Service).Tokens(),
	}
	if known {
		x.DelayMs = explain.Millis(delay)
	}
	if !x.Eligible || !known || first == nil {
		return x
	}
	second := *c
	second.WaitPolicy = admit.NoWait
	second.Deadline = c.Deadline.Add(-delay) // as it will be when the delay has passed
	host, reason := e.decideHedge(ctx, &second, route, first, delay)
	if x.Denied = string(reason); reason == hedge.None {
		x.Host = host.Member().Host
	}
	return x
}

// verdictNames are the names of the verdicts of the quarantine in explanations.
var verdictNames = map[quarantine.Verdict]string{quarantine.Free: "free", quarantine.Alone: "alone", quarantine.Refused: "refused", quarantine.Trial: "trial"}

// explainQuarantine returns what the quarantine says of the call, or nil if it is switched
// off.
func (e *entry) explainQuarantine(now time.Time, c *Call) *explain.Quarantine {
	q := e.quarantine
	if q == nil {
		return nil
	}
	d := q.decideAtEntry(c, true)
	x := &explain.Quarantine{Verdict: verdictNames[d.Verdict], Crashes: d.Crashes, RetryAfterMs: explain.Millis(d.RetryAfter), TrialHost: d.Host}
	q.mu.Lock()
	defer q.mu.Unlock()
	x.OtherBodies = q.set.OtherBodies(quarantine.Fingerprint{Head: quarantine.HashHead(c.Service, c.Method, c.Host, c.Target), Body: quarantine.HashBody(nil)})
	return x
}
