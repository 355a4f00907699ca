package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"burdockglade.dev/router/hop"
)

// Costs that are added to a host's utilization when hosts are compared. Traffic
// between zones is billed by volume, and the latency between regions is 8 ms.
const (
	otherZoneCost   = 0.2
	otherRegionCost = 1.0
	// errorCost is multiplied by the error rate.
	errorCost = 1.5
	// slownessCost is the cost of a host that is twice as slow as the mean. It
	// applies at most maxExcessSlowness times.
	slownessCost      = 0.3
	maxExcessSlowness = 3
	// unavailableCost ranks hosts that are unreachable or silent behind all others.
	unavailableCost = 10
	// costJitter bounds a random cost, which keeps routers with the same data from
	// choosing the same host.
	costJitter = 0.08
	// overloadCost is multiplied by the utilization above 1, at which requests wait.
	overloadCost = 2
)

// Directory contains the known hosts by name. It is safe for concurrent use.
type Directory struct {
	zone, region string
	dial         func(address string) *hop.Client

	mu        sync.RWMutex
	hosts     map[string]*Host
	byService map[string][]*Host
	// reassigned holds the hosts whose address now belongs to another host.
	reassigned map[string]bool
	// leaving holds the notices of upstreams that leave, by host, oldest first.
	leaving map[string][]leaving
	// evacuated reports whether a zone is evacuated, so that its hosts get no requests.
	evacuated func(zone string) bool
}

// NewDirectory returns an empty directory for a host in the zone and region.
// dial returns the client for a host's address.
func NewDirectory(zone, region string, dial func(address string) *hop.Client) *Directory {
	return &Directory{zone: zone, region: region, dial: dial, hosts: map[string]*Host{}, byService: map[string][]*Host{}, leaving: map[string][]leaving{}, evacuated: func(string) bool { return false }}
}

// SetEvacuated sets the function that reports whether a zone is evacuated. It must be
// called before the directory is used.
func (d *Directory) SetEvacuated(evacuated func(zone string) bool) {
	d.evacuated = evacuated
}

// Put adds or updates a host that is known to exist regardless of its row, such as
// this one.
func (d *Directory) Put(m Member) {
	d.PutRow(m, math.MaxInt64)
}

// PutRow adds or updates a host whose member data was read from a row with the
// version.
func (d *Directory) PutRow(m Member, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Leaving {
		d.markLeaving(time.Now(), m.Host, m.Incarnation())
	}
	h := d.hosts[m.Host]
	if h == nil || h.Client.Address() != m.Address {
		h = &Host{Client: d.dial(m.Address)}
		d.hosts[m.Host] = h
	}
	h.mu.Lock()
	if h.member.Incarnation() != m.Incarnation() {
		h.slowness, h.errorRate = 0, 0
	}
	h.noteStopping(time.Now(), m)
	h.member = m
	h.rowVersion = max(h.rowVersion, version)
	h.mu.Unlock()
	d.rebuildIndex()
}

// Remove removes a host and closes its idle connections.
func (d *Directory) Remove(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[host]; h != nil {
		h.Client.CloseIdle()
		delete(d.hosts, host)
		d.rebuildIndex()
	}
}

// rebuildIndex recomputes the hosts of each service, without those whose address
// now belongs to another host. d.mu must be held.
func (d *Directory) rebuildIndex() {
	d.byService = map[string][]*Host{}
	latest := map[string]int64{}
	for _, h := range d.hosts {
		latest[h.Member().Address] = max(latest[h.Member().Address], h.rowVersion)
	}
	d.reassigned = map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		h := d.hosts[name]
		if h.rowVersion < latest[h.Member().Address] {
			d.reassigned[name] = true
			continue
		}
		service := h.Member().Service
		d.byService[service] = append(d.byService[service], h)
	}
}

// Host returns the host with the name, or nil if it is not known.
func (d *Directory) Host(name string) *Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hosts[name]
}

// AddressReassigned reports whether the address of a host belongs to another host
// according to a later row. An address is reassigned only after the earlier host
// has ended.
func (d *Directory) AddressReassigned(host string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.reassigned[host]
}

// HostCount returns the number of known hosts.
func (d *Directory) HostCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.hosts)
}

// Members returns the members of a service, sorted by host name.
func (d *Directory) Members(service string) []Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	members := make([]Member, 0, len(d.byService[service]))
	for _, h := range d.byService[service] {
		members = append(members, d.current(now, h.Member()))
	}
	return members
}

