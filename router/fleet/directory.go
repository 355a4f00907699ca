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

// Costs that are added to the used share of a host's slots when hosts are
// compared. Traffic between zones is paid for by volume, and regions lie 8 ms
// apart.
const (
	otherZoneCost   = 0.2
	otherRegionCost = 1.0
	errorCost       = 1.5
	// slowCost is the cost of a host that is twice as slow as the mean.
	slowCost = 0.3
	maxSlow  = 3
	// pausedCost sets hosts that could not be reached behind all others.
	pausedCost = 10
	// jitter keeps routers with the same view from choosing the same host.
	jitter = 0.08
	// fullCost is added per used slot share above 1, where requests wait.
	fullCost = 2
)

// Directory holds the known hosts by name. It is safe for concurrent use.
type Directory struct {
	zone, region string
	dial         func(address string) *hop.Client

	mu        sync.RWMutex
	hosts     map[string]*Host
	byService map[string][]*Host
	// replaced are the hosts whose address has gone to another host.
	replaced map[string]bool
}

// NewDirectory returns an empty directory for a host in the zone and region.
// dial makes the client for a host's address.
func NewDirectory(zone, region string, dial func(address string) *hop.Client) *Directory {
	return &Directory{zone: zone, region: region, dial: dial, hosts: map[string]*Host{}, byService: map[string][]*Host{}}
}

// Put adds a host that is known to be there, such as this one, or replaces what is
// known of it.
func (d *Directory) Put(m Member) {
	d.PutRow(m, math.MaxInt64)
}

// PutRow is Put for a member that was read from the row with the version.
func (d *Directory) PutRow(m Member, row int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hosts[m.Host]
	if h == nil || h.Client.Address() != m.Address {
		h = &Host{Client: d.dial(m.Address)}
		d.hosts[m.Host] = h
	}
	h.mu.Lock()
	if h.member.Started != m.Started || h.member.Instance != m.Instance {
		h.slowness, h.errors = 0, 0
	}
	h.member = m
	h.row = max(h.row, row)
	h.mu.Unlock()
	d.index()
}

// Remove forgets a host.
func (d *Directory) Remove(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.hosts[host]; h != nil {
		h.Client.CloseIdle()
		delete(d.hosts, host)
		d.index()
	}
}

// index lists the hosts of each service, without those whose address has gone to
// another host.
func (d *Directory) index() {
	d.byService = map[string][]*Host{}
	latest := map[string]int64{}
	for _, h := range d.hosts {
		latest[h.Member().Address] = max(latest[h.Member().Address], h.row)
	}
	d.replaced = map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		h := d.hosts[name]
		if h.row < latest[h.Member().Address] {
			d.replaced[name] = true
			continue
		}
		service := h.Member().Service
		d.byService[service] = append(d.byService[service], h)
	}
}

// Host returns a host by name, or nil.
func (d *Directory) Host(name string) *Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hosts[name]
}

// AddressReassigned reports whether another host has the address of a host, by a later
// row. An address is given to another host only after the earlier one has ended.
func (d *Directory) AddressReassigned(host string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.replaced[host]
}

// HostCount is the number of known hosts.
func (d *Directory) HostCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.hosts)
}

// Members returns the hosts of a service, ordered by name.
func (d *Directory) Members(service string) []Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	members := make([]Member, 0, len(d.byService[service]))
	for _, h := range d.byService[service] {
		members = append(members, h.Member())
	}
	return members
}

// Sample returns up to n other hosts that are not stopping and can be reached,
// in random order.
func (d *Directory) Sample(n int, self string, now time.Time) []*Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var hosts []*Host
	for name, h := range d.hosts {
		if v := h.view(now); name != self && v.member.State != Stopping && !v.paused {
			hosts = append(hosts, h)
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

// InZone returns the known hosts of a zone, ordered by name.
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

// ZoneCount is the number of zones with known hosts.
func (d *Directory) ZoneCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	zones := map[string]bool{}
	for _, h := range d.hosts {
		zones[h.Member().Zone] = true
	}
	return len(zones)
}

// ZoneReader returns the other host of the zone that reads the fleet from the store
// for all: the one with the widest link, then the first by name. It is nil when
// that is self, or when no other host is known.
func (d *Directory) ZoneReader(now time.Time, self string) *Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best *Host
	var first Member
	for name, h := range d.hosts {
		m := h.Member()
		if m.Zone != d.zone || (name != self && !h.readable(now)) {
			continue
		}
		if best == nil || m.LinkMbps > first.LinkMbps || (m.LinkMbps == first.LinkMbps && m.Host < first.Host) {
			best, first = h, m
		}
	}
	if best == nil || first.Host == self {
		return nil
	}
	return best
}

// Choose returns the host of a service with the lowest cost among those that
// take new work and are not in exclude, or nil.
func (d *Directory) Choose(now time.Time, service string, exclude []*Host) *Host {
	d.mu.RLock()
	hosts := d.byService[service]
	d.mu.RUnlock()
	views := make([]view, 0, len(hosts))
	for _, h := range hosts {
		if v := h.view(now); v.member.State == Ready && !slices.Contains(exclude, h) {
			views = append(views, v)
		}
	}
	return d.cheapest(views)
}

func (d *Directory) cheapest(views []view) *Host {
	var slowness float64
	for _, v := range views {
		slowness += v.slowness / float64(len(views))
	}
	var best *Host
	lowest := 0.0
	for _, v := range views {
		cost := d.cost(v, slowness) + jitter*rand.Float64()
		if best == nil || cost < lowest {
			best, lowest = v.host, cost
		}
	}
	return best
}

// cost compares hosts; lower is better. meanSlowness is that of all candidates.
func (d *Directory) cost(v view, meanSlowness float64) float64 {
	cost := v.used + errorCost*v.errors
	if v.used > 1 {
		cost += fullCost * (v.used - 1)
	}
	switch {
	case v.member.Zone == d.zone:
	case v.member.Region == d.region:
		cost += otherZoneCost
	default:
		cost += otherRegionCost
	}
	if meanSlowness > 0 && v.slowness > meanSlowness {
		cost += slowCost * min(v.slowness/meanSlowness-1, maxSlow)
	}
	if v.paused {
		cost += pausedCost
	}
	return cost
}
