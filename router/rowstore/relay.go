package rowstore

import (
	"context"
	"errors"
	"fmt"
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
)

// ErrUnavailable means that the store cannot be reached by this host and by the
// others that were asked.
var ErrUnavailable = errors.New("the store is unavailable")

// Relayed is a store that is asked through other hosts while it does not answer
// this one: the platform may refuse some hosts and serve the others. Transactions
// may be sent twice; their conditions keep them from being applied twice.
type Relayed struct {
	Primary Store
	// Through returns up to n ways to the store through other hosts.
	Through func(n int) []Store
	// Now is time.Now, or a stand-in.
	Now func() time.Time

	mu sync.Mutex
	// avoid is the end of the time for which the primary way is not used.
	avoid time.Time
	// down is the end of the time for which no way is used.
	down time.Time
}

// Parts implements Store.
func (r *Relayed) Parts(ctx context.Context, table string) (parts []string, version int64, err error) {
	err = r.do(ctx, func(ctx context.Context, s Store) error {
		parts, version, err = s.Parts(ctx, table)
		return err
	})
	return parts, version, err
}

// List implements Store.
func (r *Relayed) List(ctx context.Context, table, part string) (rows []Row, version int64, err error) {
	err = r.do(ctx, func(ctx context.Context, s Store) error {
		rows, version, err = s.List(ctx, table, part)
		return err
	})
	return rows, version, err
}

// Watch implements Store.
func (r *Relayed) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rows []Row, version int64, err error) {
	err = r.do(ctx, func(ctx context.Context, s Store) error {
		rows, version, err = s.Watch(ctx, table, after, wait)
		return err
	})
	return rows, version, err
}

// Commit implements Store.
func (r *Relayed) Commit(ctx context.Context, txn Txn) (version int64, err error) {
	if len(txn.Conditions) == 0 {
		return 0, errors.New("a transaction that may be sent twice needs a condition")
	}
	err = r.do(ctx, func(ctx context.Context, s Store) error {
		version, err = s.Commit(ctx, txn)
		return err
	})
	return version, err
}

// answered reports whether the store itself answered the call.
func answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.Is(err, ErrHistoryGone) || errors.As(err, &conflict)
}

// do makes a call on the primary way, and through other hosts when that fails.
func (r *Relayed) do(ctx context.Context, call func(context.Context, Store) error) error {
	avoid, down := r.state()
	if down {
		return ErrUnavailable
	}
	var err error
	if !avoid {
		if err = r.primary(ctx, call); answered(err) || ctx.Err() != nil {
			return err
		}
	}
	for _, s := range r.Through(relayTries) {
		relayed := call(ctx, s)
		if answered(relayed) || ctx.Err() != nil {
			return relayed
		}
		err = errors.Join(err, relayed)
	}
	r.mark(false)
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// primary makes a call on the primary way. It leaves half of the time of a short
// call for other ways.
func (r *Relayed) primary(ctx context.Context, call func(context.Context, Store) error) error {
	limited := ctx
	if deadline, ok := ctx.Deadline(); ok {
		if left := deadline.Sub(r.Now()); left < shortCall {
			var cancel context.CancelFunc
			limited, cancel = context.WithTimeout(ctx, left/2)
			defer cancel()
		}
	}
	err := call(limited, r.Primary)
	if !answered(err) && ctx.Err() == nil {
		r.mark(true)
	}
	return err
}

// shortCall is the time below which a call is no watch.
const shortCall = 5 * time.Second

func (r *Relayed) state() (avoid, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	return now.Before(r.avoid), now.Before(r.down)
}

// mark notes a failure of the primary way, or of all ways.
func (r *Relayed) mark(primary bool) {
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
