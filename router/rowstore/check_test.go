package rowstore

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// failThenLose is a store of which the next watch fails, and the one after it is lost.
type failThenLose struct {
	*Memory
	watches int
}

func (f *failThenLose) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	if wait == 0 {
		return f.Memory.Watch(ctx, table, after, wait)
	}
	f.watches++
	switch f.watches {
	case 1:
		return nil, 0, errors.New("status 503")
	case 2:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return f.Memory.Watch(ctx, table, after, wait)
}

// Guards against a follower that makes no checks after a failed watch, although the store
// has lost the next one: it would learn of no change for as long as a watch may take.
func TestFollowerReplacesWatchLostAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &failThenLose{Memory: NewMemory()}
		reported := make(chan Row, 1)
		f := &Follower{Store: store, Table: "t", Changed: func(r Row) { reported <- r }, Disconnected: func(error) {}, Reconnected: func() {}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
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

// eatsWatches is a store that loses all watches that wait, and answers the others.
type eatsWatches struct{ *Memory }

func (e eatsWatches) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	if wait == 0 {
		return e.Memory.Watch(ctx, table, after, wait)
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a follower that never reads the table again because only its checks
// learn that the history was discarded.
func TestFollowerReadsAgainWhenCheckFindsNoHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := eatsWatches{NewMemory()}
		put(t, store.Memory, "z", "1")
		reported := make(chan Row, 2)
		f := &Follower{Store: store, Table: "t", Changed: func(r Row) { reported <- r }, Disconnected: func(error) {}, Reconnected: func() {}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		<-reported
		time.Sleep(time.Second)
		put(t, store.Memory, "a", "1")
		store.DiscardHistory()
		began := time.Now()
		select {
		case <-reported:
		case <-time.After(time.Minute):
		}
		if took := time.Since(began); took > contactLimit {
			t.Errorf("the change was reported after %v, want %v at most", took, contactLimit)
		}
		cancel()
		<-done
	})
}

// slowAndDeaf is a store that loses all watches that wait, and takes long for the others.
type slowAndDeaf struct{ eatsWatches }

func (s slowAndDeaf) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	if sleep(ctx, 3*minCheckTimeout/2); ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return s.eatsWatches.Watch(ctx, table, after, wait)
}

// Guards against checks that all time out on a slow store or host, so that a change is
// missed for as long as a watch may take.
func TestChecksOfSlowStoreSucceedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := slowAndDeaf{eatsWatches{NewMemory()}}
		reported := make(chan Row, 1)
		f := &Follower{Store: store, Table: "t", Changed: func(r Row) { reported <- r }, Disconnected: func(error) {}, Reconnected: func() {}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		put(t, store.Memory, "a", "1")
		began := time.Now()
		<-reported
		if took := time.Since(began); took > 4*checkInterval {
			t.Errorf("the change was reported after %v, want %v at most", took, 4*checkInterval)
		}
		cancel()
		<-done
	})
}

// reconnects is a store that loses all calls until path is set, and then all watches.
type reconnects struct {
	eatsWatches
	path *atomic.Bool
}

func (r reconnects) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error) {
	if !r.path.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return r.eatsWatches.Watch(ctx, table, after, wait)
}

// Guards against a change that is late because a check that was lost just before the store
// could be reached again has to time out first, and against the failure of that check being
// reported after the success of a later one.
func TestLostCheckDoesNotDelayNextCheck(t *testing.T) {
	const gap = 1600 * time.Millisecond
	for offset := time.Duration(0); offset < 4*time.Second; offset += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := reconnects{eatsWatches{NewMemory()}, &atomic.Bool{}}
			reported := make(chan Row, 1)
			var succeeded atomic.Bool
			f := &Follower{
				Store: store, Table: "t", Changed: func(r Row) { reported <- r }, Disconnected: func(error) {}, Reconnected: func() {},
				MaxCheckGap: gap, CheckDelay: func() time.Duration {
					if succeeded.Load() {
						return time.Second
					}
					return 0
				},
				Checked: func(_ time.Time, _ int, err error) {
					if err != nil && succeeded.Load() {
						t.Errorf("a check failed after one that succeeded: %v", err)
					}
					succeeded.Store(err == nil)
				},
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { f.Run(ctx); close(done) }()
			time.Sleep(10*time.Second + offset)
			put(t, store.Memory, "a", "1")
			store.path.Store(true)
			began := time.Now()
			<-reported
			if took := time.Since(began); took > gap {
				t.Errorf("the change was reported after %v, want %v at most", took, gap)
			}
			time.Sleep(10 * time.Second)
			cancel()
			<-done
		})
	}
}
