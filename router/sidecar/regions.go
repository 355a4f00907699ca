package sidecar

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/residency"
	"burdockglade.dev/router/vhost"
)

// regionRules applies the allowed regions of the routes in the configuration in force. A
// nil regionRules allows all regions.
type regionRules struct {
	// host and region are those of this router.
	host, region string
	config       *currentConfig
	log          *event.Logger
	scope        tally.Scope
}

// route returns the restricted route of the call, or nil if the call may run in any
// region. It is looked up for each attempt, so that a change of the configuration applies
// to requests in progress.
func (r *regionRules) route(c *Call) *vhost.Route {
	if r == nil {
		return nil
	}
	route := c.route
	if table := r.config.table.Load(); table != nil && (table.Restricted() || (route != nil && residency.Restricted(route))) {
		if _, current := r.config.callRoute(c); current != nil {
			route = current
		}
	}
	if route == nil || !residency.Restricted(route) {
		return nil
	}
	return route
}

// requestPath returns the path of a request target, as net/http determines it. A target
// that it would refuse has the path "".
func requestPath(method, target string) string {
	if path, plain := plainPath(target); plain {
		return path
	}
	if method == http.MethodConnect && !strings.HasPrefix(target, "/") {
		return ""
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return ""
	}
	return u.Path
}

// plainPath returns the path of a target that has nothing to decode. Parsing it as a URL
// takes half a microsecond.
func plainPath(target string) (path string, plain bool) {
	if !strings.HasPrefix(target, "/") {
		return "", false
	}
	for i := range len(target) {
		switch c := target[i]; {
		case c == '?':
			return target[:i], true
		case c <= ' ' || c == '%' || c == 0x7f:
			return "", false
		}
	}
	return target, true
}

// filter returns the function that reports whether the call may be sent to a host, or nil
// if all hosts are allowed.
func (r *regionRules) filter(c *Call) func(fleet.Member) bool {
	route := r.route(c)
	if route == nil && len(c.refusedRegions) == 0 {
		return nil
	}
	return func(m fleet.Member) bool {
		return (route == nil || residency.Allowed(route, m.Region)) && !slices.Contains(c.refusedRegions, m.Region)
	}
}

// allowedHere reports whether the call may run in the region of this host.
func (r *regionRules) allowedHere(c *Call) bool {
	route := r.route(c)
	return route == nil || residency.Allowed(route, r.region)
}

// countRefusal counts and logs a call that was refused because of the region of this host.
func (r *regionRules) countRefusal(c *Call) {
	r.scope.Counter("region_refusals").Inc(1)
	r.log.Log(eventRegionRefused, event.F("request", c.RequestID), event.F("caller", c.Caller), event.F("service", c.Service),
		event.F("region", r.region), event.F("config", r.config.version()))
}

// refusal returns the error for a call that must not run in the region of this host.
func (r *regionRules) refusal() *errkind.Error {
	return errkind.New(errkind.RegionUnavailable, "the request must not run in region %q of %s", r.region, r.host)
}

// noteRegionRefusal records the region of a host that refused the call because of it. The
// host may have a newer configuration than this one.
func (c *Call) noteRegionRefusal(h *fleet.Host, r *Result) {
	if r.Err != nil && r.Err.Kind == errkind.RegionUnavailable {
		c.refusedRegions = append(c.refusedRegions, h.Member().Region)
	}
}

// chooseAllowed returns the host for the next attempt among those for which allowed
// returns true, or an error result. Hosts that are known not to respond get only probes:
// if a region is lost, its requests are refused at once.
func (e *entry) chooseAllowed(c *Call, tried []*fleet.Host, allowed func(fleet.Member) bool) (*fleet.Host, *Result) {
	now := time.Now()
	h := e.choose(now, c, tried, allowed)
	if h == nil {
		return nil, errorResult(errkind.RegionUnavailable, "no upstream of %s in an allowed region accepts requests; %d were tried", c.Service, len(tried))
	}
	if !c.allowRequest(now, h) {
		return nil, errorResult(errkind.RegionUnavailable, "no host of %s in an allowed region responds", c.Service)
	}
	return h, nil
}

// usableHolder returns the host that holds the key of the call, or an error result if the
// call must not run there or the host is known to be unreachable.
func (e *entry) usableHolder(h *fleet.Host, c *Call) (*fleet.Host, *Result) {
	if allowed := e.regions.filter(c); allowed != nil && !allowed(h.Member()) {
		return nil, errorResult(errkind.RegionUnavailable, "key %d of %s is held by host %s in region %q, where the request must not run", c.Key, c.Service, h.Member().Host, h.Member().Region)
	}
	return reachableHolder(h, c)
}

// explainsBetter reports whether the result of choosing no further host takes the place of
// the last attempt's: no allowed host is left, and the last attempt says only that its host
// could not take the request. Other refusals, such as that of an overloaded host, name the
// time at which there will be capacity.
func explainsBetter(chosen, last *Result) bool {
	if chosen.Err.Kind != errkind.RegionUnavailable || !last.notRun() {
		return false
	}
	switch last.Err.Kind {
	case errkind.PeerUnreachable, errkind.UpstreamDown, errkind.Draining, errkind.WrongOwner, errkind.NoOwner:
		return true
	}
	return false
}
