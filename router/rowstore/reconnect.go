package rowstore

import (
	"context"
	"errors"
	"time"
)

// ReconnectingStore retries a call once if its connection was lost, which does not
// show that the store is unavailable. Transactions may be sent twice; their
// conditions keep them from being applied twice.
type ReconnectingStore struct {
	Store Store
}

// retryOnNewConnection makes a call, and retries it once, on a new connection, if the
// connection was lost.
func retryOnNewConnection[T any](ctx context.Context, call func() (T, error)) (T, error) {
	result, err := call()
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		return call()
	}
	return result, err
}

// Parts implements Store.
func (r *ReconnectingStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	a, err := retryOnNewConnection(ctx, func() (partsResult, error) {
		parts, version, err := r.Store.Parts(ctx, table)
		return partsResult{parts, version}, err
	})
	return a.parts, a.version, err
}

// List implements Store.
func (r *ReconnectingStore) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	a, err := retryOnNewConnection(ctx, func() (rowsResult, error) {
		rows, version, err := r.Store.List(ctx, table, part)
		return rowsResult{rows, version}, err
	})
	return a.rows, a.version, err
}

// Watch implements Store.
func (r *ReconnectingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	a, err := retryOnNewConnection(ctx, func() (rowsResult, error) {
		rows, version, err := r.Store.Watch(ctx, table, after, wait)
		return rowsResult{rows, version}, err
	})
	return a.rows, a.version, err
}

// Commit implements Store.
func (r *ReconnectingStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	if len(txn.Conditions) == 0 {
		return 0, errUnconditional
	}
	return retryOnNewConnection(ctx, func() (int64, error) { return r.Store.Commit(ctx, txn) })
}
