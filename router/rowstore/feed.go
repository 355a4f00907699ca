package rowstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrFeedClosed means that a host does not currently read a table in the way that a
// follower of its feed requires, so that the follower cannot follow the table through it.
var ErrFeedClosed = errors.New("feed closed: the host does not read the table itself, or is behind the store")

// Reading is the way in which a host reads a table.
type Reading int

const (
	// Follows means that the host watches the feed of the reader of its zone.
	Follows Reading = iota
	// Relays means that the host watches the feed of a host that reads the store, on
	// behalf of others.
	Relays
	// ReadsStore means that the host watches the store.
	ReadsStore
)

// String returns the name of the way in metrics.
func (r Reading) String() string {
	return [...]string{"zone_reader", "fleet_reader", "store"}[r]
}

// Feed holds the rows of a table that a Follower reads, so that other hosts can follow
// the table without calling the store. It is safe for concurrent use.
type Feed struct {
	// reading returns the way in which the Follower reads.
	reading func() Reading

	mu   sync.Mutex
	rows map[Key]Row // includes deleted rows, which must be reported to followers
	// version is the version up to which rows holds all changes.
	version int64
	// available is true if the last call of the Follower succeeded.
	available bool
	// confirmedAt is the latest time for which the Follower knows that it had reported all
	// changes.
	confirmedAt time.Time
	// changed is closed and replaced when rows are added or the feed closes.
	changed chan struct{}
}

// NewFeed returns a closed feed without rows. reading returns the way in which its
// Follower reads.
func NewFeed(reading func() Reading) *Feed {
	return &Feed{reading: reading, rows: map[Key]Row{}, changed: make(chan struct{})}
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

// confirm records that all changes that were in the store before asOf have been reported.
func (f *Feed) confirm(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf.After(f.confirmedAt) {
		f.confirmedAt = asOf
	}
}

// Watch returns the rows that changed after the version, in order of version, and
// the version to continue from. It waits up to wait for a first change. It returns
// ErrFeedClosed while the host follows another one of its zone: two hosts that
// followed each other would miss every change.
func (f *Feed) Watch(ctx context.Context, after int64, wait time.Duration) ([]Row, int64, error) {
	return f.watch(ctx, after, wait, func() bool { return f.reading() != Follows })
}

// WatchFromStore is Watch for a host that relays the feed. It returns ErrFeedClosed unless
// the rows are read from the store: a circle of hosts that relay would miss every change. If
// maxAge is above 0, it also returns ErrFeedClosed if the feed was last known to be complete
// longer ago: the host may be cut off from the store without noticing it.
func (f *Feed) WatchFromStore(ctx context.Context, after int64, wait, maxAge time.Duration) ([]Row, int64, error) {
	return f.watch(ctx, after, wait, func() bool {
		return f.reading() == ReadsStore && (maxAge == 0 || time.Since(f.lastConfirmed()) <= maxAge)
	})
}

// Age returns the time since the feed was last known to be complete, or false if it never
// was.
func (f *Feed) Age(now time.Time) (age time.Duration, known bool) {
	at := f.lastConfirmed()
	return now.Sub(at), !at.IsZero()
}

func (f *Feed) lastConfirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// watch is Watch while the feed is open to the follower.
func (f *Feed) watch(ctx context.Context, after int64, wait time.Duration, open func() bool) ([]Row, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, version, changed, err := f.since(after, open)
		if err != nil || len(rows) > 0 {
			return rows, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			rows, version, _, err := f.since(after, open)
			return rows, version, err
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// since returns the changes after the version without waiting, and the channel that
// is closed at the next change.
func (f *Feed) since(after int64, open func() bool) (rows []Row, version int64, changed <-chan struct{}, err error) {
	isOpen := open()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.available || !isOpen {
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
	// StoreReader, if set, is used like Source where that returns nil. It returns the function
	// that watches the feed of a host that reads the store (Feed.WatchFromStore). Other hosts
	// may follow the rows that it returns.
	StoreReader func() (watch WatchFunc, done func(error))

	mu      sync.Mutex
	reading Reading
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
		return s.watchForOthers(ctx, table, after, wait)
	}
	s.setReading(Follows)
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

// watchForOthers watches the feed of a host that reads the store, or the store if there is
// none or its feed cannot be watched.
func (s *FeedStore) watchForOthers(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	if s.StoreReader != nil {
		if watch, done := s.StoreReader(); watch != nil {
			s.setReading(Relays)
			rows, version, err := watch(ctx, table, after, wait)
			done(err)
			if err == nil || ctx.Err() != nil {
				return rows, version, err
			}
		}
	}
	return s.watchStore(ctx, table, after, wait)
}

func (s *FeedStore) watchStore(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	s.setReading(ReadsStore)
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

func (s *FeedStore) setReading(reading Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = reading
}

// Reading returns the way in which the last Watch read, Follows before the first one.
func (s *FeedStore) Reading() Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading
}

// Direct reports whether the last Watch called the store directly.
func (s *FeedStore) Direct() bool {
	return s.Reading() == ReadsStore
}
