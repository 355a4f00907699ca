package rowstore

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a table that keeps old rows after the store was put back to an older copy:
// the numbers of versions are given out again, so that a row with a lower number is newer.
func TestFollowerAfterStoreIsPutBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		var mu sync.Mutex
		rows := map[string]string{}
		reported := func() map[string]string {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(rows)
		}
		f := &Follower{Store: m, Table: "t", Disconnected: func(error) {}, Reconnected: func() {}, Changed: func(r Row) {
			mu.Lock()
			defer mu.Unlock()
			rows[r.Name] = string(r.Value)
			if r.Deleted {
				delete(rows, r.Name)
			}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		put(t, m, "a", "1")
		time.Sleep(time.Second)
		older := m.Copy()
		for range 20 {
			put(t, m, "a", "lost")
		}
		put(t, m, "b", "lost")
		time.Sleep(time.Second)
		m.Restore(older)
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(map[string]string{"a": "1"}, reported()); diff != "" {
			t.Errorf("after the store was put back (-want +got):\n%s", diff)
		}
		put(t, m, "a", "2")
		put(t, m, "c", "1")
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(map[string]string{"a": "2", "c": "1"}, reported()); diff != "" {
			t.Errorf("after later changes (-want +got):\n%s", diff)
		}
		cancel()
		<-done
	})
}

// Guards against transactions and reads of an earlier era that count in a later one.
func TestEraStoreRefusesEarlierEras(t *testing.T) {
	m := NewMemory()
	a, b := &EraStore{Store: m, Eras: &Eras{}}, &EraStore{Store: m, Eras: &Eras{}}
	key := Key{Table: "t", Part: "p", Name: "k"}
	txn := func(version, era int64) Txn {
		return Txn{Conditions: []Condition{{Key: key, Version: version}}, Writes: []Write{{Key: key, Value: []byte("x")}}, Era: era}
	}
	older := m.Copy()
	version, err := a.Commit(t.Context(), txn(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	m.Restore(older)
	if _, err := b.Commit(t.Context(), txn(0, 1)); err != nil {
		t.Fatal(err)
	}
	// The row has the number again that a knows, with another content.
	var changed *EraChangedError
	if _, err := a.Commit(t.Context(), txn(version, 0)); !errors.As(err, &changed) || changed.Era != 1 {
		t.Errorf("transaction of an earlier era: %v", err)
	}
	if a.Eras.Newest() != 1 {
		t.Errorf("era %d, want 1", a.Eras.Newest())
	}
	if _, err := a.Commit(t.Context(), txn(version, 1)); !errors.As(err, &changed) {
		t.Errorf("condition of an earlier era: %v", err)
	}
	a.Eras.Observe(2)
	if _, _, err := a.List(t.Context(), "t", "p"); !errors.As(err, &changed) {
		t.Errorf("read of an earlier era: %v", err)
	}
}
