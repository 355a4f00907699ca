package ownership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/stores/table"
)

// Shortest and longest delay between attempts to resolve the outcome of a write
// whose response was lost.
const (
	resolveDelay    = 20 * time.Millisecond
	maxResolveDelay = time.Second
)

// change is the change of one row in a transaction: the row as it was read and
// its new content. If the version of before is zero, the row is created.
type change struct {
	before Group
	after  Group
	remove bool
}

// commit writes the changes in one transaction, resolves the outcome when the
// response is lost, and returns the rows as written.
//
// To resolve the outcome, it sends the same transaction again. Every condition
// names a row version that never recurs, so at most one copy takes effect, and a
// conflict proves that no copy can take effect later. The write ids of the rows
// then show whether a copy took effect.
func (r *Records) commit(ctx context.Context, op string, changes []change, services ...serviceWrite) ([]Group, error) {
	txn, err := buildTxn(r.newID(), changes, services)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "%s: %w", op, err)
	}
	revision, err := r.store.Commit(ctx, txn)
	switch {
	case err == nil:
		return written(changes, revision, txn.ID), nil
	case errors.Is(err, table.ErrConflict):
		return nil, err
	case errors.Is(err, table.ErrUnavailable):
		return nil, errkind.New(errkind.StoreUnavailable, "%s was not applied: %w", op, err)
	case errors.Is(err, table.ErrInvalid):
		return nil, errkind.New(errkind.Internal, "%s was not applied: %w", op, err)
	}
	return r.resolve(ctx, op, changes, txn, err)
}

// errSuperseded is returned by commit when the outcome is unknown and the rows
// have been written again under another write id.
var errSuperseded = errors.New("rows were written again")

// resolve determines the outcome of a transaction whose response was lost. It
// retries until the context ends.
func (r *Records) resolve(ctx context.Context, op string, changes []change, txn table.Txn, cause error) ([]Group, error) {
	delay := resolveDelay
	for {
		if err := sleep(ctx, delay); err != nil {
			return nil, &UnknownError{Op: op, Err: cause}
		}
		delay = min(2*delay, maxResolveDelay)
		found, err := r.findWrite(ctx, txn)
		if err != nil {
			cause = err
			continue
		}
		switch found.state {
		case writeFound:
			return written(changes, found.revision, txn.ID), nil
		case writeSuperseded:
			return nil, errSuperseded
		}
		// The rows are unchanged, so the write was lost or is still in transit.
		revision, err := r.store.Commit(ctx, txn)
		if err == nil {
			return written(changes, revision, txn.ID), nil
		}
		cause = err
	}
}

// writeState is what the rows show about a write whose response was lost.
type writeState int

const (
	writeAbsent     writeState = iota // the conditions still hold: the write may yet take effect
	writeFound                        // the write took effect
	writeSuperseded                   // a condition no longer holds and no row has the write id
)

type foundWrite struct {
	state    writeState
	revision int64
}

// findWrite reads the rows of the transaction and searches for its write id.
func (r *Records) findWrite(ctx context.Context, txn table.Txn) (foundWrite, error) {
	deletes := map[string]bool{}
	for _, w := range txn.Writes {
		deletes[w.Key] = w.Delete
	}
	conditionFailed := false
	for _, c := range txn.Conditions {
		row, err := r.store.Get(ctx, c.Key)
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			return foundWrite{}, err
		}
		if err == nil && row.WriteID == txn.ID {
			return foundWrite{state: writeFound, revision: row.Version}, nil
		}
		// Only the holder deletes a group and ids are never reused, so a missing
		// row means that the deletion took effect.
		if err != nil && deletes[c.Key] {
			return foundWrite{state: writeFound}, nil
		}
		if row.Version != c.Version {
			conditionFailed = true
		}
	}
	if conditionFailed {
		return foundWrite{state: writeSuperseded}, nil
	}
	return foundWrite{state: writeAbsent}, nil
}

// serviceWrite creates a service row.
type serviceWrite struct {
	key   string
	value []byte
}

// buildTxn returns the transaction that creates the service rows and applies the
// changes, on condition that no row has changed.
func buildTxn(id string, changes []change, services []serviceWrite) (table.Txn, error) {
	txn := table.Txn{ID: id}
	for _, s := range services {
		txn.Conditions = append(txn.Conditions, table.Condition{Key: s.key})
		txn.Writes = append(txn.Writes, table.Write{Key: s.key, Value: s.value})
	}
	for _, c := range changes {
		key := c.after.Key()
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Version: c.before.Version})
		if c.remove {
			txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
			continue
		}
		value, err := EncodeGroup(c.after)
		if err != nil {
			return table.Txn{}, err
		}
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: value})
	}
	return txn, nil
}

// written returns the groups of the changes as they are stored after a commit.
func written(changes []change, revision int64, id string) []Group {
	groups := make([]Group, 0, len(changes))
	for _, c := range changes {
		g := c.after
		g.Version = revision
		g.WriteID = id
		groups = append(groups, g)
	}
	return groups
}

// read returns the group's record and retries while the store is unavailable.
func (r *Records) read(ctx context.Context, service, id string) (Group, error) {
	delay := resolveDelay
	for {
		g, err := r.Get(ctx, service, id)
		if err == nil || !errkind.Is(err, errkind.StoreUnavailable) {
			return g, err
		}
		if sleep(ctx, delay) != nil {
			return Group{}, err
		}
		delay = min(2*delay, maxResolveDelay)
	}
}

// sleep waits for d. It returns an error if the context ends before.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("waiting for the store: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
