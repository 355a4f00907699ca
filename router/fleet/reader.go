package fleet

import (
	"slices"
	"time"
)

// preferredReader reports whether a host with member data a is preferred to one with b as a
// reader: the one with the higher link bandwidth, then the first by name.
func preferredReader(a, b Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return a.Host < b.Host
}

// ZoneReader returns the host that reads the fleet on behalf of this zone, which is the
// preferred one. It returns nil if that host is self or no other host is known.
func (d *Directory) ZoneReader(now time.Time, self string) *Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best *Host
	var bestMember Member
	for name, h := range d.hosts {
		m := h.Member()
		if m.Zone != d.zone || (name != self && !h.readable(now)) {
			continue
		}
		if best == nil || preferredReader(m, bestMember) {
			best, bestMember = h, m
		}
	}
	if best == nil || bestMember.Host == self {
		return nil
	}
	return best
}

// FleetReader returns the host that reads the fleet from the store on behalf of all zones,
// which is the preferred one of the hosts that are not stopping, and whether that host is
// self. reader is nil if it is self or cannot be used at the moment. No other host is used
// in its place: after the loss of a link between regions, none of the other region responds.
func (d *Directory) FleetReader(now time.Time, self string) (reader *Host, isSelf bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best *Host
	var bestMember Member
	for _, h := range d.hosts {
		if m := h.Member(); m.State != Stopping && (best == nil || preferredReader(m, bestMember)) {
			best, bestMember = h, m
		}
	}
	switch {
	case best == nil:
		return nil, false
	case bestMember.Host == self:
		return nil, true
	case !best.fleetReadable(now):
		return nil, false
	}
	return best, false
}

// StartSources returns up to n other hosts of this zone, the preferred ones first, that are
// not stopping. A host that starts asks them for what they have read.
func (d *Directory) StartSources(n int, self string) []*Host {
	hosts := slices.DeleteFunc(d.InZone(d.zone), func(h *Host) bool {
		m := h.Member()
		return m.Host == self || m.State == Stopping
	})
	slices.SortStableFunc(hosts, func(a, b *Host) int {
		if preferredReader(a.Member(), b.Member()) {
			return -1
		}
		return 1
	})
	return hosts[:min(n, len(hosts))]
}
