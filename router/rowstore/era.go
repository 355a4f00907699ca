package rowstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// A store that was put back to an older copy has lost what it acknowledged since, and gives
// the same version numbers out again. Each time it does so its era rises by one. A Version
// therefore consists of the era and of the store's number in it, so that versions never go
// back and never name two contents.

// eraShift is the number of bits of a version that hold the store's number.
const eraShift = 40

// NewVersion returns the version with the store's number in an era. A store without eras
// has era 0, whose versions are the numbers.
func NewVersion(era, number int64) int64 {
	return era<<eraShift | number
}

// EraOf returns the era of a version.
func EraOf(version int64) int64 {
	return version >> eraShift
}

// NumberOf returns the store's number of a version.
func NumberOf(version int64) int64 {
	return version & (1<<eraShift - 1)
}

// EraChangedError means that the response is of another era of the store than the call: a
// read brought what the store has lost since, or a transaction was meant for an earlier
// era. Such a transaction may have been applied to the rows of the later era.
type EraChangedError struct {
	// Era is the newest known era.
	Era int64
}

// Error implements error.
func (e *EraChangedError) Error() string {
	return fmt.Sprintf("the store was put back to an older copy; its era is %d", e.Era)
}

// Eras holds the newest era of the store that any response has shown. The zero value has
// era 0. It is safe for concurrent use.
type Eras struct {
	mu     sync.Mutex
	newest int64
	// changed is called after each change of newest, except for the first one.
	changed []func()
	// known is true once an era was observed.
	known bool
}

// Newest returns the newest era.
func (e *Eras) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Known reports whether any era was observed.
func (e *Eras) Known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// OnChange adds a function that is called when the store was put back. It must be called
// before the first Observe.
func (e *Eras) OnChange(changed func()) {
	e.changed = append(e.changed, changed)
}

// Observe records the era of a response, and reports whether it is the newest one.
func (e *Eras) Observe(era int64) (newest bool) {
	e.mu.Lock()
	before, known := e.newest, e.known
	e.newest, e.known = max(e.newest, era), true
	e.mu.Unlock()
	if known && era > before {
		for _, changed := range e.changed {
			changed()
		}
	}
	return era >= before
}

// EraStore observes the eras of all responses of a store, and returns an EraChangedError
// for those that are of an earlier era than another response before them.
type EraStore struct {
	Store
	Eras *Eras
}

// check returns an error if a response with the version is outdated.
func (s *EraStore) check(version int64, err error) error {
	if err != nil {
		s.observeError(err)
		return err
	}
	if !s.Eras.Observe(EraOf(version)) {
		return s.changed()
	}
	return nil
}

func (s *EraStore) changed() error {
	return &EraChangedError{Era: s.Eras.Newest()}
}

// observeError observes the era that an error of another host's EraStore names.
func (s *EraStore) observeError(err error) {
	var changed *EraChangedError
	if errors.As(err, &changed) {
		s.Eras.Observe(changed.Era)
	}
}

// Parts implements Store.
func (s *EraStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	parts, version, err := s.Store.Parts(ctx, table)
	if err = s.check(version, err); err != nil {
		return nil, 0, err
	}
	return parts, version, nil
}

// List implements Store.
func (s *EraStore) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	rows, version, err := s.Store.List(ctx, table, part)
	if err = s.check(version, err); err != nil {
		return nil, 0, err
	}
	return rows, version, nil
}

// Watch implements Store.
func (s *EraStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	rows, version, err := s.Store.Watch(ctx, table, after, wait)
	if err = s.check(version, err); err != nil {
		return nil, 0, err
	}
	return rows, version, nil
}

// Commit implements Store. It returns an EraChangedError unless the store was in the era of
// the transaction when it processed it.
func (s *EraStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	for _, c := range txn.Conditions {
		if c.Version != 0 && EraOf(c.Version) != txn.Era {
			return 0, s.changed()
		}
	}
	if txn.Era < s.Eras.Newest() {
		return 0, s.changed()
	}
	version, err := s.Store.Commit(ctx, txn)
	era := EraOf(version)
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		era = conflict.Era
	case err != nil:
		s.observeError(err)
		return 0, err
	}
	if !s.Eras.Observe(era) || era != txn.Era {
		return 0, s.changed()
	}
	return version, err
}
