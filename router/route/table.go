// Package route provides the routing table, which maps keys to groups.
//
// The table is a hint: records reach a router late and out of order, and the gate of
// the holder decides whether it owns a key. Among overlapping claims the record with
// the higher row version wins, because row versions increase across the whole table
// service.
package route

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// maxEmpty is the maximum number of records without shards in the table. They are
// retained because their versions reject older records of the same groups. Replacing
// 45 hosts a day leaves 90 of them, so this covers more than a month.
const maxEmpty = 4096

// groupKey identifies a group without allocating the string of a row key.
type groupKey struct {
	service string
	id      string
}

// Table maps key hashes to groups. Lookups by hash do not take a lock. It is safe for
// concurrent use.
type Table struct {
	// spaces maps services to their lookup tables. The map and the spaces are
	// immutable; a merge replaces the map.
	spaces atomic.Pointer[map[string]*space]

	// mergeMu serializes merges; mu guards groups and empty and is held briefly.
	mergeMu sync.Mutex
	mu      sync.RWMutex
	groups  map[groupKey]*ownership.Group
	empty   int // number of records without shards
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{groups: map[groupKey]*ownership.Group{}}
	t.spaces.Store(&map[string]*space{})
	return t
}

// Lookup returns the record with the newest claim to the hash. The caller must not
// modify the record.
func (t *Table) Lookup(service string, h keyspace.Hash) (*ownership.Group, bool) {
	s, ok := (*t.spaces.Load())[service]
	if !ok {
		return nil, false
	}
	g := s.lookup(h)
	return g, g != nil
}

// Group returns the newest record of a group.
func (t *Table) Group(service, id string) (*ownership.Group, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	g, ok := t.groups[groupKey{service, id}]
	return g, ok
}

// Groups returns all records, in no particular order. The caller must not modify
// them.
func (t *Table) Groups() []*ownership.Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*ownership.Group, 0, len(t.groups))
	for _, g := range t.groups {
		all = append(all, g)
	}
	return all
}

// Merge stores the records that are newer than those in the table and returns them,
// at most one per group. The table retains the shard slices of the records; the caller
// must not modify them.
func (t *Table) Merge(records ...ownership.Group) []ownership.Group {
	t.mergeMu.Lock()
	defer t.mergeMu.Unlock()
	changed := t.store(records)
	if len(changed) == 0 {
		return nil
	}
	t.publish(changed)
	newer := make([]ownership.Group, 0, len(changed))
	for _, c := range changed {
		newer = append(newer, *c.new)
	}
	return newer
}

// store stores the newest record of each group and returns the changes.
func (t *Table) store(records []ownership.Group) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.newerRecords(records)
	changed := make([]change, 0, len(latest))
	for key, g := range latest {
		old := t.groups[key]
		t.groups[key] = g
		t.empty += emptyCount(g) - emptyCount(old)
		changed = append(changed, change{old: old, new: g})
	}
	t.dropOldestEmpty()
	return changed
}

// newerRecords returns, for each group, the newest of the given records if it is newer
// than the record in the table.
func (t *Table) newerRecords(records []ownership.Group) map[groupKey]*ownership.Group {
	latest := map[groupKey]*ownership.Group{}
	for _, r := range records {
		key := groupKey{r.Service, r.ID}
		known := latest[key]
		if known == nil {
			known = t.groups[key]
		}
		if known == nil || r.Version > known.Version {
			latest[key] = &r
		}
	}
	return latest
}

// emptyCount returns 1 for a record without shards, otherwise 0.
func emptyCount(g *ownership.Group) int {
	if g != nil && len(g.Shards) == 0 {
		return 1
	}
	return 0
}

// dropOldestEmpty removes the older half of the records without shards if there are
// more than maxEmpty. A stale record of a removed group could then be stored again,
// but every newer claim takes precedence over it.
func (t *Table) dropOldestEmpty() {
	if t.empty <= maxEmpty {
		return
	}
	var empty []groupKey
	for key, g := range t.groups {
		if len(g.Shards) == 0 {
			empty = append(empty, key)
		}
	}
	slices.SortFunc(empty, func(a, b groupKey) int { return cmp.Compare(t.groups[a].Version, t.groups[b].Version) })
	for _, key := range empty[:len(empty)/2] {
		delete(t.groups, key)
		t.empty--
	}
}

// publish makes the changes visible to lookups.
func (t *Table) publish(changed []change) {
	byService := map[string][]change{}
	for _, c := range changed {
		byService[c.new.Service] = append(byService[c.new.Service], c)
	}
	spaces := maps.Clone(*t.spaces.Load())
	for service, changes := range byService {
		s := spaces[service]
		if s == nil {
			s = &space{}
		}
		spaces[service] = s.withChanges(changes)
	}
	t.spaces.Store(&spaces)
}
