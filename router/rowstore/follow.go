package rowstore

import (
	"context"
	"errors"
	"time"

	"burdockglade.dev/router/retry"
)

const (
	// watchWait is how long a watch waits for a change. Keep-alive probes detect
	// broken connections, so a long wait delays nothing.
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
type Follower struct {
	Store Store
	Table string
	// Changed is called with each new, changed or deleted row.
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
	// UpToDate, if set, is called after each successful call: all changes that were
	// made before asOf, the start of the call, have been reported.
	UpToDate func(asOf time.Time)

	versions     map[Key]int64
	disconnected bool
	// rows are those not yet added to Feed.
	rows []Row
	// changed is true if the last watch returned rows.
	changed bool
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.versions = map[Key]int64{}
	backoff := retry.Backoff{Base: backoffBase, Cap: backoffCap}
	failures := 0
	// historyGone is true if the last watch returned ErrHistoryGone.
	version, read, historyGone := int64(0), false, false
	for ctx.Err() == nil {
		var err error
		start := time.Now()
		if read {
			version, err = f.watch(ctx, version)
		} else {
			version, err = f.read(ctx)
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
		f.updateFeed(version, err)
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

// updateFeed opens the feed after a successful call and closes it after a failed
// one.
func (f *Follower) updateFeed(version int64, err error) {
	switch {
	case f.Feed == nil:
	case err != nil:
		f.Feed.close()
	default:
		f.Feed.open(version, f.rows)
		f.rows = nil
	}
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
	if f.UpToDate != nil {
		f.UpToDate(asOf)
	}
}

// read reads the whole table, part by part, and returns the version at which the
// parts were listed. The watch continues from that version, because it is the only
// call that reports parts created since.
func (f *Follower) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	parts, listedAt, err := f.Store.Parts(ctx, f.Table)
	if err != nil {
		return 0, err
	}
	present := map[Key]bool{}
	for _, part := range parts {
		rows, _, err := f.Store.List(ctx, f.Table, part)
		if err != nil {
			return 0, err
		}
		for _, r := range rows {
			present[r.Key] = true
			f.apply(r)
		}
	}
	f.reportDeleted(present, listedAt)
	return listedAt, nil
}

// reportDeleted reports rows that were deleted while the table was not watched.
func (f *Follower) reportDeleted(present map[Key]bool, version int64) {
	for key := range f.versions {
		if !present[key] {
			f.apply(Row{Key: key, Version: version, Deleted: true})
		}
	}
}

func (f *Follower) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	rows, version, err := f.Store.Watch(ctx, f.Table, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, r := range rows {
		f.apply(r)
	}
	f.changed = len(rows) > 0
	return max(version, after), nil
}

// delayAfterChange waits for BatchDelay if the last watch returned rows.
func (f *Follower) delayAfterChange(ctx context.Context) {
	if f.changed && f.BatchDelay != nil {
		sleep(ctx, f.BatchDelay())
	}
	f.changed = false
}

// apply reports a row unless the same or a newer version of it was reported.
func (f *Follower) apply(r Row) {
	if reported, ok := f.versions[r.Key]; ok && r.Version <= reported {
		return
	}
	f.versions[r.Key] = r.Version
	if r.Deleted {
		delete(f.versions, r.Key)
	}
	f.Changed(r)
	if f.Feed != nil {
		f.rows = append(f.rows, r)
	}
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
