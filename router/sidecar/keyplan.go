package sidecar

import (
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
)

// mapChange is the next change of the key map.
type mapChange struct {
	// next is the changed map, or nil if there is no change. before is the map that it
	// replaces; encoded is the stored form of next.
	next, before *keyrange.Map
	encoded      []byte
	// lapsed holds the hosts whose ranges the change takes because their leases have
	// lapsed, with the versions of their lease rows.
	lapsed map[string]int64
	reason string
	// deferrable is true if the change may wait for others that are likely to follow.
	deferrable bool
}

// plan returns the next change of the key map.
func (d *keyDriver) plan(now boottime.Time, s upstreamState, m *keyrange.Map) mapChange {
	ready, members := d.placement(s.service, now)
	if len(m.Ranges) == 0 {
		return d.planInitial(now, members)
	}
	d.initial.Reset()
	next := m.Clone()
	c := mapChange{lapsed: map[string]int64{}}
	changed := false
	record := func(applied bool, reason string) {
		if applied {
			changed, c.reason = true, reason
		}
	}
	others := slices.DeleteFunc(slices.Clone(members), func(x keyrange.Member) bool { return x.Host == d.host })
	// A released range may have been planned to move into a zone that is evacuated as well.
	record(d.leaveEvacuatedZone(now, s.service, next, others), "zone evacuated")
	planned := changed
	record(d.applyReleases(now, next, s, others), "released")
	c.deferrable = changed && !planned
	record(d.releaseExpired(now, next, s, others), "hold ended")
	switch {
	case d.servesUntilMovable(now, s):
	case d.stoppingFor() > 0:
		record(next.Evacuate(d.host, d.reachable(others)), "router stops")
	case s.leavingSince.IsZero():
		record(next.ReassignIncarnation(s.holder), "new incarnation of the upstream")
		record(next.CancelMoves(d.host, others), "next holder has left")
		if !isHostOf(d.host, members) && isHostOf(d.host, ready) {
			record(next.Evacuate(d.host, d.reachable(others)), "region not allowed")
		}
		record(d.regenerateRefused(next, s), "the upstream has seen a higher generation")
	default:
		record(next.Evacuate(d.host, d.reachable(others)), "upstream leaves")
	}
	record(d.takeOverLapsed(now, s.service, next, slices.Index(hostNames(ready), d.host), members, c.lapsed), "lease lapsed")
	if !changed {
		if moved := d.rebalance(now, next, s, members); moved {
			changed, c.reason = true, "load"
		}
	}
	if changed {
		c.next, c.before = next, m
	}
	return c
}

// leaveEvacuatedZone plans moves of all ranges of this host if its zone is evacuated, the
// busiest first. While the commands of an earlier process of this router may still be
// carried out, released ranges cannot be assigned; they stay served for as long as they
// may be. It reports whether the map changed.
func (d *keyDriver) leaveEvacuatedZone(now boottime.Time, service string, next *keyrange.Map, others []keyrange.Member) bool {
	if !d.evacuation.ownEvacuated() {
		return false
	}
	d.evacuation.reportHeld(service, next.HeldRanges(d.host))
	d.mu.Lock()
	loads, movable := d.rates.Snapshot(now), d.grants.Movable(now)
	d.mu.Unlock()
	if !movable && d.evacuation.checkHost(d.evacuation.zone(), &Call{Keyed: true}) == nil {
		return false
	}
	return next.EvacuateByLoad(d.host, d.load().Slots, loads, d.reachable(others))
}

// servesUntilMovable reports whether keys that are to leave this host because its upstream
// leaves or its router stops stay held for now: nobody could be assigned them, because
// commands of an earlier process of this router may still be carried out, and the gate
// still passes requests on.
func (d *keyDriver) servesUntilMovable(now boottime.Time, s upstreamState) bool {
	stopping := d.stoppingFor()
	if stopping == 0 && s.leavingSince.IsZero() {
		return false
	}
	d.mu.Lock()
	movable := d.grants.Movable(now)
	d.mu.Unlock()
	return !movable && stopping <= drainNoticeTime && s.mayTakeRequests(time.Now(), d.drainLimit)
}

