package rowstore

import (
	"context"
	"errors"
	"time"

	"burdockglade.dev/router/retry"
)

const (
	// watchWait is how long a watch waits for a change. Silent connections are
	// found by keep-alive probes, so that a long wait delays nothing.
	watchWait = 25 * time.Second
	// readTimeout bounds one reading of rows.
	readTimeout = 2 * time.Second
	// shortestRetry is added to each pause after a failed call; firstRetry and
	// lastRetry bound the rest.
	shortestRetry = 50 * time.Millisecond
	firstRetry    = 100 * time.Millisecond
	lastRetry     = 800 * time.Millisecond
)

// Follower keeps a reader up to date with a table.
type Follower struct {
	Store Store
	Table string
	// Changed is called with each row that is new or changed, and with rows that
	// were deleted.
	Changed func(Row)
	// BatchDelay, if set, returns the time from changed rows to the next call, in which
	// further changes gather: each change costs every reader a call.
	BatchDelay func() time.Duration
	// Feed, if set, is given all rows.
	Feed *Feed
	// Disconnected is called when a call fails after one that succeeded, Found when a
	// call succeeds again.
	Disconnected func(error)
	Reconnected  func()

	versions map[Key]int64
	lost     bool
	// rows are those that Feed has not got yet.
	rows []Row
	// changed tells that the last watch returned rows.
	changed bool
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.versions = map[Key]int64{}
	backoff := retry.Backoff{Base: firstRetry, Cap: lastRetry}
	failures := 0
	// gone tells that the history was gone at the last watch.
	version, read, gone := int64(0), false, false
	for ctx.Err() == nil {
		var err error
		if read {
			version, err = f.watch(ctx, version)
		} else {
			version, err = f.read(ctx)
		}
		if errors.Is(err, ErrHistoryGone) {
			// What the feed holds is still right; the reading follows at once, unless the
			// one before it came to the same end.
			if gone {
				pause(ctx, shortestRetry+backoff.Delay(failures))
				failures++
			}
			read, gone = false, true
			continue
		}
		gone = gone && !read
		f.feed(version, err)
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		if err == nil {
			read = true
			failures = 0
			f.gather(ctx)
			continue
		}
		pause(ctx, shortestRetry+backoff.Delay(failures))
		failures++
	}
}

// feed opens the feed after a call that succeeded and closes it after one that
// failed.
func (f *Follower) feed(version int64, err error) {
	switch {
	case f.Feed == nil:
	case err != nil:
		f.Feed.close()
	default:
		f.Feed.open(version, f.rows)
		f.rows = nil
	}
}

func (f *Follower) report(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		f.Disconnected(err)
	case err == nil && f.lost:
		f.lost = false
		f.Reconnected()
	}
}

// read reads the whole table. Its parts are read one after another; the watch
// goes on from the version at which they were named, because a part that is new
// since then is read only there.
func (f *Follower) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	parts, first, err := f.Store.Parts(ctx, f.Table)
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
	f.dropAbsent(present, first)
	return first, nil
}

// dropAbsent reports rows that were deleted while nobody watched.
func (f *Follower) dropAbsent(present map[Key]bool, version int64) {
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

// gather pauses after changed rows.
func (f *Follower) gather(ctx context.Context) {
	if f.changed && f.BatchDelay != nil {
		pause(ctx, f.BatchDelay())
	}
	f.changed = false
}

// apply hands a row on unless a newer version of it was seen.
func (f *Follower) apply(r Row) {
	if seen, ok := f.versions[r.Key]; ok && r.Version <= seen {
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

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
