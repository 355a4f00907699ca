package rowstore

import (
	"context"
	"errors"
	"time"
)

// ReconnectingStore makes a call once more when its connection was lost: that tells nothing
// of the store. Transactions may be sent twice; their conditions keep them from being
// applied twice.
type ReconnectingStore struct {
	Store Store
}

// reconnected makes a call, and once more on a new connection when that was lost.
func reconnected[T any](ctx context.Context, call func() (T, error)) (T, error) {
	result, err := call()
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		return call()
	}
	return result, err
}

// Parts implements Store.
func (r *ReconnectingStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	a, err := reconnected(ctx, func() (readParts, error) {
		parts, version, err := r.Store.Parts(ctx, table)
		return readParts{parts, version}, err
	})
	return a.parts, a.version, err
}

// List implements Store.
func (r *ReconnectingStore) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	a, err := reconnected(ctx, func() (readRows, error) {
		rows, version, err := r.Store.List(ctx, table, part)
		return readRows{rows, version}, err
	})
	return a.rows, a.version, err
}

// Watch implements Store.
func (r *ReconnectingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	a, err := reconnected(ctx, func() (readRows, error) {
		rows, version, err := r.Store.Watch(ctx, table, after, wait)
		return readRows{rows, version}, err
	})
	return a.rows, a.version, err
}

// Commit implements Store.
func (r *ReconnectingStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	if len(txn.Conditions) == 0 {
		return 0, errUnconditional
	}
	return reconnected(ctx, func() (int64, error) { return r.Store.Commit(ctx, txn) })
}
