// Package keyrange decides which upstream of a service holds which keys. The map
// of a service is one row of the store; hosts change it by compare-and-set.
//
// A range changes its holder only after the present holder has given it up, or
// when the lease of the holder's host has lapsed in the store. Each change
// takes a generation above all earlier ones of the service.
package keyrange

import (
	"cmp"
	"slices"
)

// MaxKey is the highest key; the lowest is 0.
const MaxKey = 65535

// Holder names one run of an upstream and the host beside it.
type Holder struct {
	Host string
	// Instance is the upstream's id. It may be the same in two runs.
	Instance string
	// Started is the start of the run in Unix milliseconds.
	Started int64
}

// Range is a closed range of keys.
type Range struct {
	From, To uint16
	// Holder is the zero value while nobody holds the range.
	Holder Holder
	// Generation is the generation with which Holder holds the range, or the
	// last one with which it was held.
	Generation uint64
	// Handover is what the last holder left for the next one; empty when the
	// range was not handed over.
	Handover string
	// Next is the host that the range is to move to; empty when it stays.
	Next string
}

// Held reports whether the range has a holder.
func (r Range) Held() bool {
	return r.Holder != Holder{}
}

// Map says who holds the keys of one service. Ranges are ordered, do not
// overlap and cover all keys.
type Map struct {
	// Generation is the highest generation that was used.
	Generation uint64
	Ranges     []Range
}

// Member is a host whose upstream may hold keys.
type Member struct {
	Holder
	// Load is the used share of the upstream's slots.
	Load float64
}

// Clone returns a copy that shares nothing with m.
func (m *Map) Clone() *Map {
	return &Map{Generation: m.Generation, Ranges: slices.Clone(m.Ranges)}
}

// Find returns the range of a key, or nil for an empty map.
func (m *Map) Find(key uint16) *Range {
	i, _ := slices.BinarySearchFunc(m.Ranges, key, func(r Range, k uint16) int {
		return cmp.Compare(r.To, k)
	})
	if i == len(m.Ranges) {
		return nil
	}
	return &m.Ranges[i]
}

// NewMap divides the keys into perMember ranges for each member. Neighbours go to
// different members, because busy keys lie close to one another.
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

// assign gives a range to a holder with a new generation.
func (m *Map) assign(i int, h Holder) {
	m.Generation++
	r := &m.Ranges[i]
	r.Holder, r.Generation, r.Next = h, m.Generation, ""
}

// RangesOf returns the indexes of the ranges that the holder holds.
func (m *Map) RangesOf(h Holder) []int {
	var held []int
	for i := range m.Ranges {
		if m.Ranges[i].Holder == h {
			held = append(held, i)
		}
	}
	return held
}

// CountByHost returns the number of ranges by host. A range that is to move counts
// for the host that it moves to.
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

// Release ends the hold on a range that the upstream has given up. A range with
// a chosen next host goes there when the host is among the members; any other
// one is left without a holder.
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

// AssignFree gives ranges without a holder to the members with the fewest
// ranges. It reports whether the map changed.
func (m *Map) AssignFree(members []Member) bool {
	if len(members) == 0 {
		return false
	}
	counts := m.CountByHost()
	changed := false
	for i := range m.Ranges {
		if m.Ranges[i].Held() {
			continue
		}
		to := fewest(members, counts)
		m.assign(i, to.Holder)
		counts[to.Host]++
		changed = true
	}
	return changed
}

func fewest(members []Member, counts map[string]int) Member {
	return slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(counts[a.Host], counts[b.Host]),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(a.Host, b.Host))
	})
}

// HasHolder reports whether the host holds a range.
func (m *Map) HasHolder(host string) bool {
	return slices.ContainsFunc(m.Ranges, func(r Range) bool { return r.Held() && r.Holder.Host == host })
}

// HasIncoming reports whether ranges are on their way to the upstream: from another
// host, or from an earlier run of the same upstream. It is false while the
// upstream has ranges to give up, which it must learn at once.
func (m *Map) HasIncoming(h Holder) bool {
	expects := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		switch {
		case r.Holder == h && r.Next != "":
			return false
		case r.Next == h.Host, r.Held() && r.Holder.Host == h.Host && r.Holder != h:
			expects = true
		}
	}
	return expects
}

// MergeFree joins neighbouring ranges that nobody holds. It keeps the ranges of
// the remaining hosts few when many hosts are lost.
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

// FreeRangesOf frees the ranges of a host whose lease has lapsed.
func (m *Map) FreeRangesOf(host string) {
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Held() && r.Holder.Host == host {
			r.Holder, r.Next, r.Handover = Holder{}, "", ""
		}
	}
}

// ReassignIncarnation moves the ranges of an earlier run of the host's upstream to its
// present run. The earlier run must have ended. It reports whether the map
// changed.
func (m *Map) ReassignIncarnation(now Holder) bool {
	changed := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Held() && r.Holder.Host == now.Host && r.Holder != now {
			r.Handover = ""
			m.assign(i, now)
			changed = true
		}
	}
	return changed
}

// BumpGeneration gives a range to its holder with a new generation.
func (m *Map) BumpGeneration(i int) {
	m.assign(i, m.Ranges[i].Holder)
}

// Evacuate chooses next hosts for all ranges of a host. It reports whether the
// map changed.
func (m *Map) Evacuate(host string, members []Member) bool {
	if len(members) == 0 {
		return false
	}
	counts := m.CountByHost()
	changed := false
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.Holder.Host != host || isMember(members, r.Next) {
			continue
		}
		to := fewest(members, counts)
		r.Next = to.Host
		counts[to.Host]++
		changed = true
	}
	return changed
}

func isMember(members []Member, host string) bool {
	return host != "" && slices.ContainsFunc(members, func(x Member) bool { return x.Host == host })
}

// PlanMove chooses a next host for one range.
func (m *Map) PlanMove(i int, to string) {
	m.Ranges[i].Next = to
}

// CancelMoves keeps the ranges of a host whose next host is no longer among the
// members. It reports whether the map changed.
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
