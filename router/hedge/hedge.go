// Package hedge decides when a request that may be repeated is sent a second time, to
// another host, because its response is slower than most. The caller passes the time in;
// the package has no clock, timer or goroutine.
package hedge

import "time"

const (
	// maxUtilization is the mean utilization of a service's hosts above which it is short
	// of capacity: second requests would then slow the first ones down.
	maxUtilization = 0.7
	// minHosts is the number of ready hosts that a service needs.
	minHosts = 2
	// minAttempts is the number of upstreams that the route must allow for one request.
	minAttempts = 2
	// deadlineFactor is the number of delays that must be left until the deadline: a second
	// response that takes as long as the slowest usual ones still arrives.
	deadlineFactor = 2
)

// Request describes a request before its first attempt.
type Request struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Keyed is true if only one host may run the request.
	Keyed bool
	// BodyKept is true if the body can be sent again.
	BodyKept bool
	// MaxAttempts is the maximum number of upstreams to which the request is sent.
	MaxAttempts int
	// Tried is the number of hosts to which it has been offered.
	Tried int
}

// Eligible reports whether the request may be sent a second time at all.
func (r Request) Eligible() bool {
	return r.Repeatable && !r.Keyed && r.BodyKept && r.MaxAttempts >= minAttempts && r.Tried == 0
}

// Reason says why a request was not sent a second time. The values are labels of a metric.
type Reason string

// The reasons.
const (
	// None: the request is sent a second time.
	None Reason = ""
	// RouteChanged: the configuration in force no longer allows it.
	RouteChanged Reason = "route_changed"
	// Stopping: the router stops.
	Stopping Reason = "stopping"
	// Deadline: too little time is left.
	Deadline Reason = "deadline"
	// FewHosts: the service has no second ready host.
	FewHosts Reason = "few_hosts"
	// Capacity: the service is short of capacity.
	Capacity Reason = "capacity"
	// SlowRoute: most requests of the route are slow, so that another host is slow as well.
	SlowRoute Reason = "slow_route"
	// NoHost: no second host may be chosen.
	NoHost Reason = "no_host"
	// ShareUsed: the limit that the operator has set is reached.
	ShareUsed Reason = "share"
	// RetryBudget: the retry budget is used up.
	RetryBudget Reason = "retry_budget"
)

// State is what is known of a running request and its service when the delay has passed.
type State struct {
	// Request describes the request by the configuration in force.
	Request Request
	// Stopping is true if the router stops.
	Stopping bool
	// Delay is the delay that has passed, Left the time until the deadline.
	Delay, Left time.Duration
	// Hosts is the number of ready hosts of the service, Utilization the mean utilization
	// that they report.
	Hosts       int
	Utilization float64
	// SlowRoute is the result of Routes.Slow.
	SlowRoute bool
}

// Limits are the limits that a second request is charged to.
type Limits struct {
	Share *Share
	// ChooseHost chooses the second host and reports whether there is one. TakeRetry takes
	// a token from the retry budget and reports whether there was one. Both are called at
	// most once, in this order and only if all conditions before them hold.
	ChooseHost func() bool
	TakeRetry  func() bool
}

// Decide returns None if the request is to be sent a second time, and otherwise the reason
// why not. It charges the limits only if it returns None.
func Decide(s State, l Limits) Reason {
	if reason := s.denial(); reason != None {
		return reason
	}
	if !l.ChooseHost() {
		return NoHost
	}
	if !l.Share.Take() {
		return ShareUsed
	}
	if !l.TakeRetry() {
		l.Share.giveBack()
		return RetryBudget
	}
	return None
}

func (s State) denial() Reason {
	switch {
	case !s.Request.Eligible():
		return RouteChanged
	case s.Stopping:
		return Stopping
	case s.Left < deadlineFactor*s.Delay:
		return Deadline
	case s.Hosts < minHosts:
		return FewHosts
	case s.Utilization > maxUtilization:
		return Capacity
	case s.SlowRoute:
		return SlowRoute
	}
	return None
}
