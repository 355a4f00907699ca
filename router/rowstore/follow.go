package rowstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockglade.dev/router/retry"
)

const (
	// watchWait is how long a watch waits for a change. Keep-alive probes detect broken
	// connections, and checks a watch that the store has lost.
	watchWait = 25 * time.Second
	// readTimeout is the timeout of one read of the table.
	readTimeout = 2 * time.Second
	// minRetryDelay is added to the backoff after a failed call, which grows from
	// backoffBase to backoffCap.
	minRetryDelay = 50 * time.Millisecond
	backoffBase   = 100 * time.Millisecond
	backoffCap    = 800 * time.Millisecond
)

// Follower reads a table, watches it, and reports all changes.
//
// A watch without news looks like one that the store has lost. A Follower therefore checks
// at intervals whether the store has changes that its watch did not deliver.
type Follower struct {
	Store Store
	Table string
	// Changed is called with each new, changed or deleted row, one call at a time.
	Changed func(Row)
	// BatchDelay, if set, returns the delay from a watch that returned rows to the
	// next one. It batches changes: each change costs every reader a call.
	BatchDelay func() time.Duration
	// Feed, if set, receives all rows.
	Feed *Feed
	// Disconnected is called when a call fails after one that succeeded, Reconnected
	// when a call succeeds again.
	Disconnected func(error)
	Reconnected  func()
	// UpToDate, if set, is called after each successful read or watch: all changes that
	// were in Store before asOf, the start of the call, have been reported.
	UpToDate func(asOf time.Time)
	// Start, if set, is called before the table is read for the first time. It returns what
	// is known of the table, or false if that is nothing; apply reports rows while Start is
	// running.
	Start func(ctx context.Context, apply func([]Row)) (Start, bool)
	// KnownPart, if set, is a part that the table is known to have. It is listed while the
	// parts are being determined.
	KnownPart *string
	// CheckStore, if set, is the store that checks call instead of Store.
	CheckStore Store
	// CheckDelay, if set, returns the time until the next check is due, which is then
	// made unless CheckDelay returns another time. It must return a delay after a check
	// that failed. Nil means every checkInterval.
	CheckDelay func() time.Duration
	// MaxCheckGap, if above 0, is the time after which the next check may begin while the
	// last one has no response. A check that was lost then delays the next one by no more,
	// although a slow store has longer to respond to it.
	MaxCheckGap time.Duration
	// Checked, if set, is called after each check, one call at a time, with the number of rows
	// that the watch in progress had not delivered. If err is nil, all changes that were in
	// CheckStore before asOf, the start of the check, have been reported.
	Checked func(asOf time.Time, undelivered int, err error)

	mu       sync.Mutex
	versions map[Key]int64
	// position is the version up to which all changes have been reported.
	position int64
	// following is true if the last call of Run succeeded.
	following bool
	// endWatch ends the watch in progress with the given result. It is nil if there is
	// none.
	endWatch context.CancelCauseFunc
	// watches is the number of watches that have begun.
	watches int64
	// rows are those not yet added to Feed.
	rows []Row

	// started is what Start returned, until the table is read.
	started      *Start
	disconnected bool
	// changed is true if the last watch returned rows.
	changed bool
}

// errWatchReplaced ends a watch because a check has found changes that it did not deliver.
var errWatchReplaced = errors.New("watch replaced")

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.versions = map[Key]int64{}
	f.mu.Unlock()
	var checks sync.WaitGroup
	checks.Go(func() { f.runChecks(ctx) })
	defer checks.Wait()
	backoff := retry.Backoff{Base: backoffBase, Cap: backoffCap}
	failures := 0
	// historyGone is true if the last watch returned ErrHistoryGone.
	read, historyGone := f.begin(ctx), false
	for ctx.Err() == nil {
		var err error
		start := time.Now()
		if read {
			err = f.watch(ctx)
		} else {
			err = f.read(ctx)
		}
		if errors.Is(err, errWatchReplaced) {
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			// The content of the feed is still valid, so it stays open. The table is read
			// again at once, unless the previous read ended in the same error.
			if historyGone {
				sleep(ctx, minRetryDelay+backoff.Delay(failures))
				failures++
			}
			read, historyGone = false, true
			continue
		}
		historyGone = historyGone && !read
		f.setFollowing(err == nil)
		if ctx.Err() != nil {
			return
		}
		f.reportConnection(err)
		if err == nil {
			f.reportUpToDate(start)
			read = true
			failures = 0
			f.delayAfterChange(ctx)
			continue
		}
		sleep(ctx, minRetryDelay+backoff.Delay(failures))
		failures++
	}
}

