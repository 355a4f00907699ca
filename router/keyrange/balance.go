package keyrange

import (
	"cmp"
	"math"
	"slices"
)

// PlannedMove is a planned move of a range to another host.
type PlannedMove struct {
	Range int
	To    string
}

const (
	// surplusStep is by how many ranges a host must exceed one with few ranges
	// before it moves some there.
	surplusStep = 3
	// newcomerGap is the difference of used shares above which a host with few
	// ranges is given more. Few ranges with a high load mean a slow upstream or
	// busy keys.
	newcomerGap = 0.15
	// overloaded is the used share from which a host moves ranges away because
	// of their load.
	overloaded = 0.75
	// reliefGap is the difference of used shares that such a move needs: moved
	// keys are not served for up to a second.
	reliefGap = 0.3
	// maxRelief bounds the ranges that move at once.
	maxRelief = 64
	// splitParts is the number of parts of a host's slots: a range with more load
	// than one part is divided, so that it can be spread over hosts.
	splitParts = 10
	// maxPieces bounds the pieces of one range at a time.
	maxPieces = 32
	// maxRangesPerMember bounds the ranges of a map, which every host reads.
	maxRangesPerMember = 40
	// maxRangesPerHost bounds the ranges that are moved to one host or divided
	// there.
	maxRangesPerHost = 72
	// smallestRate is the load, in slots, below which moving a range is no
	// relief.
	smallestRate = 0.2
)

// MovesToNewMembers returns moves of ranges to members that have less than half of the
// mean number and little load, such as ones that have just joined.
func (m *Map) MovesToNewMembers(host string, own float64, members []Member) []PlannedMove {
	if len(members) == 0 {
		return nil
	}
	counts := m.CountByHost()
	mean := len(m.Ranges) / len(members)
	var moves []PlannedMove
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Holder.Host != host || r.Next != "" {
			continue
		}
		to := fewest(members, counts)
		few := counts[to.Host]*2 < mean && counts[host] >= counts[to.Host]+surplusStep
		if to.Host == host || !few || to.Load > own-newcomerGap {
			return moves
		}
		moves = append(moves, PlannedMove{Range: i, To: to.Host})
		counts[host]--
		counts[to.Host]++
	}
	return moves
}

// Demand returns the load of the ranges that the host holds and that stay there,
// in slots.
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
// load. own is the demand for the host's ranges as a share of its slots. A range
// with more load than the host has too much stays: the others move away from it.
func (m *Map) Offload(host string, own float64, slots int, loads Loads, members []Member) []PlannedMove {
	counts := m.CountByHost()
	others := slices.DeleteFunc(slices.Clone(members), func(x Member) bool {
		return x.Host == host || counts[x.Host] >= maxRangesPerHost
	})
	if own < overloaded || len(others) == 0 || slots <= 0 {
		return nil
	}
	mean := own
	for _, x := range others {
		mean += x.Load
	}
	mean /= float64(len(others) + 1)
	excess := (own - mean) * float64(slots)
	var moves []PlannedMove
	for _, i := range m.busiest(host, loads) {
		load := loads.Sum(m.Ranges[i].From, m.Ranges[i].To)
		if len(moves) == maxRelief || load < smallestRate {
			break
		}
		to := leastLoaded(others)
		if load > excess || to.Load > own-reliefGap || to.Load+load/float64(slots) > mean+newcomerGap {
			continue
		}
		moves = append(moves, PlannedMove{Range: i, To: to.Host})
		excess -= load
		to.Load += load / float64(slots)
		counts[to.Host]++
		if counts[to.Host] >= maxRangesPerHost {
			to.Load = math.Inf(1)
		}
	}
	return moves
}

// busiest returns the indexes of the host's ranges that are not to move, the
// busiest first.
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

func leastLoaded(members []Member) *Member {
	best := &members[0]
	for i := range members {
		if members[i].Load < best.Load {
			best = &members[i]
		}
	}
	return best
}

// Split divides ranges of the host that keep many of its slots busy, so that
// their parts can go to different hosts. The parts keep holder and generation.
// It reports whether the map changed.
func (m *Map) Split(host string, slots int, loads Loads, members int) bool {
	limit := max(float64(slots)/splitParts, smallestRate)
	room := min(members*maxRangesPerMember-len(m.Ranges), maxRangesPerHost-m.CountByHost()[host])
	var ranges []Range
	changed := false
	for _, r := range m.Ranges {
		load := loads.Sum(r.From, r.To)
		pieces := min(int(load/limit)+1, maxPieces, room+1)
		if r.Holder.Host != host || r.Next != "" || pieces < 2 {
			ranges = append(ranges, r)
			continue
		}
		parts := r.divide(loads.SplitPoints(r.From, r.To, pieces))
		room -= len(parts) - 1
		changed = changed || len(parts) > 1
		ranges = append(ranges, parts...)
	}
	if changed {
		m.Ranges = ranges
	}
	return changed
}

// divide returns the range in parts that end with the cuts.
func (r Range) divide(cuts []uint16) []Range {
	var parts []Range
	for _, last := range cuts {
		part := r
		part.To = last
		parts = append(parts, part)
		r.From = last + 1
	}
	return append(parts, r)
}
