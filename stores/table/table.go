// Package table is the interface to the platform's transactional table
// service, with its HTTP client.
//
// The service stores rows under string keys. Each committed transaction gets a
// revision. Revisions increase monotonically, and a row's version is the
// revision of the transaction that last wrote it, so a version is never reused,
// not even when a row is deleted and created again.
package table

import (
	"context"
	"errors"
)

// Row is a stored row.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`  // revision of the last write
	WriteID string `json:"write_id"` // id of the transaction that wrote it last
	Value   []byte `json:"value"`
}

// Condition is true if the row has exactly this version. Version 0 requires the
// row to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write replaces a row's value, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. It is applied atomically if all its conditions are true,
// and not at all otherwise.
type Txn struct {
	// ID identifies the attempt. It is stored in every row that the
	// transaction writes, so that a writer that did not receive the response
	// can read a row to find out whether its write took effect.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Errors that a Store returns, wrapped with detail.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrConflict means that a condition was false; nothing was written.
	ErrConflict = errors.New("transaction condition failed")
	// ErrUnavailable means that the service did not accept the request; nothing
	// was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrOutcomeUnknown means that the request was sent and no valid response
	// arrived: a transaction may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("no valid response from the table service")
	// ErrInvalid means that the request was rejected as malformed;
	// nothing was written.
	ErrInvalid = errors.New("invalid table request")
)

// Store reads and writes rows.
type Store interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns, in key order, the first limit rows whose keys start with
	// prefix and are greater than after. limit is at most MaxScanRows. Fewer
	// than limit rows mean that there are no more.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (revision int64, err error)
}

// scanPageSize is the number of rows that ScanAll requests per page.
const scanPageSize = MaxScanRows

// ScanAll returns every row whose key starts with prefix. The pages are read
// one after another and are no consistent snapshot: a row that is written
// meanwhile may be returned in its old or new state, or be missing.
func ScanAll(ctx context.Context, s Store, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := s.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
