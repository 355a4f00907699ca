// Package rowstore is the interface to a store of versioned rows that lie in
// parts of tables. All hosts keep there what must outlive them.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Key names a row. Part may be empty.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row with its content.
type Row struct {
	Key
	Value []byte
	// Version is unique among all rows and grows with each transaction.
	Version int64
	// Deleted marks a dropped row in the result of Watch.
	Deleted bool
	// ReadAt is the time on the store's steady clock at which List read the row; 0
	// when the store does not tell.
	ReadAt time.Duration
}

// Condition holds when the row has the version; 0 means that the row is absent.
type Condition struct {
	Key     Key
	Version int64
}

// Write is a row to be stored.
type Write struct {
	Key   Key
	Value []byte
}

// Txn is applied whole when all its conditions hold, and not at all otherwise.
// All keys of a transaction lie in one part.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Key
}

// ErrHistoryGone means that changes after the given version can no longer be
// read; the reader has to read the rows again.
var ErrHistoryGone = errors.New("the store no longer has the history")

// ErrConnectionLost marks the failure of a call whose connection ended, or fell
// silent, before the whole answer had come. The store may answer on a new one.
var ErrConnectionLost = errors.New("the connection was lost")

// ConflictError means that a condition did not hold and nothing was written.
type ConflictError struct {
	// Rows are the present rows of the conditions; absent rows are left out.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition did not hold; %d of its rows exist", len(e.Rows))
}

// Store reads and writes rows in parts of tables. A call that fails with another error than
// ErrHistoryGone or ConflictError may have taken effect, or may do so seconds
// later if its conditions still hold.
type Store interface {
	// Parts returns the names of the parts of a table that have rows, and a
	// version up to which no part is missing.
	Parts(ctx context.Context, table string) (parts []string, version int64, err error)
	// List returns all rows of a part as of one moment, ordered by name, and the
	// version of that moment.
	List(ctx context.Context, table, part string) (rows []Row, version int64, err error)
	// Watch returns the rows of a table that changed after the version, in order,
	// and the version to go on from. It waits up to wait for a first change.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error)
	// Commit applies the transaction and returns its version.
	Commit(ctx context.Context, txn Txn) (version int64, err error)
}
