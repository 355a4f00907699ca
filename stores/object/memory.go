package object

import (
	"bytes"
	"context"
	"fmt"
	"sync"
)

// Memory is an in-memory Store, for the object store stand-in and for tests. It is
// safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: make(map[string][]byte)}
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, name string, content []byte) error {
	_, err := m.Add(ctx, name, content)
	return err
}

// Add is like Put, and reports whether the object was added instead of already
// present.
func (m *Memory) Add(ctx context.Context, name string, content []byte) (added bool, err error) {
	if err := checkObject(name, content); err != nil {
		return false, err
	}
	if err := ctx.Err(); err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	have, ok := m.objects[name]
	if ok && !bytes.Equal(have, content) {
		return false, fmt.Errorf("%w: %q", ErrExists, name)
	}
	if !ok {
		m.objects[name] = bytes.Clone(content)
	}
	return !ok, nil
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, name string) ([]byte, error) {
	if err := CheckName(name); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[name]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrNotFound, name)
	}
	return append([]byte{}, content...), nil
}
