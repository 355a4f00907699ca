package ownership

import (
	"slices"
	"strings"
	"time"
)

// HeldGroups returns the groups that this host holds, sorted by key.
func (m *Manager) HeldGroups() []Group {
	m.lock()
	defer m.unlock()
	groups := make([]Group, 0, len(m.held))
	for _, role := range m.held {
		groups = append(groups, role.rec)
	}
	return sortGroups(groups)
}

// StandbyGroups returns the groups for which this host is the standby, sorted by
// key. A group known only from heartbeats has no shards and version 0 until its
// row is read.
func (m *Manager) StandbyGroups() []Group {
	m.lock()
	defer m.unlock()
	groups := make([]Group, 0, len(m.standbys))
	for _, role := range m.standbys {
		groups = append(groups, role.rec)
	}
	return sortGroups(groups)
}

func sortGroups(groups []Group) []Group {
	slices.SortFunc(groups, func(a, b Group) int { return strings.Compare(a.Key(), b.Key()) })
	return groups
}

// NewestRecord returns the newest known record of a group.
func (m *Manager) NewestRecord(service, groupID string) (Group, bool) {
	m.lock()
	defer m.unlock()
	g, ok := m.newest[GroupKey(service, groupID)]
	return g, ok
}

// Summary counts the groups of this host.
type Summary struct {
	// Held and Shards count the groups that this host holds and their shards;
	// Standbys counts the groups for which it is the standby.
	Held, Shards, Standbys int
	// WithoutStandby counts held groups that have no standby. Lapsed counts held
	// groups that may not be served now.
	WithoutStandby, Lapsed int
	// MinLeaseRemaining is the shortest remaining lease time of the held groups;
	// 0 if a lease has lapsed or no group is held.
	MinLeaseRemaining time.Duration
}

// Summary returns the current counts.
func (m *Manager) Summary(now time.Time) Summary {
	m.lock()
	defer m.unlock()
	s := Summary{Held: len(m.held), Standbys: len(m.standbys)}
	first := true
	for _, role := range m.held {
		s.Shards += len(role.rec.Shards)
		if role.rec.Standby.IsZero() {
			s.WithoutStandby++
		}
		remaining := max(0, role.machine.LeaseEnd().Sub(now))
		if role.handingOver || remaining == 0 {
			remaining = 0
			s.Lapsed++
		}
		if first || remaining < s.MinLeaseRemaining {
			s.MinLeaseRemaining = remaining
		}
		first = false
	}
	return s
}
