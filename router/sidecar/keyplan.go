package sidecar

import (
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
)

// change is the next change of the key map.
type change struct {
	// next is nil when nothing changes. before is what it changes, encoded its stored
	// form.
	next, before *keyrange.Map
	encoded      []byte
	// lapsed are the hosts whose leases the change takes for lapsed, with the
	// versions of these leases.
	lapsed map[string]int64
	why    string
	// gather tells that the change may wait for others that are likely to follow.
	gather bool
}

// plan decides on the next change of the key map.
func (d *keyDriver) plan(now boottime.Time, s upstreamState, m *keyrange.Map) change {
	members := d.members(s.service, now)
	if len(m.Ranges) == 0 {
		return d.planFirst(now, members)
	}
	next := m.Clone()
	c := change{lapsed: map[string]int64{}}
	changed := false
	note := func(did bool, why string) {
		if did {
			changed, c.why = true, why
		}
	}
	others := slices.DeleteFunc(slices.Clone(members), func(x keyrange.Member) bool { return x.Host == d.host })
	note(d.takeReleased(now, next, s, others), "released")
	c.gather = changed
	note(d.releaseEnded(now, next, s, others), "hold ended")
	switch {
	case d.stopping() > 0:
		note(next.Evacuate(d.host, d.reachable(others)), "router stops")
	case s.leaving.IsZero():
		note(next.ReassignIncarnation(s.holder), "new run of the upstream")
		note(next.CancelMoves(d.host, others), "next holder is gone")
		note(d.renewRefused(next, s), "the upstream has seen a higher generation")
	default:
		note(next.Evacuate(d.host, d.reachable(others)), "upstream leaves")
	}
	note(d.takeLapsed(now, s.service, next, members, c.lapsed), "lease lapsed")
	if !changed {
		if moved := d.rebalance(now, next, s, members); moved {
			changed, c.why = true, "load"
		}
	}
	if changed {
		c.next, c.before = next, m
	}
	return c
}

// planFirst divides the keys when the members have settled.
func (d *keyDriver) planFirst(now boottime.Time, members []keyrange.Member) change {
	names := hostNames(members)
	if !slices.Equal(names, d.membersSeen) {
		d.membersSeen = names
		d.settled.Reset()
	}
	rank := slices.Index(names, d.host)
	if rank < 0 || !d.settled.Elapsed(now, settleTime+time.Duration(rank)*actPause) {
		return change{}
	}
	return change{next: keyrange.NewMap(members, rangesEach(len(members))), before: &keyrange.Map{}, why: "first division"}
}

// rangesEach is the number of ranges that each of n members gets at first.
func rangesEach(n int) int {
	return min(max(firstRanges/n, fewestRangesEach), mostRangesEach)
}

func hostNames(members []keyrange.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Host)
	}
	return names
}

// members are the upstreams that may be given keys: ready, with a lease that is
// not seen to lapse.
func (d *keyDriver) members(service string, now boottime.Time) []keyrange.Member {
	var members []keyrange.Member
	for _, m := range d.fleet.Members(service) {
		if m.State != fleet.Ready || d.lost(now, service, m.Host) {
			continue
		}
		member := keyrange.Member{Holder: keyrange.Holder{Host: m.Host, Instance: m.Instance, Started: m.Started}}
		if h := d.fleet.Host(m.Host); h != nil {
			member.Load = h.MeanUtilization()
		}
		members = append(members, member)
	}
	return members
}

