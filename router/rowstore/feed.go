package rowstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrFeedClosed means that a host does not currently read a table directly from
// the store, so that other hosts cannot follow the table through it.
var ErrFeedClosed = errors.New("feed closed: the host does not read the table directly from the store")

// Feed holds the rows of a table that a Follower reads from the store, so that
// other hosts can follow the table without calling the store. It is safe for
// concurrent use.
type Feed struct {
	// direct reports whether the Follower reads directly from the store.
	direct func() bool

	mu   sync.Mutex
	rows map[Key]Row // includes deleted rows, which must be reported to followers
	// version is the version up to which rows holds all changes.
	version int64
	// available is true if the last call of the Follower succeeded.
	available bool
	// changed is closed and replaced when rows are added or the feed closes.
	changed chan struct{}
}

// NewFeed returns a closed feed without rows. direct reports whether its
// Follower reads directly from the store.
func NewFeed(direct func() bool) *Feed {
	return &Feed{direct: direct, rows: map[Key]Row{}, changed: make(chan struct{})}
}

// open adds the rows of one read or watch, after which the feed holds all changes
// up to the version. Rows of later versions are withheld until a watch has reached
// them: a reader that received them would not request earlier versions again.
func (f *Feed) open(version int64, rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		f.rows[r.Key] = r
	}
	f.version = max(f.version, version)
	f.available = true
	f.signal()
}

// close closes the feed until the next open.
func (f *Feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.available = false
	f.signal()
}

// signal wakes waiting readers. The caller must hold mu.
func (f *Feed) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Watch returns the rows that changed after the version, in order of version, and
// the version to continue from. It waits up to wait for a first change. It returns
// ErrFeedClosed while the rows are not read directly from the store: two hosts that
// followed each other would miss every change.
func (f *Feed) Watch(ctx context.Context, after int64, wait time.Duration) ([]Row, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, version, changed, err := f.since(after)
		if err != nil || len(rows) > 0 {
			return rows, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// since returns the changes after the version without waiting, and the channel that
// is closed at the next change.
func (f *Feed) since(after int64) (rows []Row, version int64, changed <-chan struct{}, err error) {
	direct := f.direct()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.available || !direct {
		return nil, 0, nil, ErrFeedClosed
	}
	for _, r := range f.rows {
		if r.Version > after && r.Version <= f.version {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows, max(f.version, after), f.changed, nil
}

// FeedStore watches tables through the feed of another host if Source returns one,
// and directly otherwise. All other calls go to the embedded Store.
type FeedStore struct {
	Store
	// Source returns the function that watches the feed of another host, or nil to
	// watch the store directly. done is called with the result of the call.
	Source func() (watch WatchFunc, done func(error))

	mu     sync.Mutex
	direct bool
	// closedTries is the number of consecutive calls that found the feed closed.
	closedTries int
}

const (
	// closedFeedDelay is the delay before a closed feed is called again: its host has
	// just started, or is reading the table again.
	closedFeedDelay = 200 * time.Millisecond
	// maxClosedTries is the number of such delays before the store is called directly.
	maxClosedTries = 5
)

// WatchFunc has the signature and semantics of Store.Watch.
type WatchFunc func(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)

// Watch implements Store.
func (s *FeedStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	watch, done := s.Source()
	if watch == nil {
		return s.watchStore(ctx, table, after, wait)
	}
	s.setDirect(false)
	rows, version, err := watch(ctx, table, after, wait)
	if errors.Is(err, ErrFeedClosed) && s.retryClosedFeed() {
		sleep(ctx, closedFeedDelay)
		return nil, after, nil
	}
	done(err)
	if err != nil && ctx.Err() == nil {
		return s.watchStore(ctx, table, after, wait)
	}
	s.mu.Lock()
	s.closedTries = 0
	s.mu.Unlock()
	return rows, version, err
}

func (s *FeedStore) watchStore(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	s.setDirect(true)
	return s.Store.Watch(ctx, table, after, wait)
}

// retryClosedFeed counts a call that found the feed closed and reports whether the
// feed is to be called again.
func (s *FeedStore) retryClosedFeed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedTries++
	if s.closedTries <= maxClosedTries {
		return true
	}
	s.closedTries = 0
	return false
}

func (s *FeedStore) setDirect(direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = direct
}

// Direct reports whether the last Watch called the store directly.
func (s *FeedStore) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}
