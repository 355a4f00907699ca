package rowstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const readDelay = 100 * time.Millisecond

// slowReads is a store that determines the parts after a delay and responds to List after one.
type slowReads struct {
	*Memory
	lists int
}

func (s *slowReads) Parts(ctx context.Context, table string) ([]string, int64, error) {
	time.Sleep(readDelay)
	return s.Memory.Parts(ctx, table)
}

func (s *slowReads) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	s.lists++
	rows, version, err := s.Memory.List(ctx, table, part)
	time.Sleep(readDelay)
	return rows, version, err
}

// follow runs a Follower of the table "t" until the test ends and returns what it reports.
func follow(t *testing.T, f *Follower) chan Row {
	reported := make(chan Row, 16)
	f.Table, f.Changed, f.Disconnected, f.Reconnected = "t", func(r Row) { reported <- r }, func(error) {}, func() {}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return reported
}

// expectRows checks the names of the rows that are reported next.
func expectRows(t *testing.T, reported <-chan Row, names ...string) {
	t.Helper()
	for _, want := range names {
		select {
		case r := <-reported:
			if r.Name != want {
				t.Errorf("got %s, want %s", r.Name, want)
			}
		case <-time.After(time.Minute):
			t.Fatalf("%s is not reported", want)
		}
	}
}

// Guards against a start that needs a call after the other, and against changes that are
// lost because a part was listed before the parts were determined.
func TestKnownPartIsListedAhead(t *testing.T) {
	for name, start := range map[string]bool{"listed by Run": false, "listed by Start": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowReads{Memory: NewMemory()}
				put(t, store.Memory, "a", "1")
				part := "p"
				f := &Follower{Store: store, KnownPart: &part}
				if start {
					f.Start = func(ctx context.Context, _ func([]Row)) (Start, bool) {
						rows, version, err := store.Memory.List(ctx, "t", part)
						return Start{Rows: rows, Part: part, Version: version}, err == nil
					}
				}
				began := time.Now()
				reported := follow(t, f)
				time.Sleep(readDelay / 2)
				put(t, store.Memory, "b", "1")
				expectRows(t, reported, "a", "b")
				if took := time.Since(began); took > readDelay {
					t.Errorf("took %v, want %v", took, readDelay)
				}
				if start && store.lists != 0 {
					t.Errorf("%d lists of a part that was known", store.lists)
				}
			})
		})
	}
}

// Guards against a Follower that reads a table although it has got all its rows, that misses
// changes after them, or reports rows as deleted that it never had.
func TestCompleteStartNeedsNoRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowReads{Memory: NewMemory()}
		put(t, store.Memory, "a", "1")
		rows, version, err := store.Memory.List(t.Context(), "t", "p")
		if err != nil {
			t.Fatal(err)
		}
		put(t, store.Memory, "b", "1")
		rows = append(rows, Row{Key: Key{Table: "t", Part: "p", Name: "gone"}, Version: version, Deleted: true})
		feed := NewFeed(func() Reading { return ReadsStore })
		asOf := time.Now().Add(-time.Second)
		reported := follow(t, &Follower{Store: store, Feed: feed, Start: func(context.Context, func([]Row)) (Start, bool) {
			return Start{Rows: rows, Complete: true, Version: version, AsOf: asOf}, true
		}})
		expectRows(t, reported, "a", "b")
		if store.lists != 0 {
			t.Errorf("%d lists", store.lists)
		}
		if rows, _, err := feed.Watch(t.Context(), 0, 0); err != nil || len(rows) != 2 {
			t.Errorf("the feed has %d rows, %v", len(rows), err)
		}
	})
}
