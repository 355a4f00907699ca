package node

import (
	"context"
	"time"
)

// gaugeInterval is how often the gauges are updated. Tally reports them once per
// second.
const gaugeInterval = time.Second

// reportGauges updates the gauges until ctx is done.
func (n *Node) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		n.setGauges(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) setGauges(now time.Time) {
	scope := n.options.Metrics
	groups := n.manager.Summary(now)
	scope.Gauge("ownership_groups_held").Update(float64(groups.Held))
	scope.Gauge("ownership_shards_held").Update(float64(groups.Shards))
	scope.Gauge("ownership_groups_standby").Update(float64(groups.Standbys))
	scope.Gauge("ownership_groups_without_standby").Update(float64(groups.WithoutStandby))
	scope.Gauge("ownership_groups_lapsed").Update(float64(groups.Lapsed))
	scope.Gauge("ownership_lease_left_seconds").Update(groups.MinLeaseRemaining.Seconds())

	allowed, inFlight, waiting := n.limiter.Stats()
	scope.Gauge("gate_slots_allowed").Update(float64(allowed))
	scope.Gauge("gate_in_flight").Update(float64(inFlight))
	scope.Gauge("gate_queue_length").Update(float64(waiting))
	scope.Gauge("caller_in_flight").Update(float64(n.entry.InFlight()))

	scope.Gauge("note_version").Update(float64(n.noteVersion()))
	members, unreachable := n.countMembers(now)
	scope.Gauge("peer_members").Update(float64(members))
	scope.Gauge("peer_members_unreachable").Update(float64(unreachable))
}

// countMembers returns the number of known hosts other than this one, and how
// many of them are suspected to be down.
func (n *Node) countMembers(now time.Time) (members, unreachable int) {
	for _, m := range n.directory.All() {
		if m.Host.Name == n.self.Name {
			continue
		}
		members++
		if n.directory.IsSuspect(now, m.Host.Name) {
			unreachable++
		}
	}
	return members, unreachable
}

// regionOf returns the region of a host, or "" if the host is not known.
func (n *Node) regionOf(host string) string {
	m, _ := n.directory.Get(host)
	return m.Region
}
