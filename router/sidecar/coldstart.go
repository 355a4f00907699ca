package sidecar

import (
	"sync"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/slowstart"
	"burdockglade.dev/router/vhost"
)

const (
	// unknownColdRate is the rate that a cold upstream is assumed to tolerate while
	// there is no configuration.
	unknownColdRate = 1
	// coldRowTolerance is how much the end of the coldness in the member row may be wrong:
	// each correction costs a write.
	coldRowTolerance = 2 * time.Second
)

// coldStart applies what is known of the coldness of the local upstream to the gate.
type coldStart struct {
	// mu is held from the reading of the state until it is applied, so that an earlier state
	// is never applied after a later one.
	mu sync.Mutex
	// bound is the bound that was applied last.
	bound slowstart.Bound
	// published is what the member row says.
	published publishedCold
}

// publishedCold is what the member row says of the coldness of the upstream.
type publishedCold struct {
	of        fleet.Incarnation
	until     time.Time
	perSecond float64
}

// applyCold brings the bound on the requests to the upstream up to date. It reports whether
// other hosts must be notified.
func (s *Sidecar) applyCold() (changed bool) {
	c := &s.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	now, state := time.Now(), s.local.get()
	bound, until := s.coldBound(state)
	if bound == (slowstart.Bound{}) || !until.After(now) {
		bound, until = slowstart.Bound{}, time.Time{}
	}
	recent := s.gate.limiter.SetCold(bound, until)
	if bound != c.bound {
		s.logCold(now, state, bound, until, recent)
	}
	c.bound = bound
	if state.cold.Uncertain() {
		return false
	}
	p := publishedCold{of: state.incarnation(), until: until, perSecond: bound.PerSecond}
	if !c.published.differs(now, p) {
		return false
	}
	c.published = p
	return true
}

// coldBound returns the bound on the requests to the upstream and the time at which it ends.
func (s *Sidecar) coldBound(state upstreamState) (slowstart.Bound, time.Time) {
	if !state.known {
		return slowstart.Bound{}, time.Time{}
	}
	var service vhost.Service
	if t := s.config.table.Load(); t == nil {
		service.ColdRate = unknownColdRate
	} else if v := t.Service(state.service); v != nil {
		service = *v
	}
	terms := &s.settings.Terms
	return slowstart.NewBound(service.ColdRate, terms.ColdOverage, terms.ColdSlack), state.cold.Until(service.ColdStart)
}

// differs reports whether the row must be written again. A row whose time has passed says
// that the upstream is warm.
func (p publishedCold) differs(now time.Time, next publishedCold) bool {
	was, is := p.of == next.of && p.until.After(now), next.until.After(now)
	if !was || !is {
		// The row of an upstream that is warm before its time may stay until about then.
		return is || p.until.Sub(now) > coldRowTolerance
	}
	return p.perSecond != next.perSecond || next.until.Sub(p.until).Abs() > coldRowTolerance
}

func (s *Sidecar) logCold(now time.Time, state upstreamState, bound slowstart.Bound, until time.Time, recent int) {
	s.scope.Gauge("cold_requests_per_second").Update(bound.PerSecond)
	if bound == (slowstart.Bound{}) {
		s.log.Log(eventWarm, event.F("instance", state.holder.Instance), event.F("started", state.holder.Started))
		return
	}
	s.scope.Counter("cold_bounds").Inc(1)
	s.log.Log(eventCold, event.F("instance", state.holder.Instance), event.F("started", state.holder.Started), event.F("cold_ms", until.Sub(now).Milliseconds()),
		event.F("stated", state.cold.Stated()), event.F("per_second", bound.PerSecond), event.F("burst", bound.Burst), event.F("sent_in_last_second", recent))
}

// assumeCold makes the upstream count as cold until a heartbeat that arrives later says
// otherwise, or for the time for which upstreams of its service are cold after their start:
// it may have restarted, or its zone was taken back into service.
func (s *Sidecar) assumeCold() {
	s.local.assumeCold(time.Now())
	if s.applyCold() {
		s.upstreamChanged(s.local.get())
	}
}

// assumeCold records a sign that the upstream may be cold.
func (u *localUpstream) assumeCold(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state.cold.Assume(now)
}

// coldRow returns the fields of the member row that say until when the upstream is cold, in
// Unix milliseconds, and how many requests per second it then takes.
func (c *coldStart) coldRow(of fleet.Incarnation) (until int64, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.published.of != of || c.published.until.IsZero() {
		return 0, 0
	}
	return c.published.until.UnixMilli(), c.published.perSecond
}
