// Package keyrange decides which upstream of a service holds which keys. The key
// map of a service is one row of the store, which hosts change by compare-and-set.
//
// A range changes its holder only after the current holder has released it, or
// when the lease of the holder's host has lapsed in the store. Each change of
// holder uses a generation above all earlier ones of the service.
package keyrange

import (
	"cmp"
	"slices"
)

// MaxKey is the highest key; the lowest is 0.
const MaxKey = 65535

// Holder identifies one incarnation of an upstream and its host.
type Holder struct {
	Host string
	// Instance is the upstream's id. Several incarnations may have the same id.
	Instance string
	// Started is the start time of the incarnation in Unix milliseconds.
	Started int64
}

// Range is a range of keys; From and To are inclusive.
type Range struct {
	From, To uint16
	// Holder is the zero value if the range has no holder.
	Holder Holder
	// Generation is the generation with which Holder holds the range, or the last
	// one with which it was held.
	Generation uint64
	// Handover is the token that the previous holder left for the next one, or
	// empty if the range was not handed over.
	Handover string
	// Next is the host to which the range is planned to move, or empty.
	Next string
}

// Held reports whether the range has a holder.
func (r Range) Held() bool {
	return r.Holder != Holder{}
}

// Map records which holder has which keys of one service. Ranges are sorted, do
// not overlap and cover all keys.
type Map struct {
	// Generation is the highest generation used so far.
	Generation uint64
	Ranges     []Range
}

// Member is a host whose upstream may hold keys.
type Member struct {
	Holder
	// Load is the utilization of the upstream's slots.
	Load float64
	// Slots is the number of requests that the upstream can run at once, 0 if that is not
	// known. A rate limit that it names lowers the number.
	Slots int
	// Cold is true if the upstream is cold, so that it can use few of its slots.
	Cold bool
}

// Clone returns a deep copy of m.
func (m *Map) Clone() *Map {
	return &Map{Generation: m.Generation, Ranges: slices.Clone(m.Ranges)}
}

// Find returns the range that contains the key, or nil if the map is empty.
func (m *Map) Find(key uint16) *Range {
	i, _ := slices.BinarySearchFunc(m.Ranges, key, func(r Range, k uint16) int {
		return cmp.Compare(r.To, k)
	})
	if i == len(m.Ranges) {
		return nil
	}
	return &m.Ranges[i]
}

// NewMap divides the keys into perMember ranges for each member. Adjacent ranges
// go to different members, because hot keys tend to be adjacent.
func NewMap(members []Member, perMember int) *Map {
	m := &Map{}
	n := len(members) * perMember
	if n == 0 {
		return m
	}
	for i := range n {
		from := i * (MaxKey + 1) / n
		to := (i+1)*(MaxKey+1)/n - 1
		m.Ranges = append(m.Ranges, Range{From: uint16(from), To: uint16(to)})
		m.assign(i, members[i%len(members)].Holder)
	}
	return m
}

// assign assigns range i to a holder with a new generation.
func (m *Map) assign(i int, h Holder) {
	m.Generation++
	r := &m.Ranges[i]
	r.Holder, r.Generation, r.Next = h, m.Generation, ""
}

// RangesOf returns the indexes of the ranges of the holder.
func (m *Map) RangesOf(h Holder) []int {
	var held []int
	for i := range m.Ranges {
		if m.Ranges[i].Holder == h {
			held = append(held, i)
		}
	}
	return held
}

// CountByHost returns the number of ranges by host. A range that is planned to
// move counts for the host to which it moves.
func (m *Map) CountByHost() map[string]int {
	counts := map[string]int{}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		switch {
		case r.Next != "":
			counts[r.Next]++
		case r.Held():
			counts[r.Holder.Host]++
		}
	}
	return counts
}

// Release ends the hold on range i, which the upstream has released. The range
// goes to its planned next host if that host is among the members, and otherwise
// has no holder.
func (m *Map) Release(i int, handover string, members []Member) {
	r := &m.Ranges[i]
	next := slices.IndexFunc(members, func(x Member) bool { return x.Host == r.Next && r.Next != "" })
	r.Handover = handover
	if next >= 0 {
		m.assign(i, members[next].Holder)
		return
	}
	r.Holder, r.Next = Holder{}, ""
}

// AssignFree assigns ranges without a holder to the members with the fewest
// ranges. It reports whether the map changed.
func (m *Map) AssignFree(members []Member) bool {
	if len(members) == 0 {
		return false
	}
	members = warmMembers(members)
	counts := m.CountByHost()
	changed := false
	for i := range m.Ranges {
		if m.Ranges[i].Held() {
			continue
		}
		to := fewestRanges(members, counts)
		m.assign(i, to.Holder)
		counts[to.Host]++
		changed = true
	}
	return changed
}

