package table

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Memory is an in-memory Store, for the table service stand-in and for tests.
// It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	rows     map[string]Row
	keys     []string // the keys of rows, sorted, so that a scan visits only the rows it returns
	revision int64
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]Row)}
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Row, error) {
	if err := CheckKey(key); err != nil {
		return Row{}, err
	}
	if err := ctx.Err(); err != nil {
		return Row{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return Row{}, fmt.Errorf("%w: %q", ErrNotFound, key)
	}
	return row.clone(), nil
}

// Scan implements Store.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := CheckScan(prefix, after, limit); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	first, found := slices.BinarySearch(m.keys, max(prefix, after))
	if found && m.keys[first] == after {
		first++
	}
	rows := make([]Row, 0, min(limit, len(m.keys)-first))
	for _, key := range m.keys[first:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, m.rows[key].clone())
	}
	return rows, nil
}

// Commit implements Store.
func (m *Memory) Commit(ctx context.Context, txn Txn) (int64, error) {
	if err := txn.Check(); err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range txn.Conditions {
		if have := m.rows[c.Key].Version; have != c.Version {
			return 0, fmt.Errorf("%w: row %q has version %d, not %d", ErrConflict, c.Key, have, c.Version)
		}
	}
	m.revision++
	for _, w := range txn.Writes {
		m.apply(w, txn.ID)
	}
	return m.revision, nil
}

// apply applies one write at the current revision. The caller holds mu.
func (m *Memory) apply(w Write, id string) {
	i, found := slices.BinarySearch(m.keys, w.Key)
	if w.Delete {
		if found {
			m.keys = slices.Delete(m.keys, i, i+1)
			delete(m.rows, w.Key)
		}
		return
	}
	if !found {
		m.keys = slices.Insert(m.keys, i, w.Key)
	}
	m.rows[w.Key] = Row{Key: w.Key, Version: m.revision, WriteID: id, Value: w.Value}.clone()
}

// clone returns a copy that shares no memory with r. An empty value is never
// nil, as in a response of the service.
func (r Row) clone() Row {
	r.Value = append([]byte{}, r.Value...)
	return r
}
