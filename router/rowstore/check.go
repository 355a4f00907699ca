package rowstore

import (
	"context"
	"errors"
	"time"
)

const (
	// checkInterval is the interval of checks by default.
	checkInterval = 2 * time.Second
	// checkTimeout limits one check.
	checkTimeout = 500 * time.Millisecond
)

// ErrNotFollowing means that there is nothing to check, because the table has not been
// read, or the last call of Run failed and the next one has not begun.
var ErrNotFollowing = errors.New("the table is not being followed")

// runChecks makes the checks until ctx is done.
func (f *Follower) runChecks(ctx context.Context) {
	checkedAt := time.Now()
	for ctx.Err() == nil {
		if delay := f.checkDelay(checkedAt); delay > 0 {
			sleep(ctx, delay)
			continue
		}
		start := time.Now()
		undelivered, err := f.check(ctx)
		checkedAt = time.Now()
		if f.Checked != nil && ctx.Err() == nil {
			f.Checked(start, undelivered, err)
		}
	}
}

func (f *Follower) checkDelay(checkedAt time.Time) time.Duration {
	if f.CheckDelay != nil {
		return f.CheckDelay()
	}
	return time.Until(checkedAt.Add(checkInterval))
}

// check asks the store for changes that were not reported, and reports them. If there are
// any, the watch in progress is replaced.
func (f *Follower) check(ctx context.Context) (undelivered int, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	f.mu.Lock()
	following, position := f.following || f.endWatch != nil, f.position
	f.mu.Unlock()
	if !following {
		return 0, ErrNotFollowing
	}
	rows, version, err := f.checkStore().Watch(ctx, f.Table, position, 0)
	if errors.Is(err, ErrHistoryGone) {
		f.replaceWatch(position, ErrHistoryGone) // Run reads the table again
	}
	if err != nil {
		return 0, err
	}
	if undelivered = f.report(rows, version); undelivered > 0 {
		f.replaceWatch(anyPosition, errWatchReplaced)
	}
	return undelivered, nil
}

func (f *Follower) checkStore() Store {
	if f.CheckStore != nil {
		return f.CheckStore
	}
	return f.Store
}

// anyPosition stands for all positions.
const anyPosition = -1

// replaceWatch ends the watch in progress with the result, if there is one and the
// position is still the given one.
func (f *Follower) replaceWatch(position int64, result error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endWatch == nil || position != anyPosition && position != f.position {
		return
	}
	f.endWatch(result)
	f.endWatch = nil
}
