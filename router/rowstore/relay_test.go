package rowstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// broken is a store that cannot be reached. It counts the calls.
type broken struct {
	*Memory
	calls int
}

func (b *broken) Commit(context.Context, Txn) (int64, error) {
	b.calls++
	return 0, errors.New("the store is unreachable")
}

func conditional(version int64) Txn {
	key := Key{Table: "t", Name: "a"}
	return Txn{Conditions: []Condition{{Key: key, Version: version}}, Writes: []Write{{Key: key, Value: []byte("x")}}}
}

// Guards against a host that loses its lease because the platform refuses only this
// host, and against calling a failing store with each call.
func TestRelayedStoreCallsThroughOtherHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	primary, store := &broken{}, NewMemory()
	r := &RelayedStore{Primary: primary, Relays: func(int) []Store { return []Store{store} }, Now: func() time.Time { return now }}
	version, err := r.Commit(t.Context(), conditional(0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Commit(t.Context(), conditional(version)); err != nil {
		t.Fatal(err)
	}
	if primary.calls != 1 {
		t.Errorf("the failing store was called %d times", primary.calls)
	}
	var conflict *ConflictError
	if _, err := r.Commit(t.Context(), conditional(0)); !errors.As(err, &conflict) {
		t.Errorf("got %v, want the conflict that the other host received", err)
	}
	now = now.Add(primaryRetryDelay)
	if _, err := r.Commit(t.Context(), conditional(0)); !errors.As(err, &conflict) {
		t.Error(err)
	}
	if primary.calls != 2 {
		t.Errorf("the failing store was not called again after the delay")
	}
}

// Guards against many calls to a store that is down, from each host through other
// hosts.
func TestRelayedStoreBacksOffWhenTheStoreIsDown(t *testing.T) {
	now := time.Unix(1000, 0)
	primary, other := &broken{}, &broken{}
	r := &RelayedStore{Primary: primary, Relays: func(int) []Store { return []Store{other} }, Now: func() time.Time { return now }}
	for range 5 {
		if _, err := r.Commit(t.Context(), conditional(0)); !errors.Is(err, ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	}
	if primary.calls+other.calls != 2 {
		t.Errorf("%d calls, want one to each store", primary.calls+other.calls)
	}
	now = now.Add(unavailableDelay)
	primary.Memory = NewMemory()
	if _, _, err := r.List(t.Context(), "t", ""); err != nil {
		t.Errorf("after the delay: %v", err)
	}
}

// Guards against a transaction without a condition, which would be applied twice if
// the first response is lost.
func TestRelayedStoreRejectsUnconditionalWrites(t *testing.T) {
	r := &RelayedStore{Primary: NewMemory(), Relays: func(int) []Store { return nil }, Now: time.Now}
	if _, err := r.Commit(t.Context(), Txn{Writes: []Write{{Key: Key{Table: "t", Name: "a"}}}}); err == nil {
		t.Error("no error")
	}
}

// unresponsive is a store that does not respond.
type unresponsive struct{ *Memory }

func (unresponsive) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]Row, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a delayed configuration when the first of the hosts that relay the
// read does not respond.
func TestUnresponsiveRelayDoesNotDelayReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewMemory()
		version, err := store.Commit(t.Context(), conditional(0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(t.Context(), conditional(version)); err != nil {
			t.Fatal(err)
		}
		r := &RelayedStore{Primary: &broken{Memory: store}, Relays: func(int) []Store { return []Store{unresponsive{}, store} }, Now: time.Now}
		r.markFailed(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		rows, _, err := r.Watch(ctx, "t", version, time.Second)
		if err != nil || len(rows) != 1 {
			t.Fatalf("got %v, %v", rows, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the change was received after %v", took)
		}
	})
}

// firstCallLost is a store whose first call loses its connection.
type firstCallLost struct {
	*Memory
	calls int
}

func (o *firstCallLost) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	o.calls++
	if o.calls == 1 {
		return nil, 0, ErrConnectionLost
	}
	return o.Memory.List(ctx, table, part)
}

// Guards against a host that relays calls through other hosts because one
// connection was lost.
func TestLostConnectionIsRetriedWithoutRelay(t *testing.T) {
	store := &firstCallLost{Memory: NewMemory()}
	r := &RelayedStore{Primary: &ReconnectingStore{Store: store}, Now: time.Now, Relays: func(int) []Store {
		t.Error("the call was relayed through other hosts")
		return nil
	}}
	for range 2 {
		if _, _, err := r.List(t.Context(), "t", ""); err != nil {
			t.Fatal(err)
		}
	}
	if store.calls != 3 {
		t.Errorf("%d calls, want 3", store.calls)
	}
}