// warmMembers returns the members that are not cold, or all if there are no others: the
// load of ranges that must leave their holder is not known to be what a cold one can serve.
func warmMembers(members []Member) []Member {
	warm := slices.DeleteFunc(slices.Clone(members), func(x Member) bool { return x.Cold })
	if len(warm) == 0 {
		return members
	}
	return warm
}

// fewestRanges returns the member with the fewest ranges, and of several the one
// with the lowest load.
func fewestRanges(members []Member, counts map[string]int) Member {
	return slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(counts[a.Host], counts[b.Host]),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(a.Host, b.Host))
	})
}

// HasHolder reports whether the host holds any range.
func (m *Map) HasHolder(host string) bool {
	return slices.ContainsFunc(m.Ranges, func(r Range) bool { return r.Held() && r.Holder.Host == host })
}

// HasIncoming reports whether ranges are moving to the upstream, from another host
// or from an earlier incarnation of the same upstream. It is false while the
// upstream has ranges to release, which it must learn at once.
func (m *Map) HasIncoming(h Holder) bool {
	incoming := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		switch {
		case r.Holder == h && r.Next != "":
			return false
		case r.Next == h.Host, r.Held() && r.Holder.Host == h.Host && r.Holder != h:
			incoming = true
		}
	}
	return incoming
}

// MergeFree merges adjacent ranges without a holder and without a handover token.
// It keeps the number of ranges per remaining host low when many hosts are lost.
func (m *Map) MergeFree() {
	merged := m.Ranges[:0:0]
	for _, r := range m.Ranges {
		last := len(merged) - 1
		if last >= 0 && !r.Held() && !merged[last].Held() && r.Handover == "" && merged[last].Handover == "" {
			merged[last].To = r.To
			merged[last].Generation = max(merged[last].Generation, r.Generation)
			continue
		}
		merged = append(merged, r)
	}
	m.Ranges = merged
}

// FreeRangesOf removes the holder from the ranges of a host whose lease has
// lapsed.
func (m *Map) FreeRangesOf(host string) {
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Held() && r.Holder.Host == host {
			r.Holder, r.Next, r.Handover = Holder{}, "", ""
		}
	}
}

// ReassignIncarnation assigns the ranges of earlier incarnations of the host's
// upstream to its current one. The earlier incarnations must have ended. It
// reports whether the map changed.
func (m *Map) ReassignIncarnation(current Holder) bool {
	changed := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Held() && r.Holder.Host == current.Host && r.Holder != current {
			r.Handover = ""
			m.assign(i, current)
			changed = true
		}
	}
	return changed
}

// BumpGeneration gives range i a new generation without changing its holder.
func (m *Map) BumpGeneration(i int) {
	m.assign(i, m.Ranges[i].Holder)
}

// Evacuate plans a move of each range of a host to another member, unless one is
// already planned to a member. It reports whether the map changed.
func (m *Map) Evacuate(host string, members []Member) bool {
	if len(members) == 0 {
		return false
	}
	all := members
	members = warmMembers(members)
	counts := m.CountByHost()
	changed := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Holder.Host != host || isMember(all, r.Next) {
			continue
		}
		to := fewestRanges(members, counts)
		r.Next = to.Host
		counts[to.Host]++
		changed = true
	}
	return changed
}

func isMember(members []Member, host string) bool {
	return host != "" && slices.ContainsFunc(members, func(x Member) bool { return x.Host == host })
}

// PlanMove plans a move of range i to a host.
func (m *Map) PlanMove(i int, to string) {
	m.Ranges[i].Next = to
}

// PlanMoveAway plans a move of range i to the member with the fewest ranges, unless one is
// already planned to a member, or that member has as many as the response to a heartbeat can
// grant. A range that is released without a planned move can be assigned to its previous
// holder again.
func (m *Map) PlanMoveAway(i int, members []Member) {
	if r := &m.Ranges[i]; len(members) > 0 && !isMember(members, r.Next) {
		counts := m.CountByHost()
		if to := fewestRanges(warmMembers(members), counts); counts[to.Host] < MaxGrants {
			r.Next = to.Host
		}
	}
}

// CancelMoves cancels planned moves of a host's ranges to hosts that are no longer
// among the members. It reports whether the map changed.
func (m *Map) CancelMoves(host string, members []Member) bool {
	changed := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Holder.Host == host && r.Next != "" && !isMember(members, r.Next) {
			r.Next = ""
			changed = true
		}
	}
	return changed
}