// setFollowing records whether the last call succeeded, and opens or closes the feed.
func (f *Follower) setFollowing(following bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.following = following
	if f.Feed == nil {
		return
	}
	if following {
		f.openFeed()
		return
	}
	f.Feed.close()
}

// openFeed adds the new rows to the feed. f.mu must be held.
func (f *Follower) openFeed() {
	f.Feed.open(f.position, f.rows)
	f.rows = nil
}

// reportConnection calls Disconnected or Reconnected if the result of a call differs
// from that of the previous one.
func (f *Follower) reportConnection(err error) {
	switch {
	case err != nil && !f.disconnected:
		f.disconnected = true
		f.Disconnected(err)
	case err == nil && f.disconnected:
		f.disconnected = false
		f.Reconnected()
	}
}

func (f *Follower) reportUpToDate(asOf time.Time) {
	f.confirmFeed(asOf)
	if f.UpToDate != nil {
		f.UpToDate(asOf)
	}
}

func (f *Follower) confirmFeed(asOf time.Time) {
	if f.Feed != nil {
		f.Feed.confirm(asOf)
	}
}

// read reads the whole table, part by part, and continues from the earliest version at which
// the parts were determined or listed, because a watch from there is the only call that
// reports parts created since.
func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ahead, listed := f.listAhead(ctx)
	parts, version, err := f.Store.Parts(ctx, f.Table)
	if err != nil {
		return err
	}
	present := map[Key]bool{}
	for _, part := range parts {
		var l listing
		if listed != nil && part == ahead {
			l = listed()
		} else {
			l = f.list(ctx, part)
		}
		if l.err != nil {
			return l.err
		}
		version = min(version, l.version)
		for _, r := range l.rows {
			present[r.Key] = true
		}
		f.applyListed(l.rows)
	}
	f.finishRead(present, version)
	return nil
}

// finishRead reports rows that were deleted while the table was not watched, and
// continues from the version. Both are one step: a check that received such a row earlier
// must not report it in between.
func (f *Follower) finishRead(present map[Key]bool, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key := range f.versions {
		if !present[key] {
			f.apply(Row{Key: key, Version: version, Deleted: true})
		}
	}
	f.position = version
}

func (f *Follower) watch(ctx context.Context) error {
	replaceable, replace := context.WithCancelCause(ctx)
	defer replace(nil)
	limited, cancel := context.WithTimeout(replaceable, watchWait+readTimeout)
	defer cancel()
	f.mu.Lock()
	f.endWatch = replace
	f.watches++
	position := f.position
	f.mu.Unlock()
	rows, version, err := f.Store.Watch(limited, f.Table, position, watchWait)
	f.mu.Lock()
	replaced := f.endWatch == nil
	f.endWatch = nil
	f.mu.Unlock()
	if replaced && err != nil {
		return context.Cause(replaceable)
	}
	if err != nil {
		return err
	}
	f.report(rows, version)
	f.changed = len(rows) > 0
	return nil
}

// report reports the rows of a watch that brought all changes up to the version. It
// returns the number of rows that had not been reported before. Rows up to the position
// are skipped: watches and checks receive the same rows, and a late copy of one that was
// deleted meanwhile must not bring it back.
func (f *Follower) report(rows []Row, version int64) (unreported int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		if r.Version > f.position && f.apply(r) {
			unreported++
		}
	}
	f.position = max(f.position, version)
	if f.Feed != nil && f.following {
		f.openFeed()
	}
	return unreported
}

// Position returns the version up to which all changes have been reported.
func (f *Follower) Position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// delayAfterChange waits for BatchDelay if the last watch returned rows.
func (f *Follower) delayAfterChange(ctx context.Context) {
	if f.changed && f.BatchDelay != nil {
		sleep(ctx, f.BatchDelay())
	}
	f.changed = false
}

// applyListed reports the rows of a part that was read.
func (f *Follower) applyListed(rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		f.apply(r)
	}
}

// apply reports a row unless the same or a newer version of it was reported. f.mu must be
// held, so that rows are reported in the order of their versions.
func (f *Follower) apply(r Row) bool {
	if reported, ok := f.versions[r.Key]; ok && r.Version <= reported {
		return false
	}
	f.versions[r.Key] = r.Version
	if r.Deleted {
		delete(f.versions, r.Key)
	}
	f.Changed(r)
	if f.Feed != nil {
		f.rows = append(f.rows, r)
	}
	return true
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