// planInitial creates the key map among the members that are steady.
func (d *keyDriver) planInitial(now boottime.Time, members []keyrange.Member) mapChange {
	steady := d.initial.Choose(now, d.host, members)
	if len(steady) == 0 {
		return mapChange{}
	}
	reason := "initial key map"
	if len(steady) < len(members) {
		reason = "initial key map of the steady hosts"
	}
	next := keyrange.NewInitialMap(steady, len(members)*initialRangesPerMember(len(members)))
	return mapChange{next: next, before: &keyrange.Map{}, reason: reason}
}

// initialRangesPerMember returns the number of ranges that each of n members gets in the
// initial key map.
func initialRangesPerMember(n int) int {
	return min(max(initialRanges/n, minInitialRangesPerMember), maxInitialRangesPerMember)
}

func hostNames(members []keyrange.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Host)
	}
	return names
}

// readyMembers returns the upstreams that are ready, in no evacuated zone and whose host has
// not failed.
func (d *keyDriver) readyMembers(service string, now boottime.Time) []keyrange.Member {
	var members []keyrange.Member
	for _, m := range d.fleet.Members(service) {
		if m.State != fleet.Ready || d.evacuation.evacuated(m.Zone) || d.hostFailed(now, service, m.Host) {
			continue
		}
		member := keyrange.Member{Holder: keyrange.Holder{Host: m.Host, Instance: m.Instance, Started: m.Started}}
		if h := d.fleet.Host(m.Host); h != nil {
			member.Load, member.Slots, member.Cold = h.MeanUtilization(), h.Slots(), m.Cold(time.Now())
		}
		members = append(members, member)
	}
	return members
}

// applyReleases ends the holds of ranges that the local upstream has released.
func (d *keyDriver) applyReleases(now boottime.Time, next *keyrange.Map, s upstreamState, others []keyrange.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, i := range next.RangesOf(s.holder) {
		if token, ok := d.grants.Released(now, &next.Ranges[i]); ok {
			next.Release(i, token, others)
			changed = true
		}
	}
	return changed
}

// regenerateRefused assigns new generations to ranges whose grant the upstream refused.
func (d *keyDriver) regenerateRefused(next *keyrange.Map, s upstreamState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, i := range next.RangesOf(s.holder) {
		if r := &next.Ranges[i]; r.Next == "" && d.commands.Refused(r) {
			next.BumpGeneration(i)
			changed = true
		}
	}
	return changed
}

