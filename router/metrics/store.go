package metrics

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/table"
)

// storeCalls records the duration of each call by operation and outcome.
type storeCalls struct {
	scope tally.Scope
}

func (c storeCalls) record(operation string, start time.Time, err error) {
	tags := map[string]string{"operation": operation, "outcome": storeOutcome(err)}
	c.scope.Tagged(tags).Histogram("call_seconds", LatencyBuckets).RecordDuration(time.Since(start))
}

// storeOutcome returns the outcome tag for an error of either store.
func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, table.ErrNotFound), errors.Is(err, object.ErrNotFound):
		return "not_found"
	case errors.Is(err, table.ErrConflict), errors.Is(err, object.ErrExists):
		return "conflict"
	case errors.Is(err, table.ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, object.ErrUnavailable):
		return "unavailable"
	}
	return "error"
}

// timedTable is a table store that records the durations of its calls.
type timedTable struct {
	table.Store
	calls storeCalls
}

// TimedTable returns a store that records the durations of its calls in the scope.
func TimedTable(s table.Store, scope tally.Scope) table.Store {
	return timedTable{s, storeCalls{scope}}
}

// Get implements table.Store.
func (m timedTable) Get(ctx context.Context, key string) (table.Row, error) {
	start := time.Now()
	row, err := m.Store.Get(ctx, key)
	m.calls.record("table_get", start, err)
	return row, err
}

// Scan implements table.Store.
func (m timedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	start := time.Now()
	rows, err := m.Store.Scan(ctx, prefix, after, limit)
	m.calls.record("table_scan", start, err)
	return rows, err
}

// Commit implements table.Store.
func (m timedTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	start := time.Now()
	revision, err := m.Store.Commit(ctx, txn)
	m.calls.record("table_commit", start, err)
	return revision, err
}

// timedObjects is an object store that records the durations of its calls.
type timedObjects struct {
	object.Store
	calls storeCalls
}

// TimedObjects returns a store that records the durations of its calls in the scope.
func TimedObjects(s object.Store, scope tally.Scope) object.Store {
	return timedObjects{s, storeCalls{scope}}
}

// Put implements object.Store.
func (m timedObjects) Put(ctx context.Context, name string, content []byte) error {
	start := time.Now()
	err := m.Store.Put(ctx, name, content)
	m.calls.record("object_put", start, err)
	return err
}

// Get implements object.Store.
func (m timedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	start := time.Now()
	content, err := m.Store.Get(ctx, name)
	m.calls.record("object_get", start, err)
	return content, err
}
