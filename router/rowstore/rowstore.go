// Package rowstore defines the interface to a store of versioned rows, and stores
// that add retries and relaying to it. A row belongs to a part of a table. Hosts keep
// the state in it that must survive their failure.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Key identifies a row. Part may be empty. The field names of the types in this file
// are keys of CBOR maps and must not change.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is one version of a row.
type Row struct {
	Key
	Value []byte
	// Version is the version of the transaction that wrote the row; it increases
	// with each transaction. See NewVersion.
	Version int64
	// Deleted marks a deleted row in the result of Watch.
	Deleted bool
	// ReadAt is the time on the store's monotonic clock at which List read the row,
	// or 0 if the store does not report it.
	ReadAt time.Duration
}

// Condition holds if the row has the version; 0 means that the row does not exist.
type Condition struct {
	Key     Key
	Version int64
}

// Write stores a value in a row.
type Write struct {
	Key   Key
	Value []byte
}

// Txn is a transaction. It is applied atomically if all its conditions hold, and not
// at all otherwise. All its keys must be in the same part.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Key
	// Era is the era of the store for which the transaction is meant.
	Era int64
}

// ErrHistoryGone means that the changes after the given version are no longer
// available; the reader has to read all rows again.
var ErrHistoryGone = errors.New("change history no longer available")

// ErrConnectionLost means that the connection of a call was closed, or timed out,
// before the complete response was received. The store may respond on a new one.
var ErrConnectionLost = errors.New("connection to store lost")

// ConflictError means that a condition did not hold and nothing was written.
type ConflictError struct {
	// Rows are the current rows of the conditions that exist.
	Rows []Row
	// Era is the era of the store.
	Era int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflict: a condition did not hold; %d rows of the conditions exist", len(e.Rows))
}

// Store reads and writes rows in parts of tables. A transaction that fails with an
// error other than ConflictError may have taken effect, or may take effect seconds
// later if its conditions still hold.
type Store interface {
	// Parts returns the names of the parts of a table that have rows, and a
	// version up to which the list is complete.
	Parts(ctx context.Context, table string) (parts []string, version int64, err error)
	// List returns a consistent snapshot of all rows of a part, ordered by name, and
	// the version of the snapshot.
	List(ctx context.Context, table, part string) (rows []Row, version int64, err error)
	// Watch returns the rows of a table that changed after the version, in order of
	// version, and the version to continue from. It waits up to wait for a first change.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error)
	// Commit applies the transaction and returns its version.
	Commit(ctx context.Context, txn Txn) (version int64, err error)
}
