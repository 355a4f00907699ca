package rowstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// primaryRetryDelay is how long Primary is not called after a failure, while
	// calls through other hosts succeed.
	primaryRetryDelay = 2 * time.Second
	// unavailableDelay is how long all calls are refused after the store failed
	// through other hosts as well: it is down, and each call is billed.
	unavailableDelay = 700 * time.Millisecond
	// maxRelays is the maximum number of other hosts through which a call is sent.
	maxRelays = 2
	// sequential is the concurrency of relayed transactions: concurrent copies of a
	// transaction would see each other's effect as a conflict.
	sequential = 1
)

// ErrUnavailable means that the store cannot be reached, neither by this host nor
// through the other hosts that were tried.
var ErrUnavailable = errors.New("store unavailable")

// RelayedStore calls a store, and relays the calls through other hosts while the
// store does not respond to this host: the platform may refuse some hosts and serve
// others. Transactions may be sent twice; their conditions keep them from being
// applied twice.
type RelayedStore struct {
	Primary Store
	// Relays returns up to n stores that relay calls through other hosts.
	Relays func(n int) []Store
	// Now is time.Now, or a replacement in tests.
	Now func() time.Time

	mu sync.Mutex
	// avoidPrimaryUntil is the time until which Primary is not called.
	avoidPrimaryUntil time.Time
	// downUntil is the time until which all calls are refused.
	downUntil time.Time
}

// Parts implements Store.
func (r *RelayedStore) Parts(ctx context.Context, table string) (parts []string, version int64, err error) {
	a, err := callRelayed(ctx, r, maxRelays, func(ctx context.Context, s Store) (partsResult, error) {
		parts, version, err := s.Parts(ctx, table)
		return partsResult{parts, version}, err
	})
	return a.parts, a.version, err
}

// List implements Store.
func (r *RelayedStore) List(ctx context.Context, table, part string) (rows []Row, version int64, err error) {
	a, err := callRelayed(ctx, r, maxRelays, func(ctx context.Context, s Store) (rowsResult, error) {
		rows, version, err := s.List(ctx, table, part)
		return rowsResult{rows, version}, err
	})
	return a.rows, a.version, err
}

// partsResult is the result of Parts.
type partsResult struct {
	parts   []string
	version int64
}

// rowsResult is the result of List and Watch.
type rowsResult struct {
	rows    []Row
	version int64
}

// Watch implements Store.
func (r *RelayedStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error) {
	a, err := callRelayed(ctx, r, maxRelays, func(ctx context.Context, s Store) (rowsResult, error) {
		rows, version, err := s.Watch(ctx, table, after, wait)
		return rowsResult{rows, version}, err
	})
	return a.rows, a.version, err
}

// Commit implements Store.
func (r *RelayedStore) Commit(ctx context.Context, txn Txn) (version int64, err error) {
	if len(txn.Conditions) == 0 {
		return 0, errUnconditional
	}
	return callRelayed(ctx, r, sequential, func(ctx context.Context, s Store) (int64, error) { return s.Commit(ctx, txn) })
}

// errUnconditional is returned for a transaction without conditions, which could be
// applied twice.
var errUnconditional = errors.New("transaction without condition: it could be applied twice when retried")

// isStoreResponse reports whether err is a response of the store itself.
func isStoreResponse(err error) bool {
	var conflict *ConflictError
	var changed *EraChangedError
	return err == nil || errors.Is(err, ErrHistoryGone) || errors.As(err, &changed) || errors.As(err, &conflict)
}

// callRelayed calls Primary, and relays the call through other hosts if that fails.
// Up to concurrency of these are called concurrently; the first response of the
// store wins.
func callRelayed[T any](ctx context.Context, r *RelayedStore, concurrency int, call func(context.Context, Store) (T, error)) (T, error) {
	var none T
	avoidPrimary, down := r.state()
	if down {
		return none, ErrUnavailable
	}
	var failed error
	if !avoidPrimary {
		result, err := callPrimary(ctx, r, call)
		if isStoreResponse(err) || ctx.Err() != nil {
			return result, err
		}
		failed = err
	}
	for relays := range slices.Chunk(r.Relays(maxRelays), concurrency) {
		result, err := firstResponse(ctx, relays, call)
		if isStoreResponse(err) || ctx.Err() != nil {
			return result, err
		}
		failed = errors.Join(failed, err)
	}
	r.markFailed(false)
	return none, fmt.Errorf("%w: %w", ErrUnavailable, failed)
}

// firstResponse makes a call through several relays concurrently and returns the
// first response of the store.
func firstResponse[T any](ctx context.Context, relays []Store, call func(context.Context, Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		result T
		err    error
	}
	outcomes := make(chan outcome, len(relays))
	for _, relay := range relays {
		go func() {
			result, err := call(ctx, relay)
			outcomes <- outcome{result, err}
		}()
	}
	var failed error
	for range relays {
		o := <-outcomes
		if isStoreResponse(o.err) || ctx.Err() != nil {
			return o.result, o.err
		}
		failed = errors.Join(failed, o.err)
	}
	var none T
	return none, failed
}

// callPrimary calls Primary. If little time remains until the deadline of ctx, it
// leaves half of it for the relays.
func callPrimary[T any](ctx context.Context, r *RelayedStore, call func(context.Context, Store) (T, error)) (T, error) {
	limited := ctx
	if deadline, ok := ctx.Deadline(); ok {
		if remaining := deadline.Sub(r.Now()); remaining < shortCallLimit {
			var cancel context.CancelFunc
			limited, cancel = context.WithTimeout(ctx, remaining/2)
			defer cancel()
		}
	}
	result, err := call(limited, r.Primary)
	if !isStoreResponse(err) && ctx.Err() == nil {
		r.markFailed(true)
	}
	return result, err
}

// shortCallLimit is the remaining time below which a call is not a watch.
const shortCallLimit = 5 * time.Second

// state reports whether Primary is to be avoided and whether the store is down.
func (r *RelayedStore) state() (avoidPrimary, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	return now.Before(r.avoidPrimaryUntil), now.Before(r.downUntil)
}

// markFailed records a failure of Primary if primary is true, otherwise of Primary
// and all relays.
func (r *RelayedStore) markFailed(primary bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if primary {
		r.avoidPrimaryUntil = r.Now().Add(primaryRetryDelay)
		return
	}
	// Once downUntil has passed, Primary is as likely to respond as the relays.
	r.avoidPrimaryUntil = time.Time{}
	r.downUntil = r.Now().Add(unavailableDelay)
}
