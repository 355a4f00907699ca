package rowstore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// flaky fails calls while broken is set.
type flaky struct {
	*Memory
	mu     sync.Mutex
	broken bool
}

func (f *flaky) set(broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = broken
}

func (f *flaky) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	rows, version, err := f.Memory.Watch(ctx, table, after, min(wait, time.Second))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken {
		return nil, 0, errors.New("the store is unavailable")
	}
	return rows, version, err
}

func put(t *testing.T, s Store, name, value string) {
	t.Helper()
	if _, err := s.Commit(t.Context(), Txn{Writes: []Write{{Key: Key{Table: "t", Part: "p", Name: name}, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// noChecks leaves the watches of a follower unchecked, so that they alone must deliver all
// changes.
func noChecks() time.Duration { return time.Hour }

// Guards against changes that a follower misses when the history is discarded or
// the store is unavailable, and against rows that it keeps after their deletion.
func TestFollowerReceivesAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &flaky{Memory: NewMemory()}
		put(t, store, "a", "1")
		state := map[string]string{}
		var events []string
		f := &Follower{
			CheckDelay: noChecks,
			Store:      store, Table: "t",
			Changed: func(r Row) {
				if r.Deleted {
					delete(state, r.Name)
					return
				}
				state[r.Name] = string(r.Value)
			},
			Disconnected: func(error) { events = append(events, "lost") },
			Reconnected:  func() { events = append(events, "found") },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		go func() {
			f.Run(ctx)
			close(done)
		}()
		checkState := func(want map[string]string) {
			t.Helper()
			time.Sleep(4 * time.Second)
			synctest.Wait()
			if diff := cmp.Diff(want, state); diff != "" {
				t.Error(diff)
			}
		}
		checkState(map[string]string{"a": "1"})
		put(t, store, "b", "2")
		checkState(map[string]string{"a": "1", "b": "2"})
		store.set(true)
		put(t, store, "a", "3")
		if _, err := store.Commit(ctx, Txn{Deletes: []Key{{Table: "t", Part: "p", Name: "b"}}}); err != nil {
			t.Fatal(err)
		}
		store.DiscardHistory()
		put(t, store, "c", "4")
		checkState(map[string]string{"a": "1", "b": "2"})
		store.set(false)
		checkState(map[string]string{"a": "3", "c": "4"})
		cancel()
		<-done
		if diff := cmp.Diff([]string{"lost", "found"}, events); diff != "" {
			t.Error(diff)
		}
	})
}

// lateParts writes the first row of a new part after the parts were listed.
type lateParts struct {
	*Memory
	once sync.Once
}

func (l *lateParts) Parts(ctx context.Context, table string) ([]string, int64, error) {
	parts, version, err := l.Memory.Parts(ctx, table)
	l.once.Do(func() {
		_, err = l.Commit(ctx, Txn{Writes: []Write{{Key: Key{Table: table, Part: "new", Name: "a"}}}})
	})
	return parts, version, err
}

// Guards against a row that a follower never sees because its part was created
// between two calls of the first read.
func TestFollowerSeesPartsThatAppearWhileItReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(chan string, 1)
		f := &Follower{
			CheckDelay: noChecks,
			Store:      &lateParts{Memory: NewMemory()}, Table: "t",
			Changed:      func(r Row) { seen <- r.Name },
			Disconnected: func(error) {}, Reconnected: func() {},
		}
		done := make(chan bool)
		go func() {
			f.Run(ctx)
			close(done)
		}()
		select {
		case <-seen:
		case <-time.After(time.Minute):
			t.Error("the row was not seen within a minute")
		}
		cancel()
		<-done
	})
}

// noHistory is a store without history. It counts the watches; those from maxWatches
// on block.
type noHistory struct {
	*Memory
	watches atomic.Int32
}

const maxWatches = 1000

func (n *noHistory) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]Row, int64, error) {
	if n.watches.Add(1) >= maxWatches {
		<-ctx.Done()
	}
	return nil, 0, ErrHistoryGone
}

// Guards against a follower that calls the store without delay while the store
// repeatedly discards its history.
func TestFollowerBacksOffWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 10 * time.Second
		store := &noHistory{Memory: NewMemory()}
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		f := &Follower{CheckDelay: noChecks, Store: store, Table: "t", Changed: func(Row) {}, Disconnected: func(error) {}, Reconnected: func() {}}
		f.Run(ctx)
		if limit := int32(length/minRetryDelay) + 1; store.watches.Load() > limit {
			t.Errorf("%d watches in %v, want at most %d", store.watches.Load(), length, limit)
		}
	})
}

// losing is a store that loses the next watch: it gets no response, and the store does
// not know of it.
type losing struct {
	*Memory
	lose atomic.Bool
}

func (l *losing) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	if l.lose.CompareAndSwap(true, false) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return l.Memory.Watch(ctx, table, after, wait)
}

// contactLimit is the platform's time without faults after which a host must be up to date
// again.
const contactLimit = 3 * time.Second

// Guards against a follower that learns of no change for as long as a watch may take
// because the store has lost its watch.
func TestFollowerReplacesLostWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &losing{Memory: NewMemory()}
		store.lose.Store(true)
		reported := make(chan Row, 1)
		f := &Follower{Store: store, Table: "t", Changed: func(r Row) { reported <- r }, Disconnected: func(error) {}, Reconnected: func() {}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		synctest.Wait()
		put(t, store.Memory, "a", "1")
		began := time.Now()
		<-reported
		if took := time.Since(began); took > contactLimit {
			t.Errorf("the change was reported after %v, want %v at most", took, contactLimit)
		}
		cancel()
		<-done
	})
}

// Guards against a deleted row that comes back because a watch and a check receive the
// same changes in different order.
func TestLateCopyOfDeletedRowIsIgnored(t *testing.T) {
	key := Key{Table: "t", Part: "p", Name: "a"}
	present := map[Key]bool{}
	f := &Follower{versions: map[Key]int64{}, Changed: func(r Row) { present[r.Key] = !r.Deleted }}
	f.report([]Row{{Key: key, Version: 5}, {Key: key, Version: 6, Deleted: true}}, 6)
	if n := f.report([]Row{{Key: key, Version: 5}}, 5); n != 0 || present[key] {
		t.Errorf("%d rows reported, present %v", n, present[key])
	}
}
