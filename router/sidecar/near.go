package sidecar

import (
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/locality"
)

// chooseNear returns the host for the next attempt of a call whose response is large, or an
// error result if no near host is left and no distant one has spare capacity.
func (e *entry) chooseNear(c *Call, tried []*fleet.Host, allowed func(fleet.Member) bool) (*fleet.Host, *Result) {
	now := time.Now()
	choose := e.fleet.ChooseNear
	if c.dryRun {
		choose = e.fleet.ChooseNearest
	}
	chosen := choose(now, c.Service, tried, allowed)
	h := chosen.Host
	switch {
	case h == nil && allowed != nil && len(tried) == 0:
		return nil, errorResult(errkind.RegionUnavailable, "no upstream of %s in an allowed region accepts requests", c.Service)
	case h == nil:
		return nil, errorResult(errkind.NoOwner, "no upstream of %s has capacity for a large response; %d were tried", c.Service, len(tried))
	case allowed != nil && !c.allowRequest(now, h):
		return nil, errorResult(errkind.RegionUnavailable, "no host of %s in an allowed region responds", c.Service)
	}
	c.spareHost = chosen.HasSpare
	c.distance = chosen.Distance
	return h, nil
}

// noteLargeAttempt counts and logs that a request with a large response is offered to a host.
func (e *entry) noteLargeAttempt(c *Call, h *fleet.Host) {
	e.metrics.countLargeAttempt(c.distance)
	if c.distance == locality.OtherRegion {
		e.log.Log(eventLargeResponseCrosses, event.F("request", c.RequestID), event.F("service", c.Service),
			event.F("host", h.Member().Host), event.F("region", h.Member().Region))
	}
}

// largeWaitPolicy returns how long a call with a large response may wait at the host that
// was chosen for it. Each host that is tried may be the last one. One that is late already
// uses spare capacity only: on a full link it would make others late as well.
func (c *Call) largeWaitPolicy(now time.Time) admit.WaitPolicy {
	if c.spareHost && now.After(c.Goal) {
		return admit.UntilDeadline
	}
	return admit.UntilGoal
}
