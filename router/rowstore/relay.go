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
	// primaryPause is the time for which a store that failed is not asked while
	// other hosts can ask it.
	primaryPause = 2 * time.Second
	// relayPause is the time for which nobody is asked after the store failed for
	// other hosts as well: it is down, and each call is paid for.
	relayPause = 700 * time.Millisecond
	// relayTries is the number of other hosts that one call is sent through.
	relayTries = 2
	// oneByOne keeps a transaction from meeting its own effect as a conflict.
	oneByOne = 1
)

// ErrUnavailable means that the store cannot be reached by this host and by the
// others that were asked.
var ErrUnavailable = errors.New("the store is unavailable")

// RelayedStore is a store that is asked through other hosts while it does not answer
// this one: the platform may refuse some hosts and serve the others. Transactions
// may be sent twice; their conditions keep them from being applied twice.
type RelayedStore struct {
	Primary Store
	// Relays returns up to n ways to the store through other hosts.
	Relays func(n int) []Store
	// Now is time.Now, or a stand-in.
	Now func() time.Time

	mu sync.Mutex
	// avoid is the end of the time for which the primary way is not used.
	avoid time.Time
	// down is the end of the time for which no way is used.
	down time.Time
}

// Parts implements Store.
func (r *RelayedStore) Parts(ctx context.Context, table string) (parts []string, version int64, err error) {
	a, err := relayed(ctx, r, relayTries, func(ctx context.Context, s Store) (readParts, error) {
		parts, version, err := s.Parts(ctx, table)
		return readParts{parts, version}, err
	})
	return a.parts, a.version, err
}

// List implements Store.
func (r *RelayedStore) List(ctx context.Context, table, part string) (rows []Row, version int64, err error) {
	a, err := relayed(ctx, r, relayTries, func(ctx context.Context, s Store) (readRows, error) {
		rows, version, err := s.List(ctx, table, part)
		return readRows{rows, version}, err
	})
	return a.rows, a.version, err
}

// readParts is the answer of Parts.
type readParts struct {
	parts   []string
	version int64
}

// readRows is the answer of a reading.
type readRows struct {
	rows    []Row
	version int64
}

// Watch implements Store.
func (r *RelayedStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error) {
	a, err := relayed(ctx, r, relayTries, func(ctx context.Context, s Store) (readRows, error) {
		rows, version, err := s.Watch(ctx, table, after, wait)
		return readRows{rows, version}, err
	})
	return a.rows, a.version, err
}

// Commit implements Store.
func (r *RelayedStore) Commit(ctx context.Context, txn Txn) (version int64, err error) {
	if len(txn.Conditions) == 0 {
		return 0, errUnconditional
	}
	return relayed(ctx, r, oneByOne, func(ctx context.Context, s Store) (int64, error) { return s.Commit(ctx, txn) })
}

// errUnconditional refuses a transaction that would be applied twice.
var errUnconditional = errors.New("a transaction that may be sent twice needs a condition")

// answered reports whether the store itself answered the call.
func answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.Is(err, ErrHistoryGone) || errors.As(err, &conflict)
}

// relayed makes a call on the primary way, and through other hosts when that fails.
// Up to atOnce of these are asked at the same time, and the first answer of the
// store wins.
func relayed[T any](ctx context.Context, r *RelayedStore, atOnce int, call func(context.Context, Store) (T, error)) (T, error) {
	var none T
	avoid, down := r.state()
	if down {
		return none, ErrUnavailable
	}
	var failed error
	if !avoid {
		result, err := primary(ctx, r, call)
		if answered(err) || ctx.Err() != nil {
			return result, err
		}
		failed = err
	}
	for ways := range slices.Chunk(r.Relays(relayTries), atOnce) {
		result, err := first(ctx, ways, call)
		if answered(err) || ctx.Err() != nil {
			return result, err
		}
		failed = errors.Join(failed, err)
	}
	r.mark(false)
	return none, fmt.Errorf("%w: %w", ErrUnavailable, failed)
}

// first makes a call on several ways at the same time and returns the first answer
// of the store.
func first[T any](ctx context.Context, ways []Store, call func(context.Context, Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		result T
		err    error
	}
	outcomes := make(chan outcome, len(ways))
	for _, way := range ways {
		go func() {
			result, err := call(ctx, way)
			outcomes <- outcome{result, err}
		}()
	}
	var failed error
	for range ways {
		o := <-outcomes
		if answered(o.err) || ctx.Err() != nil {
			return o.result, o.err
		}
		failed = errors.Join(failed, o.err)
	}
	var none T
	return none, failed
}

// primary makes a call on the primary way. It leaves half of the time of a short
// call for other ways.
func primary[T any](ctx context.Context, r *RelayedStore, call func(context.Context, Store) (T, error)) (T, error) {
	limited := ctx
	if deadline, ok := ctx.Deadline(); ok {
		if left := deadline.Sub(r.Now()); left < shortCall {
			var cancel context.CancelFunc
			limited, cancel = context.WithTimeout(ctx, left/2)
			defer cancel()
		}
	}
	result, err := call(limited, r.Primary)
	if !answered(err) && ctx.Err() == nil {
		r.mark(true)
	}
	return result, err
}

// shortCall is the time below which a call is no watch.
const shortCall = 5 * time.Second

func (r *RelayedStore) state() (avoid, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	return now.Before(r.avoid), now.Before(r.down)
}

// mark notes a failure of the primary way, or of all ways.
func (r *RelayedStore) mark(primary bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if primary {
		r.avoid = r.Now().Add(primaryPause)
		return
	}
	// The primary way is as good as any other then.
	r.avoid = time.Time{}
	r.down = r.Now().Add(relayPause)
}
