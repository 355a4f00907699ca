package sidecar

import (
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/expectation"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/locality"
)

// target returns the hosts that refuse calls as often as the host is expected to.
func (e *entry) target(h *fleet.Host, c *Call) expectation.Target {
	m := h.Member()
	return expectation.Target{Service: c.Service, Distance: e.place.DistanceTo(locality.Place{Zone: m.Zone, Region: m.Region})}
}

// defersBody reports whether the host gets the body of the call only once it has admitted
// the call.
func (e *entry) defersBody(now time.Time, h *fleet.Host, c *Call) bool {
	return e.refusals.Defers(now, e.target(h, c), len(c.Body), c.Objective)
}

// observeRefusal records whether the host refused the call for lack of capacity.
func (e *entry) observeRefusal(start time.Time, h *fleet.Host, c *Call, r *Result) {
	now := time.Now()
	refused := r.Err != nil && !r.Arrived && r.Err.Kind == errkind.Overloaded
	e.refusals.Observe(now, e.target(h, c), refused, now.Sub(start))
	if r.bodyDeferred {
		e.metrics.countDeferredBody(refused)
	}
}
