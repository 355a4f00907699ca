package sidecar

import (
	"slices"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/residency"
)

// keyRegions returns the regions in which the keys of a service belong by the
// configuration in force.
func (c *currentConfig) keyRegions(service string) residency.Regions {
	t := c.table.Load()
	if t == nil || !t.Restricted() {
		return residency.Regions{}
	}
	return residency.KeyRegions(t.Routes(), service)
}

// eligibleMembers returns the upstreams that may be assigned keys.
func (d *keyDriver) eligibleMembers(service string, now boottime.Time) []keyrange.Member {
	_, eligible := d.placement(service, now)
	return eligible
}

// placement returns the upstreams that are ready, and those of them that may be assigned
// keys.
func (d *keyDriver) placement(service string, now boottime.Time) (ready, eligible []keyrange.Member) {
	ready = d.readyMembers(service, now)
	if d.keyRegions == nil {
		return ready, ready
	}
	regions := d.keyRegions(service)
	eligible, confined := residency.KeyHosts(regions, ready, func(m keyrange.Member) string {
		if h := d.fleet.Host(m.Host); h != nil {
			return h.Member().Region
		}
		return ""
	})
	if d.outsideRegions == confined {
		d.outsideRegions = !confined
		d.log.Log(eventKeyRegions, event.F("service", service), event.F("confined", confined), event.F("hosts", len(eligible)))
	}
	return ready, eligible
}

// isHostOf reports whether the host is among the members.
func isHostOf(host string, members []keyrange.Member) bool {
	return slices.ContainsFunc(members, func(m keyrange.Member) bool { return m.Host == host })
}
