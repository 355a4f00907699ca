package keyrange

import (
	"cmp"
	"math"
	"slices"
)

// PlannedMove is a planned move of a range to another host. Range is an index
// of Map.Ranges, and To is a host name.
type PlannedMove struct {
	Range int
	To    string
}

const (
	// minRangeSurplus is the difference in the number of ranges from which a host
	// moves ranges to a host with few.
	minRangeSurplus = 3
	// newMemberLoadGap is the difference in utilization from which a host with
	// few ranges receives more. Few ranges with a high load indicate a slow
	// upstream or hot keys. It is also how far an offload may
	// raise its target above the mean.
	newMemberLoadGap = 0.15
	// overloadThreshold is the utilization from which a host moves ranges away
	// because of their load.
	overloadThreshold = 0.75
	// offloadGap is the difference in utilization required for such a move: keys
	// that move are not served for up to a second.
	offloadGap = 0.3
	// maxOffloadMoves bounds the ranges that are offloaded at once.
	maxOffloadMoves = 64
	// splitFraction is the divisor of a host's slots that gives the load from
	// which a range is split, so that it can be spread over several hosts.
	splitFraction = 10
	// maxSplitParts bounds the parts that one split of a range produces.
	maxSplitParts = 32
	// maxRangesPerMember bounds the ranges of a map, because every host reads the
	// map.
	maxRangesPerMember = 40
	// maxRangesPerHost bounds the ranges of a host: beyond it the host receives
	// no offloaded ranges and splits none.
	maxRangesPerHost = 72
	// minOffloadLoad is the load, in slots, below which moving a range does not
	// help an overloaded host. For hosts with few slots it is a share of these.
	minOffloadLoad  = 0.2
	minOffloadShare = 0.05
)

// MovesToNewMembers returns moves of ranges from the host to members that have
// less than half of the mean number of ranges and a low load, such as members
// that have just joined. hostLoad is the demand for the host's ranges as a share
// of its slots. A cold member gets ranges only as far as it can serve their load.
func (m *Map) MovesToNewMembers(host string, hostLoad float64, loads Loads, members []Member) []PlannedMove {
	if len(members) == 0 {
		return nil
	}
	members = slices.Clone(members)
	counts := m.CountByHost()
	mean := len(m.Ranges) / len(members)
	var moves []PlannedMove
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Holder.Host != host || r.Next != "" {
			continue
		}
		to := fewestRanges(members, counts)
		few := counts[to.Host]*2 < mean && counts[host] >= counts[to.Host]+minRangeSurplus
		if to.Host == host || !few || to.Load > hostLoad-newMemberLoadGap {
			return moves
		}
		if to.Cold && !addLoad(members, to.Host, loads.Sum(r.From, r.To)) {
			continue
		}
		moves = append(moves, PlannedMove{Range: i, To: to.Host})
		counts[host]--
		counts[to.Host]++
	}
	return moves
}

// addLoad adds load, in slots, to the member with the host name. It returns false and adds
// nothing if the member would be overloaded.
func addLoad(members []Member, host string, load float64) bool {
	i := slices.IndexFunc(members, func(x Member) bool { return x.Host == host })
	raised := members[i].Load + load/float64(max(members[i].Slots, 1))
	if raised > overloadThreshold {
		return false
	}
	members[i].Load = raised
	return true
}

// Demand returns the load, in slots, of the ranges that the host holds and that
// are not planned to move.
func (m *Map) Demand(host string, loads Loads) float64 {
	demand := 0.0
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Holder.Host == host && r.Next == "" {
			demand += loads.Sum(r.From, r.To)
		}
	}
	return demand
}

// Offload returns moves of ranges from an overloaded host to members with less
// load, as far as their slots allow. hostLoad is the demand for the host's ranges as a share of its slots. A
// range whose load exceeds the host's excess stays where it is; other ranges are
// moved away from it.
func (m *Map) Offload(host string, hostLoad float64, slots int, loads Loads, members []Member) []PlannedMove {
	counts := m.CountByHost()
	others := slices.DeleteFunc(slices.Clone(members), func(x Member) bool {
		return x.Host == host || counts[x.Host] >= maxRangesPerHost
	})
	if hostLoad < overloadThreshold || len(others) == 0 || slots <= 0 {
		return nil
	}
	demand, capacity := hostLoad*float64(slots), float64(slots)
	for i := range others {
		if others[i].Slots <= 0 {
			others[i].Slots = slots
		}
		demand += others[i].Load * float64(others[i].Slots)
		capacity += float64(others[i].Slots)
	}
	mean := demand / capacity
	excess := (hostLoad - mean) * float64(slots)
	least := min(minOffloadLoad, minOffloadShare*float64(slots))
	var moves []PlannedMove
	for _, i := range m.busiest(host, loads) {
		load := loads.Sum(m.Ranges[i].From, m.Ranges[i].To)
		if len(moves) == maxOffloadMoves || load < least {
			break
		}
		to := leastLoadedWith(others, load)
		raised := to.Load + load/float64(to.Slots)
		if load > excess || to.Load > hostLoad-offloadGap || raised > mean+newMemberLoadGap {
			continue
		}
		moves = append(moves, PlannedMove{Range: i, To: to.Host})
		excess -= load
		to.Load = raised
		counts[to.Host]++
		if counts[to.Host] >= maxRangesPerHost {
			to.Load = math.Inf(1)
		}
	}
	return moves
}

// busiest returns the indexes of the host's ranges that are not planned to move,
// in order of descending load.
func (m *Map) busiest(host string, loads Loads) []int {
	var indexes []int
	for i := range m.Ranges {
		if m.Ranges[i].Holder.Host == host && m.Ranges[i].Next == "" {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		x, y := m.Ranges[a], m.Ranges[b]
		return cmp.Compare(loads.Sum(y.From, y.To), loads.Sum(x.From, x.To))
	})
	return indexes
}

// leastLoadedWith returns the member whose utilization is the lowest once it has taken on
// the load, in slots.
func leastLoadedWith(members []Member, load float64) *Member {
	with := func(x *Member) float64 { return x.Load + load/float64(x.Slots) }
	best := &members[0]
	for i := range members {
		if with(&members[i]) < with(best) {
			best = &members[i]
		}
	}
	return best
}

// Split splits ranges of the host that occupy many of its slots, so that the
// parts can move to different hosts. members is the number of members. The parts
// keep the holder and the generation of the range. Split reports whether the map
// changed.
func (m *Map) Split(host string, slots int, loads Loads, members int) bool {
	limit := max(float64(slots)/splitFraction, min(minOffloadLoad, minOffloadShare*float64(slots)))
	room := min(members*maxRangesPerMember-len(m.Ranges), maxRangesPerHost-m.CountByHost()[host])
	var ranges []Range
	changed := false
	for _, r := range m.Ranges {
		load := loads.Sum(r.From, r.To)
		n := min(int(load/limit)+1, maxSplitParts, room+1)
		if r.Holder.Host != host || r.Next != "" || n < 2 {
			ranges = append(ranges, r)
			continue
		}
		parts := r.splitAt(loads.SplitPoints(r.From, r.To, n))
		room -= len(parts) - 1
		changed = changed || len(parts) > 1
		ranges = append(ranges, parts...)
	}
	if changed {
		m.Ranges = ranges
	}
	return changed
}

// splitAt returns the parts of the range, split after each of the keys.
func (r Range) splitAt(lastKeys []uint16) []Range {
	var parts []Range
	for _, last := range lastKeys {
		part := r
		part.To = last
		parts = append(parts, part)
		r.From = last + 1
	}
	return append(parts, r)
}
