// Package table is the interface to the platform's transactional table
// service, with its HTTP client.
//
// The service keeps rows under string keys. Each committed transaction has a
// revision that grows through the life of the table, and a row's version is
// the revision of the transaction that wrote it last, so a version never
// repeats even when a row is deleted and created again.
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

// Condition holds when the row has exactly this version. Version 0 means that
// the row is absent.
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

// Txn is applied whole when all its conditions hold, and not at all otherwise.
type Txn struct {
	// ID names the attempt. It is stored in every row that the transaction
	// writes, so that a writer whose answer was lost can read a row and see
	// whether its write took effect.
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Errors that a Store returns, wrapped with detail.
var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("row not found")
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("transaction condition failed")
	// ErrUnavailable means that the service did not take the request; nothing
	// was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrOutcomeUnknown means that the request was sent and no answer came: a
	// transaction may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("table service answer lost")
	// ErrInvalid means that the service refused the request as malformed;
	// nothing was written.
	ErrInvalid = errors.New("invalid table request")
)

// Store reads and writes rows.
type Store interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the first rows, at most limit and at most MaxScanRows,
	// whose keys start with prefix and sort after the key after, in key order.
	// Fewer than limit rows mean that there are no more.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (revision int64, err error)
}

// scanPage is the number of rows that ScanAll asks for at a time.
const scanPage = MaxScanRows

// ScanAll returns every row whose key starts with prefix. Its pages are read
// one after another: rows that change meanwhile can be seen or missed.
func ScanAll(ctx context.Context, s Store, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := s.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