// takeReleased ends the holds that the local upstream gave up.
func (d *keyDriver) takeReleased(now boottime.Time, next *keyrange.Map, s upstreamState, others []keyrange.Member) bool {
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

// renewRefused takes new generations for ranges whose grant the upstream refused.
func (d *keyDriver) renewRefused(next *keyrange.Map, s upstreamState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, i := range next.RangesOf(s.holder) {
		if r := &next.Ranges[i]; r.Next == "" && d.orders.Refused(r) {
			next.BumpGeneration(i)
			changed = true
		}
	}
	return changed
}

// releaseEnded ends holds that have lapsed at an upstream that is to give up
// its keys or that has ended.
func (d *keyDriver) releaseEnded(now boottime.Time, next *keyrange.Map, s upstreamState, others []keyrange.Member) bool {
	gone := d.local.gone(time.Now(), d.beatInterval)
	silent := d.local.silentFor(time.Now()) > d.maxHold
	d.mu.Lock()
	defer d.mu.Unlock()
	if gone {
		d.grants.EndAll()
	}
	changed := false
	for _, i := range next.RangesOf(s.holder) {
		r := &next.Ranges[i]
		if (gone || silent || r.Next != "") && d.grants.HoldEnded(now, r) {
			d.grants.Relinquish(r)
			next.Release(i, "", others)
			changed = true
		}
	}
	return changed
}

// takeLapsed frees the ranges of hosts whose leases have lapsed and gives ranges
// without a holder to members. Hosts act one after another; before its turn a
// host changes nothing, because other changes of the same map are committed
// without the conditions on the lapsed leases.
func (d *keyDriver) takeLapsed(now boottime.Time, service string, next *keyrange.Map, members []keyrange.Member, lapsed map[string]int64) bool {
	var hosts []string
	for host := range next.CountByHost() {
		if host != d.host && d.lost(now, service, host) && next.HasHolder(host) {
			hosts = append(hosts, host)
		}
	}
	free := slices.ContainsFunc(next.Ranges, func(r keyrange.Range) bool { return !r.Held() })
	if len(hosts) == 0 && !free {
		d.waiting.Reset()
		return false
	}
	if !d.waiting.Elapsed(now, turn(slices.Index(hostNames(members), d.host))) {
		return false
	}
	for _, host := range hosts {
		next.FreeRangesOf(host)
		lapsed[host] = d.watch.Version(host)
	}
	next.MergeFree()
	if reachable := d.reachable(members); len(reachable) > 0 {
		members = reachable
	}
	return next.AssignFree(members) || len(hosts) > 0
}

// lost reports whether the ranges of a host may be freed: its lease has lapsed, or
// its address has gone to another host and nobody renews the lease any more.
func (d *keyDriver) lost(now boottime.Time, service, host string) bool {
	if d.watch.Lapsed(now, host, leaseTime) {
		return true
	}
	return d.fleet.AddressReassigned(host) && d.watch.Unrenewed(now, host, missedRenewals*d.renewPause(service))
}

// missedRenewals is the number of pauses between renewals after which a host whose
// address has gone to another one counts as lost.
const missedRenewals = 2

// turn is the time after which the host with the rank acts on a finding. The
// stand-ins leave the others time to act, and lapsed hosts time to renew: what
// they have read may be old.
func turn(rank int) time.Duration {
	wait := time.Duration(max(rank, 0)) * actPause
	if rank >= watchers {
		wait += standInPause
	}
	return wait
}

// rebalance moves ranges to members with fewer of them or less load. It divides
// busy ranges first, so that their parts can go to different members; when
// nothing moves, nothing is divided, because each change of the map costs all
// hosts a reading and a renewal.
func (d *keyDriver) rebalance(now boottime.Time, next *keyrange.Map, s upstreamState, members []keyrange.Member) bool {
	slots := d.load().Slots
	if slots == 0 || d.stopping() > 0 || !s.leaving.IsZero() || now.Sub(d.lastMove) < moveInterval {
		return false
	}
	members = d.reachable(members)
	d.mu.Lock()
	loads, movable := d.rates.Snapshot(now), d.grants.Movable(now)
	d.mu.Unlock()
	if !movable {
		return false
	}
	demand := next.Demand(d.host, loads) / float64(slots)
	if moves := next.MovesToNewMembers(d.host, demand, members); len(moves) > 0 {
		d.lastMove = now
		d.move(next, moves, demand, loads)
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
	d.move(next, moves, demand, loads)
	return true
}

// reachable returns the members but the other hosts that did not answer last. A lost
// host has no load and few ranges, and would be chosen first until its lease lapses.
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

// move notes the next hosts of ranges in the map.
func (d *keyDriver) move(next *keyrange.Map, moves []keyrange.PlannedMove, demand float64, loads keyrange.Loads) {
	for _, mv := range moves {
		next.PlanMove(mv.Range, mv.To)
	}
	key, hottest := loads.Hottest(0, keyrange.MaxKey)
	d.log.Log(eventRebalance, event.F("demand", demand), event.F("moves", len(moves)), event.F("hottest_key", key), event.F("hottest_demand", hottest))
}

// moveInterval is the shortest time between moves that even out load: a move
// takes up to two heartbeats.
const moveInterval = time.Second
