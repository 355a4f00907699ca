package ownership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/stores/table"
)

// Pauses between attempts to settle a write whose answer was lost.
const (
	settlePause    = 20 * time.Millisecond
	maxSettlePause = time.Second
)

// change is one row of a transaction: the row as it was read and as it shall
// become. A zero Version in before creates the row.
type change struct {
	before Group
	after  Group
	remove bool
}

// commit writes the changes in one transaction and settles the outcome when
// the answer is lost. It returns the rows as written.
//
// To settle, it sends the same transaction again. Every condition names a row
// version that never returns, so at most one copy takes effect, and a conflict
// proves that no copy can take effect later. The rows then tell which of the
// two happened.
func (r *Records) commit(ctx context.Context, op string, changes []change, extra ...serviceWrite) ([]Group, error) {
	txn, err := buildTxn(r.newID(), changes, extra)
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
	return r.settle(ctx, op, changes, txn, err)
}

// errSuperseded tells the callers of commit that the rows moved on and carry
// another write id.
var errSuperseded = errors.New("rows were written again")

func (r *Records) settle(ctx context.Context, op string, changes []change, txn table.Txn, cause error) ([]Group, error) {
	pause := settlePause
	for {
		if err := sleep(ctx, pause); err != nil {
			return nil, &UnknownError{Op: op, Err: cause}
		}
		pause = min(2*pause, maxSettlePause)
		found, err := r.findWrite(ctx, txn)
		if err != nil {
			cause = err
			continue
		}
		switch found.state {
		case writeFound:
			return written(changes, found.revision, txn.ID), nil
		case writePassed:
			return nil, errSuperseded
		}
		// The rows are as before, so the write is lost or still on its way.
		revision, err := r.store.Commit(ctx, txn)
		if err == nil {
			return written(changes, revision, txn.ID), nil
		}
		cause = err
	}
}

type writeState int

const (
	writeAbsent writeState = iota // conditions still hold: may yet take effect
	writeFound                    // took effect
	writePassed                   // conditions broken, write id not found
)

type foundWrite struct {
	state    writeState
	revision int64
}

// findWrite reads the rows of the transaction and looks for its id.
func (r *Records) findWrite(ctx context.Context, txn table.Txn) (foundWrite, error) {
	removed := map[string]bool{}
	for _, w := range txn.Writes {
		removed[w.Key] = w.Delete
	}
	broken := false
	for _, c := range txn.Conditions {
		row, err := r.store.Get(ctx, c.Key)
		if err != nil && !errors.Is(err, table.ErrNotFound) {
			return foundWrite{}, err
		}
		if err == nil && row.WriteID == txn.ID {
			return foundWrite{state: writeFound, revision: row.Version}, nil
		}
		// Only the holder deletes a group and ids are never used again, so an
		// absent row is the result that a delete wanted.
		if err != nil && removed[c.Key] {
			return foundWrite{state: writeFound}, nil
		}
		if row.Version != c.Version {
			broken = true
		}
	}
	if broken {
		return foundWrite{state: writePassed}, nil
	}
	return foundWrite{state: writeAbsent}, nil
}

// serviceWrite creates a service row.
type serviceWrite struct {
	key   string
	value []byte
}

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

// read returns the group's row and retries while the store does not answer.
func (r *Records) read(ctx context.Context, service, id string) (Group, error) {
	pause := settlePause
	for {
		g, err := r.Get(ctx, service, id)
		if err == nil || !errkind.Is(err, errkind.StoreUnavailable) {
			return g, err
		}
		if sleep(ctx, pause) != nil {
			return Group{}, err
		}
		pause = min(2*pause, maxSettlePause)
	}
}

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
