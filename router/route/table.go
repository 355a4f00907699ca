// Package route holds the table that finds the group of a key.
//
// The table is a hint: records reach a router late and out of order, and the
// holder's gate has the last word. Among overlapping claims the record with
// the higher row version wins, because row versions grow across the whole
// table service.
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

// maxEmpty bounds the records without shards. Their versions keep older
// records of the same groups out. 45 hosts a day that are replaced leave 90 of
// them, so this is more than a month's worth.
const maxEmpty = 4096

// groupKey names a group without the allocation of a row key.
type groupKey struct {
	service string
	id      string
}

// Table finds the group of a key. Look-ups by key take no lock.
type Table struct {
	// spaces is replaced whole. The spaces in it are immutable.
	spaces atomic.Pointer[map[string]*space]

	// merging keeps merges apart; mu guards groups and is held briefly.
	merging sync.Mutex
	mu      sync.RWMutex
	groups  map[groupKey]*ownership.Group
	empty   int // records without shards
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{groups: map[groupKey]*ownership.Group{}}
	t.spaces.Store(&map[string]*space{})
	return t
}

// Lookup returns the record that claims the position. The caller must not
// change the record.
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

// Groups returns all records, in no particular order. The caller must not
// change them.
func (t *Table) Groups() []*ownership.Group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]*ownership.Group, 0, len(t.groups))
	for _, g := range t.groups {
		all = append(all, g)
	}
	return all
}

// Merge takes in records and returns those that were newer than the ones in
// the table, at most one for each group. The table keeps the records' shard
// slices; the caller must not change them.
func (t *Table) Merge(records ...ownership.Group) []ownership.Group {
	t.merging.Lock()
	defer t.merging.Unlock()
	changed := t.take(records)
	if len(changed) == 0 {
		return nil
	}
	t.paint(changed)
	newer := make([]ownership.Group, 0, len(changed))
	for _, c := range changed {
		newer = append(newer, *c.new)
	}
	return newer
}

// take stores the newest record of each group and returns what it replaced.
func (t *Table) take(records []ownership.Group) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.newest(records)
	changed := make([]change, 0, len(latest))
	for key, g := range latest {
		old := t.groups[key]
		t.groups[key] = g
		t.empty += emptiness(g) - emptiness(old)
		changed = append(changed, change{old: old, new: g})
	}
	t.dropOldestEmpty()
	return changed
}

// newest returns the newest of the given records for each group that has one
// newer than the table's.
func (t *Table) newest(records []ownership.Group) map[groupKey]*ownership.Group {
	latest := map[groupKey]*ownership.Group{}
	for _, r := range records {
		key := groupKey{r.Service, r.ID}
		have := latest[key]
		if have == nil {
			have = t.groups[key]
		}
		if have == nil || r.Version > have.Version {
			latest[key] = &r
		}
	}
	return latest
}

func emptiness(g *ownership.Group) int {
	if g != nil && len(g.Shards) == 0 {
		return 1
	}
	return 0
}

// dropOldestEmpty forgets the older half of the records without shards when
// there are too many. A stale record of such a group could then come back; it
// loses against every newer claim.
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

// paint makes the changes visible to look-ups.
func (t *Table) paint(changed []change) {
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
		spaces[service] = s.with(changes)
	}
	t.spaces.Store(&spaces)
}
