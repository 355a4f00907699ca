package rowstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrFeedClosed means that a host does not read a table from the store itself at the
// moment, so that others cannot follow the table through it.
var ErrFeedClosed = errors.New("the host does not follow the table in the store itself")

// Feed holds the rows of a table that a Follower reads from the store, so that
// other hosts can follow the table without asking the store. It is safe for
// concurrent use.
type Feed struct {
	// direct reports whether the Follower asks the store itself.
	direct func() bool

	mu   sync.Mutex
	rows map[Key]Row // with the deleted ones, which followers must learn of
	// version is the one up to which rows holds all changes.
	version int64
	// current tells that the last call of the Follower succeeded.
	current bool
	// changed is closed when rows were added or the feed closes.
	changed chan struct{}
}

// NewFeed returns a closed feed without rows. direct reports whether its
// Follower asks the store itself.
func NewFeed(direct func() bool) *Feed {
	return &Feed{direct: direct, rows: map[Key]Row{}, changed: make(chan struct{})}
}

// open adds the rows of one reading or watch, after which the feed holds all
// changes up to the version. Rows of later versions are held back until a watch
// has passed them: a reader that got them would not ask for earlier ones again.
func (f *Feed) open(version int64, rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		f.rows[r.Key] = r
	}
	f.version = max(f.version, version)
	f.current = true
	f.signal()
}

// close ends the feed until the next open.
func (f *Feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = false
	f.signal()
}

// signal wakes the readers that wait. The caller holds the lock.
func (f *Feed) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Watch returns the rows that changed after the version, in order, and the
// version to go on from. It waits up to wait for a first change. It returns
// ErrFeedClosed while the rows are not read from the store itself: two hosts that
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

func (f *Feed) since(after int64) (rows []Row, version int64, changed <-chan struct{}, err error) {
	direct := f.direct()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.current || !direct {
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

// FeedStore follows tables through another host while there is one, and directly
// otherwise. All calls but Watch go to the Store.
type FeedStore struct {
	Store
	// Source returns the way to the feed of another host, or nil to ask the store
	// itself. The returned function is told how the call ended.
	Source func() (watch WatchFunc, done func(error))

	mu     sync.Mutex
	direct bool
	// closed counts the closed feeds that were met in a row.
	closed int
}

const (
	// closedPause is the pause before a closed feed is asked again: its host has
	// just started, or reads the table anew.
	closedPause = 200 * time.Millisecond
	// mostClosed is the number of such pauses before the store itself is asked.
	mostClosed = 5
)

// WatchFunc is the Watch of a Store.
type WatchFunc func(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)

// Watch implements Store.
func (s *FeedStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	watch, done := s.Source()
	if watch == nil {
		return s.watchStore(ctx, table, after, wait)
	}
	s.setDirect(false)
	rows, version, err := watch(ctx, table, after, wait)
	if errors.Is(err, ErrFeedClosed) && s.askAgain() {
		pause(ctx, closedPause)
		return nil, after, nil
	}
	done(err)
	if err != nil && ctx.Err() == nil {
		return s.watchStore(ctx, table, after, wait)
	}
	s.mu.Lock()
	s.closed = 0
	s.mu.Unlock()
	return rows, version, err
}

func (s *FeedStore) watchStore(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	s.setDirect(true)
	return s.Store.Watch(ctx, table, after, wait)
}

// askAgain reports whether a closed feed is asked again.
func (s *FeedStore) askAgain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
	if s.closed <= mostClosed {
		return true
	}
	s.closed = 0
	return false
}

func (s *FeedStore) setDirect(direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = direct
}

// Direct reports whether the last Watch asked the store itself.
func (s *FeedStore) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}