// Sample returns up to n random hosts other than self that are not stopping,
// unreachable or silent.
func (d *Directory) Sample(n int, self string, now time.Time) []*Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var hosts []*Host
	for name, h := range d.hosts {
		if v := h.view(now); name != self && v.member.State != Stopping && !v.unavailable {
			hosts = append(hosts, h)
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

// InZone returns the known hosts of a zone, sorted by name.
func (d *Directory) InZone(zone string) []*Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var hosts []*Host
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		if h := d.hosts[name]; h.Member().Zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// ZoneCount returns the number of zones with known hosts.
func (d *Directory) ZoneCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	zones := map[string]bool{}
	for _, h := range d.hosts {
		zones[h.Member().Zone] = true
	}
	return len(zones)
}

// Running returns the hosts that are known to run, in no order.
func (d *Directory) Running(now time.Time) []Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	members := make([]Member, 0, len(d.hosts))
	for _, h := range d.hosts {
		if h.readable(now) {
			members = append(members, h.Member())
		}
	}
	return members
}

// Choose returns the host with the lowest cost among the hosts of the service that
// accept new requests, are in no evacuated zone and are not in exclude, or nil if there is
// none. Hosts whose router has just begun to stop are among them, at a higher cost.
func (d *Directory) Choose(now time.Time, service string, exclude []*Host) *Host {
	return d.ChooseAllowed(now, service, exclude, nil)
}

// ChooseAllowed is Choose among the hosts for whose member data allowed returns true. A nil
// allowed stands for all hosts.
func (d *Directory) ChooseAllowed(now time.Time, service string, exclude []*Host, allowed func(Member) bool) *Host {
	return d.cheapest(d.eligible(now, service, exclude, allowed), randomJitter)
}

// eligible returns the hosts of the service that may be chosen.
func (d *Directory) eligible(now time.Time, service string, exclude []*Host, allowed func(Member) bool) []view {
	d.mu.RLock()
	defer d.mu.RUnlock()
	hosts := d.byService[service]
	views := make([]view, 0, len(hosts))
	for _, h := range hosts {
		if v := h.view(now); d.exclusion(now, &v, exclude, allowed) == Eligible {
			views = append(views, v)
		}
	}
	return views
}

// exclusion returns the reason for which a host may not be chosen. d.mu must be held.
func (d *Directory) exclusion(now time.Time, v *view, exclude []*Host, allowed func(Member) bool) Exclusion {
	switch state := d.state(now, &v.member); {
	case allowed != nil && !allowed(v.member):
		return ExcludedNotAllowed
	case state == Stopping && !d.usableWhileStopping(now, v):
		return ExcludedStopping
	case state != Ready && state != Stopping:
		return ExcludedLeaving
	case slices.Contains(exclude, v.host):
		return ExcludedTried
	case d.evacuated(v.member.Zone):
		return ExcludedEvacuated
	}
	return Eligible
}

func randomJitter() float64 {
	return costJitter * rand.Float64()
}

// meanSlowness returns the mean slowness of the candidates.
func meanSlowness(views []view) float64 {
	var mean float64
	for _, v := range views {
		mean += v.slowness / float64(len(views))
	}
	return mean
}

// cheapest returns the host with the lowest sum of cost and jitter, or nil if there is none.
func (d *Directory) cheapest(views []view, jitter func() float64) *Host {
	mean := meanSlowness(views)
	var best *Host
	lowest := 0.0
	for _, v := range views {
		cost := d.cost(v, mean) + jitter()
		if best == nil || cost < lowest {
			best, lowest = v.host, cost
		}
	}
	return best
}

// cost returns the cost of choosing a host. meanSlowness is the mean of all
// candidates.
func (d *Directory) cost(v view, meanSlowness float64) float64 {
	cost := v.utilization + errorCost*v.errorRate
	if v.utilization > 1 {
		cost += overloadCost * (v.utilization - 1)
	}
	switch {
	case v.member.Zone == d.zone:
	case v.member.Region == d.region:
		cost += otherZoneCost
	default:
		cost += otherRegionCost
	}
	if meanSlowness > 0 && v.slowness > meanSlowness {
		cost += slownessCost * min(v.slowness/meanSlowness-1, maxExcessSlowness)
	}
	if v.unavailable {
		cost += unavailableCost
	}
	if v.member.State == Stopping {
		cost += stoppingCost
	}
	return cost
}
