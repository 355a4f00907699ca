package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/rowstore"
)

// countedStore counts the calls to a store by kind and outcome.
type countedStore struct {
	store rowstore.Store
	scope tally.Scope
}

func (c *countedStore) count(call string, err error) {
	var conflict *rowstore.ConflictError
	outcome := "ok"
	switch {
	case errors.As(err, &conflict):
		outcome = "conflict"
	case errors.Is(err, rowstore.ErrHistoryGone):
		outcome = "history_gone"
	case err != nil:
		outcome = "failed"
	}
	c.scope.Tagged(map[string]string{"call": call, "outcome": outcome}).Counter("store_calls").Inc(1)
}

// Parts implements rowstore.Store.
func (c *countedStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	parts, version, err := c.store.Parts(ctx, table)
	c.count(storeParts, err)
	return parts, version, err
}

// List implements rowstore.Store.
func (c *countedStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	rows, version, err := c.store.List(ctx, table, part)
	c.count(storeList, err)
	return rows, version, err
}

// Watch implements rowstore.Store.
func (c *countedStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	rows, version, err := c.store.Watch(ctx, table, after, wait)
	c.count(storeWatch, err)
	return rows, version, err
}

// Commit implements rowstore.Store.
func (c *countedStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	version, err := c.store.Commit(ctx, txn)
	c.count(storeCommit, err)
	return version, err
}
