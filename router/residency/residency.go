// Package residency decides in which regions the requests of a route may run, and which
// hosts of a keyed service may be assigned keys. It has no state.
package residency

import (
	"slices"

	"burdockglade.dev/router/vhost"
)

// Restricted reports whether there are regions in which requests of the route must not
// run.
func Restricted(r *vhost.Route) bool {
	return r.RegionsUnreadable || len(r.Regions) > 0
}

// Allowed reports whether requests of the route may run in the region.
func Allowed(r *vhost.Route, region string) bool {
	return !Restricted(r) || (!r.RegionsUnreadable && slices.Contains(r.Regions, region))
}

// Regions is a set of regions. The zero value contains all.
type Regions struct {
	restricted bool
	names      []string
}

// Contains reports whether the region is in the set.
func (r Regions) Contains(region string) bool {
	return !r.restricted || slices.Contains(r.names, region)
}

// All reports whether the set contains all regions.
func (r Regions) All() bool {
	return !r.restricted
}

// KeyRegions returns the regions that all routes to the service allow. Routes whose
// regions are unreadable do not count, because their requests are refused wherever the
// keys are.
func KeyRegions(routes []vhost.Route, service string) Regions {
	var common Regions
	for i := range routes {
		r := &routes[i]
		if r.RegionsUnreadable || len(r.Regions) == 0 || !sendsTo(r, service) {
			continue
		}
		if !common.restricted {
			common = Regions{restricted: true, names: slices.Clone(r.Regions)}
			continue
		}
		common.names = slices.DeleteFunc(common.names, func(name string) bool { return !slices.Contains(r.Regions, name) })
	}
	return common
}

// sendsTo reports whether the route sends requests to the service.
func sendsTo(r *vhost.Route, service string) bool {
	return slices.ContainsFunc(r.Clusters, func(c vhost.Cluster) bool { return c.Service == service && c.Weight > 0 })
}

// KeyHosts returns the hosts that may be assigned keys: those in the regions, or all if
// there are none. hosts are the eligible hosts of the service; region returns the region
// of one. confined is false if hosts outside the regions are among the result.
func KeyHosts[H any](regions Regions, hosts []H, region func(H) string) (eligible []H, confined bool) {
	if regions.All() {
		return hosts, true
	}
	inside := make([]H, 0, len(hosts))
	for _, h := range hosts {
		if regions.Contains(region(h)) {
			inside = append(inside, h)
		}
	}
	if len(inside) == 0 {
		return hosts, len(hosts) == 0
	}
	return inside, true
}
