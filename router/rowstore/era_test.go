package rowstore

import (
	"context"
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
		rows := map[string]string{}
		f := &Follower{Store: m, Table: "t", Disconnected: func(error) {}, Reconnected: func() {}, Changed: func(r Row) {
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
		if diff := cmp.Diff(map[string]string{"a": "1"}, rows); diff != "" {
			t.Errorf("after the store was put back (-want +got):\n%s", diff)
		}
		put(t, m, "a", "2")
		put(t, m, "c", "1")
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(map[string]string{"a": "2", "c": "1"}, rows); diff != "" {
			t.Errorf("after later changes (-want +got):\n%s", diff)
		}
		cancel()
		<-done
	})
}