// releaseExpired ends holds that have expired, if the upstream has ended, sends no
// heartbeats, or is to release the range. In the first two cases the ranges go to other hosts
// at once: as free ranges they would be assigned to this one again, which has the fewest.
func (d *keyDriver) releaseExpired(now boottime.Time, next *keyrange.Map, s upstreamState, others []keyrange.Member) bool {
	ended := d.local.ended(time.Now(), d.heartbeatInterval)
	absent := ended || d.local.silentFor(time.Now()) > d.maxHeartbeatHold
	if absent && len(others) == 0 {
		return false // the upstream gets its ranges back when it sends heartbeats again
	}
	targets := d.reachable(others)
	if len(targets) == 0 {
		targets = others
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ended {
		d.grants.EndAll()
	}
	changed := false
	for _, i := range next.RangesOf(s.holder) {
		r := &next.Ranges[i]
		if (absent || r.Next != "") && d.grants.HoldEnded(now, r) {
			d.grants.Relinquish(r)
			if absent {
				next.PlanMoveAway(i, targets)
			}
			next.Release(i, "", others)
			changed = true
		}
	}
	return changed
}

// takeOverLapsed frees the ranges of hosts whose leases have lapsed and assigns ranges
// without a holder to members. The ready hosts of the service act one after another in the
// order of rank, also those that may hold no keys. Before its
// turn a host must not free ranges, because other changes of the same map are committed
// without conditions on the lapsed leases.
func (d *keyDriver) takeOverLapsed(now boottime.Time, service string, next *keyrange.Map, rank int, members []keyrange.Member, lapsed map[string]int64) bool {
	var hosts []string
	for host := range next.CountByHost() {
		if host != d.host && d.hostFailed(now, service, host) && next.HasHolder(host) {
			hosts = append(hosts, host)
		}
	}
	free := slices.ContainsFunc(next.Ranges, func(r keyrange.Range) bool { return !r.Held() })
	if len(hosts) == 0 && !free {
		d.takeoverWait.Reset()
		return false
	}
	if d.evacuation.ownEvacuated() {
		rank = primaryReaders // all hosts of the zone would otherwise act first, at once
	}
	if !d.takeoverWait.Elapsed(now, takeoverDelay(rank)) {
		return false
	}
	for _, host := range hosts {
		next.FreeRangesOf(host)
		lapsed[host] = d.leaseWatch.Version(host)
	}
	next.MergeFree()
	if reachable := d.reachable(members); len(reachable) > 0 {
		members = reachable
	}
	return next.AssignFree(members) || len(hosts) > 0
}

// hostFailed reports whether the ranges of a host may be freed: its lease has lapsed, or
// its address now belongs to another host and the lease is no longer renewed.
func (d *keyDriver) hostFailed(now boottime.Time, service, host string) bool {
	if d.leaseWatch.Lapsed(now, host, leaseDuration) {
		return true
	}
	return d.fleet.AddressReassigned(host) && d.leaseWatch.Unrenewed(now, host, missedRenewals*d.currentRenewInterval(service))
}

// missedRenewals is the number of renewal intervals without a renewal after which a host
// whose address now belongs to another one counts as failed.
const missedRenewals = 2

// takeoverDelay returns how long the host with the rank waits before it takes ranges
// over. Backups leave the primary readers time to act and lapsed hosts time to renew,
// because what backups have read may be outdated.
func takeoverDelay(rank int) time.Duration {
	wait := time.Duration(max(rank, 0)) * actionStagger
	if rank >= primaryReaders {
		wait += backupDelay
	}
	return wait
}

// rebalance moves ranges to members with fewer ranges or less load. Busy ranges are split
// first so that their parts can go to different members. A split without a move is
// discarded, because each change of the map costs every host a read and a renewal.
func (d *keyDriver) rebalance(now boottime.Time, next *keyrange.Map, s upstreamState, members []keyrange.Member) bool {
	slots := d.load().Slots
	if slots == 0 || d.stoppingFor() > 0 || !s.leavingSince.IsZero() || d.evacuation.ownEvacuated() || now.Sub(d.lastMove) < moveInterval {
		return false
	}
	members = d.reachable(members)
	d.mu.Lock()
	loads, settled := d.rates.Snapshot(now), d.grants.Settled(now)
	d.mu.Unlock()
	if !settled {
		return false
	}
	demand := next.Demand(d.host, loads) / float64(slots)
	if moves := next.MovesToNewMembers(d.host, demand, loads, members); len(moves) > 0 {
		d.lastMove = now
		d.recordMoves(next, moves, demand, loads)
		return true
	}
	divided := next.Clone()
	divided.Split(d.host, slots, loads, len(members))
	moves := divided.Offload(d.host, demand, slots, loads, members)
	if len(moves) == 0 {
		return false
	}
	d.lastMove = now
	*next = *divided
	d.recordMoves(next, moves, demand, loads)
	return true
}

// reachable returns this host's member and those members whose host responded to the last
// request. An unreachable host has no load and few ranges, and would otherwise be chosen
// first until its lease lapses.
func (d *keyDriver) reachable(members []keyrange.Member) []keyrange.Member {
	var reachable []keyrange.Member
	now := time.Now()
	for _, m := range members {
		if h := d.fleet.Host(m.Host); m.Host == d.host || (h != nil && h.Reachable(now)) {
			reachable = append(reachable, m)
		}
	}
	return reachable
}

// recordMoves enters the next holders of ranges in the map.
func (d *keyDriver) recordMoves(next *keyrange.Map, moves []keyrange.PlannedMove, demand float64, loads keyrange.Loads) {
	for _, transfer := range moves {
		next.PlanMove(transfer.Range, transfer.To)
	}
	key, hottest := loads.Hottest(0, keyrange.MaxKey)
	d.log.Log(eventRebalance, event.F("demand", demand), event.F("moves", len(moves)), event.F("hottest_key", key), event.F("hottest_demand", hottest))
}

// moveInterval is the shortest time between moves that balance load: one move takes up to
// two heartbeats.
const moveInterval = time.Second
