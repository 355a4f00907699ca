package keyrange

import (
	"cmp"
	"slices"
)

// EvacuateByLoad plans a move of each range of a host to another member, unless one is
// already planned to a member. Busy ranges come first and go to the member with the most
// spare capacity; the others go to the members with the fewest ranges. slots are those of
// the host's upstream, which also stand for members whose slots are not known. It reports
// whether the map changed.
func (m *Map) EvacuateByLoad(host string, slots int, loads Loads, members []Member) bool {
	if len(members) == 0 {
		return false
	}
	targets := slices.Clone(members)
	for i := range targets {
		if targets[i].Slots <= 0 {
			targets[i].Slots = max(slots, 1)
		}
	}
	var leaving []int
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Holder.Host == host && !isMember(members, r.Next) {
			leaving = append(leaving, i)
		}
	}
	load := func(i int) float64 { return loads.Sum(m.Ranges[i].From, m.Ranges[i].To) }
	slices.SortStableFunc(leaving, func(a, b int) int { return cmp.Compare(load(b), load(a)) })
	counts := m.CountByHost()
	for _, i := range leaving {
		to := fewestRanges(targets, counts)
		if least := min(minOffloadLoad, minOffloadShare*float64(max(slots, 1))); load(i) >= least {
			target := leastLoadedWith(targets, load(i))
			target.Load += load(i) / float64(target.Slots)
			to = *target
		}
		m.Ranges[i].Next = to.Host
		counts[to.Host]++
	}
	return len(leaving) > 0
}

// HeldRanges returns the number of ranges that the host holds.
func (m *Map) HeldRanges(host string) int {
	held := 0
	for i := range m.Ranges {
		if m.Ranges[i].Holder.Host == host {
			held++
		}
	}
	return held
}
