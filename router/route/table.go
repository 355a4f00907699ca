// Package route holds the table that finds the group of a key.
//
// The table is a hint: records reach a router late and out of order, and the
// holder's gate has the last word. Among overlapping claims the record with
// the higher row version wins, because row versions grow across the whole
// table service.
package route

import (
	"slices"
	"sync"
	"sync/atomic"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// span is one shard with the group that claims it.
type span struct {
	shard keyspace.Shard
	group *ownership.Group
}

// snapshot is immutable. Spans are sorted and do not overlap.
type snapshot struct {
	services map[string][]span
	groups   map[string]*ownership.Group
}

// Table finds the group of a key. Look-ups take no lock.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&snapshot{
		services: map[string][]span{},
		groups:   map[string]*ownership.Group{},
	})
	return t
}

// Lookup returns the record that claims the position. The caller must not
// change the record.
func (t *Table) Lookup(service string, h keyspace.Hash) (*ownership.Group, bool) {
	spans := t.current.Load().services[service]
	low, high := 0, len(spans)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if spans[mid].shard.Last < h {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == len(spans) || !spans[low].shard.Contains(h) {
		return nil, false
	}
	return spans[low].group, true
}

// Group returns the newest record of a group.
func (t *Table) Group(service, id string) (*ownership.Group, bool) {
	g, ok := t.current.Load().groups[ownership.GroupKey(service, id)]
	return g, ok
}

// Groups returns all records, in no particular order. The caller must not
// change them.
func (t *Table) Groups() []*ownership.Group {
	groups := t.current.Load().groups
	all := make([]*ownership.Group, 0, len(groups))
	for _, g := range groups {
		all = append(all, g)
	}
	return all
}

// Merge takes in records and returns those that were newer than the ones in
// the table.
func (t *Table) Merge(records ...ownership.Group) []ownership.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	var newer []ownership.Group
	changed := map[string][]*ownership.Group{}
	for _, r := range records {
		if have, ok := old.groups[r.Key()]; ok && have.Version >= r.Version {
			continue
		}
		newer = append(newer, r)
		changed[r.Service] = append(changed[r.Service], &newer[len(newer)-1])
	}
	if len(newer) == 0 {
		return nil
	}
	t.current.Store(old.with(changed))
	return newer
}

// with returns a copy of the snapshot in which the changed records replace the
// older ones.
func (s *snapshot) with(changed map[string][]*ownership.Group) *snapshot {
	next := &snapshot{
		services: make(map[string][]span, len(s.services)+len(changed)),
		groups:   make(map[string]*ownership.Group, len(s.groups)+len(changed)),
	}
	for k, v := range s.services {
		next.services[k] = v
	}
	for k, v := range s.groups {
		next.groups[k] = v
	}
	for service, records := range changed {
		for _, r := range records {
			next.groups[r.Key()] = r
		}
		next.services[service] = repaint(s.services[service], records)
	}
	return next
}

// repaint drops the spans of the changed groups and lays their shards over the
// rest. A shard yields where a newer record claims the same positions.
func repaint(spans []span, records []*ownership.Group) []span {
	replaced := make(map[string]bool, len(records))
	for _, r := range records {
		replaced[r.ID] = true
	}
	kept := make([]span, 0, len(spans))
	for _, s := range spans {
		if !replaced[s.group.ID] {
			kept = append(kept, s)
		}
	}
	byVersion := slices.Clone(records)
	slices.SortFunc(byVersion, func(a, b *ownership.Group) int { return int(a.Version - b.Version) })
	for _, r := range byVersion {
		kept = lay(kept, r)
	}
	return kept
}

// lay adds the shards of one record to the sorted spans. Older spans are cut
// where they overlap; newer ones cut the record's shards.
func lay(spans []span, r *ownership.Group) []span {
	out := make([]span, 0, len(spans)+len(r.Shards))
	i := 0
	for _, shard := range r.Shards {
		for i < len(spans) && spans[i].shard.Last < shard.First {
			out = append(out, spans[i])
			i++
		}
		first := shard.First
		covered := false
		for i < len(spans) && spans[i].shard.First <= shard.Last {
			s := spans[i]
			if s.group.Version > r.Version {
				if first < s.shard.First {
					out = append(out, span{keyspace.Shard{First: first, Last: s.shard.First - 1}, r})
				}
				out = append(out, s)
				if s.shard.Last >= shard.Last {
					covered = true
					i++
					break
				}
				first = s.shard.Last + 1
				i++
				continue
			}
			if s.shard.First < first {
				out = append(out, span{keyspace.Shard{First: s.shard.First, Last: first - 1}, s.group})
			}
			if s.shard.Last > shard.Last {
				// The rest of the older span stays for the shards that follow.
				out = append(out, span{keyspace.Shard{First: first, Last: shard.Last}, r})
				covered = true
				spans = slices.Clone(spans)
				spans[i].shard.First = shard.Last + 1
				break
			}
			i++
		}
		if !covered {
			out = append(out, span{keyspace.Shard{First: first, Last: shard.Last}, r})
		}
	}
	return append(out, spans[i:]...)
}
