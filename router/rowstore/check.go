package rowstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// checkInterval is the interval of checks by default.
	checkInterval = 2 * time.Second
	// minCheckTimeout limits one check. It doubles, up to maxCheckTimeout, after each
	// check that took longer: a store or a host that is slow for all calls would
	// otherwise never complete one.
	minCheckTimeout = 500 * time.Millisecond
	maxCheckTimeout = 2 * time.Second
)

// ErrNotFollowing means that there is nothing to check, because the table has not been
// read, or the last call of Run failed and the next one has not begun.
var ErrNotFollowing = errors.New("the table is not being followed")

// checkState is what the checks of a Follower know of those before them. It is guarded by mu,
// which is also held while Checked is called.
type checkState struct {
	mu sync.Mutex
	// endedAt is the end of the last check, at first the start of the Follower.
	endedAt time.Time
	// succeededAt is the start of the latest check that succeeded.
	succeededAt time.Time
	timeout     time.Duration
}

// runChecks makes the checks until ctx is done.
func (f *Follower) runChecks(ctx context.Context) {
	state := &checkState{endedAt: time.Now(), timeout: minCheckTimeout}
	var checks sync.WaitGroup
	defer checks.Wait()
	for ctx.Err() == nil {
		if delay := f.checkDelay(state.lastEnd()); delay > 0 {
			sleep(ctx, delay)
			continue
		}
		ended, end := context.WithCancel(ctx)
		checks.Go(func() {
			defer end()
			f.runCheck(ctx, state)
		})
		if f.MaxCheckGap > 0 {
			sleep(ended, f.MaxCheckGap)
			continue
		}
		<-ended.Done()
	}
}

func (c *checkState) lastEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt
}

// runCheck makes a check and reports its outcome. The failure of a check is not reported if
// one that began later has succeeded.
func (f *Follower) runCheck(ctx context.Context, state *checkState) {
	state.mu.Lock()
	start, timeout := time.Now(), state.timeout
	state.mu.Unlock()
	undelivered, err := f.check(ctx, timeout)
	state.mu.Lock()
	defer state.mu.Unlock()
	if err != nil && state.succeededAt.After(start) {
		return
	}
	state.timeout = nextCheckTimeout(timeout, err)
	state.endedAt = time.Now()
	if err == nil {
		state.succeededAt = start
		f.confirmFeed(start)
	}
	if f.Checked != nil && ctx.Err() == nil {
		f.Checked(start, undelivered, err)
	}
}

// nextCheckTimeout returns the timeout of the check after one that ended with err.
func nextCheckTimeout(timeout time.Duration, err error) time.Duration {
	if errors.Is(err, context.DeadlineExceeded) {
		return min(2*timeout, maxCheckTimeout)
	}
	return minCheckTimeout
}

func (f *Follower) checkDelay(checkedAt time.Time) time.Duration {
	if f.CheckDelay != nil {
		return f.CheckDelay()
	}
	return time.Until(checkedAt.Add(checkInterval))
}

// check asks the store for changes that were not reported, and reports them. If there are
// any, a watch that has been in progress all the time is replaced; undelivered is the
// number of rows that it missed.
func (f *Follower) check(ctx context.Context, timeout time.Duration) (undelivered int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.mu.Lock()
	following, position, watch := f.following || f.endWatch != nil, f.position, f.watchInProgress()
	f.mu.Unlock()
	if !following {
		return 0, ErrNotFollowing
	}
	rows, version, err := f.checkStore().Watch(ctx, f.Table, position, 0)
	if errors.Is(err, ErrHistoryGone) {
		f.replaceWatch(watch, ErrHistoryGone) // Run reads the table again
	}
	if err != nil {
		return 0, err
	}
	unreported := f.report(rows, version)
	if unreported > 0 && f.replaceWatch(watch, errWatchReplaced) {
		return unreported, nil
	}
	return 0, nil // there was no watch that could have delivered them
}

func (f *Follower) checkStore() Store {
	if f.CheckStore != nil {
		return f.CheckStore
	}
	return f.Store
}

// noWatch is never the number of a watch.
const noWatch = 0

// watchInProgress returns the number of the watch in progress, or noWatch. f.mu must be
// held.
func (f *Follower) watchInProgress() int64 {
	if f.endWatch == nil {
		return noWatch
	}
	return f.watches
}

// replaceWatch ends the given watch with the result and reports whether it was still in
// progress.
func (f *Follower) replaceWatch(watch int64, result error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if watch == noWatch || watch != f.watchInProgress() {
		return false
	}
	f.endWatch(result)
	f.endWatch = nil
	return true
}
