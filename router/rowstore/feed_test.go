package rowstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func feedRow(name string, version int64) Row {
	return Row{Key: Key{Table: "t", Part: "p", Name: name}, Version: version}
}

// Guards against two hosts that follow each other: neither would ever receive a
// change.
func TestFeedIsClosedUnlessReadFromStore(t *testing.T) {
	reading := Follows
	f := NewFeed(func() Reading { return reading })
	f.open(3, []Row{feedRow("a", 3)})
	if _, _, err := f.Watch(t.Context(), 0, 0); !errors.Is(err, ErrFeedClosed) {
		t.Errorf("followed through another host: %v, want ErrFeedClosed", err)
	}
	reading = ReadsStore
	if rows, version, err := f.Watch(t.Context(), 0, 0); err != nil || version != 3 || len(rows) != 1 {
		t.Errorf("followed directly: %v, %d, %v", rows, version, err)
	}
	f.close()
	if _, _, err := f.Watch(t.Context(), 0, 0); !errors.Is(err, ErrFeedClosed) {
		t.Errorf("store unavailable: %v, want ErrFeedClosed", err)
	}
}

// Guards against a circle of hosts that relay the table to each other, and against relaying
// the feed of a host that is cut off from the store without noticing it.
func TestFeedIsRelayedOnlyFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reading := Relays
		f := NewFeed(func() Reading { return reading })
		f.open(3, []Row{feedRow("a", 3)})
		f.confirm(time.Now())
		if rows, _, err := f.Watch(t.Context(), 0, 0); err != nil || len(rows) != 1 {
			t.Errorf("relaying host, to its zone: %v, %v", rows, err)
		}
		if _, _, err := f.WatchFromStore(t.Context(), 0, 0, 0); !errors.Is(err, ErrFeedClosed) {
			t.Errorf("relaying host, to a relaying one: %v, want ErrFeedClosed", err)
		}
		reading = ReadsStore
		if rows, _, err := f.WatchFromStore(t.Context(), 0, 0, 3*time.Second); err != nil || len(rows) != 1 {
			t.Errorf("host that reads the store: %v, %v", rows, err)
		}
		// The age is exceeded while the call waits.
		time.Sleep(2500 * time.Millisecond)
		if _, _, err := f.WatchFromStore(t.Context(), 3, time.Second, 3*time.Second); !errors.Is(err, ErrFeedClosed) {
			t.Errorf("feed that was not confirmed for 3.5 s: %v, want ErrFeedClosed", err)
		}
		f.confirm(time.Now())
		if _, version, err := f.WatchFromStore(t.Context(), 3, time.Second, 3*time.Second); err != nil || version != 3 {
			t.Errorf("feed that was confirmed again: version %d, %v", version, err)
		}
	})
}

// Guards against changes that a reader of the feed never receives: the rows of a
// read may be newer than the version up to which the feed is complete.
func TestFeedWithholdsRowsAfterItsVersion(t *testing.T) {
	f := NewFeed(func() Reading { return ReadsStore })
	f.open(4, []Row{feedRow("a", 2), feedRow("b", 6)})
	rows, version, err := f.Watch(t.Context(), 0, 0)
	if err != nil || version != 4 || !cmp.Equal(rows, []Row{feedRow("a", 2)}) {
		t.Fatalf("got %v, %d, %v; want only a and version 4", rows, version, err)
	}
	f.open(6, []Row{feedRow("c", 5)})
	rows, version, err = f.Watch(t.Context(), version, 0)
	if err != nil || version != 6 || !cmp.Equal(rows, []Row{feedRow("c", 5), feedRow("b", 6)}) {
		t.Errorf("got %v, %d, %v; want c and b", rows, version, err)
	}
}

// Guards against a host that keeps following a failed host, and against changes,
// including deletions, that are lost when it switches between the feed and the
// store.
func TestFollowerOfFeedReceivesAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewMemory()
		put(t, store, "a", "1")
		source := NewFeed(func() Reading { return ReadsStore })
		failing := false
		var ended []error
		fed := &FeedStore{Store: store, Source: func() (WatchFunc, func(error)) {
			return func(ctx context.Context, _ string, after int64, wait time.Duration) ([]Row, int64, error) {
				if failing {
					return nil, 0, errors.New("the host of the feed failed")
				}
				return source.Watch(ctx, after, min(wait, time.Second))
			}, func(err error) { ended = append(ended, err) }
		}}
		ctx, cancel := context.WithCancel(t.Context())
		state := map[string]string{}
		reader := &Follower{CheckDelay: noChecks, Store: store, Table: "t", Changed: func(Row) {}, Feed: source, Disconnected: func(error) {}, Reconnected: func() {}}
		follower := &Follower{CheckDelay: noChecks, Store: fed, Table: "t", Disconnected: func(error) {}, Reconnected: func() {}, Changed: func(r Row) {
			if r.Deleted {
				delete(state, r.Name)
				return
			}
			state[r.Name] = string(r.Value)
		}}
		done := make(chan struct{}, 2)
		for _, f := range []*Follower{reader, follower} {
			go func() { f.Run(ctx); done <- struct{}{} }()
		}
		check := func(want map[string]string) {
			t.Helper()
			time.Sleep(3 * time.Second)
			synctest.Wait()
			if diff := cmp.Diff(want, state); diff != "" {
				t.Errorf("rows (-want +got):\n%s", diff)
			}
		}
		check(map[string]string{"a": "1"})
		if fed.Direct() {
			t.Error("the follower calls the store although the feed responds")
		}
		put(t, store, "b", "2")
		check(map[string]string{"a": "1", "b": "2"})
		failing = true
		if _, err := store.Commit(t.Context(), Txn{Deletes: []Key{{Table: "t", Part: "p", Name: "a"}}}); err != nil {
			t.Fatal(err)
		}
		check(map[string]string{"b": "2"})
		if !fed.Direct() || ended[len(ended)-1] == nil {
			t.Error("the follower did not switch to the store")
		}
		failing = false
		put(t, store, "c", "3")
		check(map[string]string{"b": "2", "c": "3"})
		put(t, store, "d", "4")
		check(map[string]string{"b": "2", "c": "3", "d": "4"})
		cancel()
		<-done
		<-done
	})
}
