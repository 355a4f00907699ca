package rowstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Memory is an in-memory Store. It is a stand-in for the platform's store.
type Memory struct {
	mu      sync.Mutex
	version int64
	rows    map[Key]Row
	history []Row
	// oldest is the version after which the history is complete.
	oldest  int64
	changed chan struct{}
	started time.Time
	// era counts the times at which the store was put back to a copy. The versions in the
	// fields above are numbers in it.
	era int64
}

// Copy is the content of a Memory at one moment.
type Copy struct {
	version int64
	rows    map[Key]Row
	history []Row
}

// Copy returns a copy of the content.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{version: m.version, rows: maps.Clone(m.rows), history: slices.Clone(m.history)}
}

// Restore puts the store back to a copy. What was written since is lost, its version
// numbers are given out again, and the era rises by one.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version, m.rows, m.history = c.version, maps.Clone(c.rows), slices.Clone(c.history)
	m.era++
	close(m.changed)
	m.changed = make(chan struct{})
}

// Era returns the era of the store.
func (m *Memory) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// versioned returns rows with their versions in the era. m.mu must be held.
func (m *Memory) versioned(rows []Row) []Row {
	for i := range rows {
		rows[i].Version = NewVersion(m.era, rows[i].Version)
	}
	return rows
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, changed: make(chan struct{}), started: time.Now()}
}

// Parts implements Store.
func (m *Memory) Parts(_ context.Context, table string) ([]string, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts []string
	for key := range m.rows {
		if key.Table == table && !slices.Contains(parts, key.Part) {
			parts = append(parts, key.Part)
		}
	}
	slices.Sort(parts)
	return parts, NewVersion(m.era, m.version), nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, table, part string) ([]Row, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, r := range m.rows {
		if key.Table == table && key.Part == part {
			r.ReadAt = max(time.Since(m.started), 1)
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return m.versioned(rows), NewVersion(m.era, m.version), nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		number := NumberOf(after)
		if number < m.oldest || number > m.version || (after != 0 && EraOf(after) != m.era) {
			m.mu.Unlock()
			return nil, 0, ErrHistoryGone
		}
		var rows []Row
		for _, r := range m.history {
			if r.Version > number && r.Table == table {
				rows = append(rows, r)
			}
		}
		rows = m.versioned(rows)
		version, changed := NewVersion(m.era, m.version), m.changed
		m.mu.Unlock()
		if len(rows) > 0 {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holds(txn.Conditions) {
		return 0, &ConflictError{Rows: m.versioned(m.present(txn.Conditions)), Era: m.era}
	}
	m.version++
	for _, w := range txn.Writes {
		m.put(Row{Key: w.Key, Value: slices.Clone(w.Value), Version: m.version})
	}
	for _, key := range txn.Deletes {
		m.put(Row{Key: key, Version: m.version, Deleted: true})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return NewVersion(m.era, m.version), nil
}

// holds reports whether all conditions hold. Like the platform's store it compares numbers
// only, so that a version of an earlier era may seem to hold.
func (m *Memory) holds(conditions []Condition) bool {
	for _, c := range conditions {
		if m.rows[c.Key].Version != NumberOf(c.Version) {
			return false
		}
	}
	return true
}

// present returns the existing rows of the conditions.
func (m *Memory) present(conditions []Condition) []Row {
	var rows []Row
	for _, c := range conditions {
		if r, ok := m.rows[c.Key]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func (m *Memory) put(r Row) {
	if r.Deleted {
		delete(m.rows, r.Key)
	} else {
		m.rows[r.Key] = r
	}
	m.history = append(m.history, r)
}

// DiscardHistory discards the history, as the platform's store may do at any time.
func (m *Memory) DiscardHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.oldest = m.version
	close(m.changed)
	m.changed = make(chan struct{})
}
