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
	return 0, errors.New("no way to the store")
}

func conditional(version int64) Txn {
	key := Key{Table: "t", Name: "a"}
	return Txn{Conditions: []Condition{{Key: key, Version: version}}, Writes: []Write{{Key: key, Value: []byte("x")}}}
}

// Guards against a host that loses its lease because the platform refuses only
// this host, and against asking a store that fails with each call.
func TestRelayedGoesThroughOthers(t *testing.T) {
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
		t.Errorf("the broken way was used %d times", primary.calls)
	}
	var conflict *ConflictError
	if _, err := r.Commit(t.Context(), conditional(0)); !errors.As(err, &conflict) {
		t.Errorf("got %v, want the conflict that the other host saw", err)
	}
	now = now.Add(primaryPause)
	if _, err := r.Commit(t.Context(), conditional(0)); !errors.As(err, &conflict) {
		t.Error(err)
	}
	if primary.calls != 2 {
		t.Errorf("the broken way was not tried again after its pause")
	}
}

// Guards against hosts that all call a store that is down, each through others.
func TestRelayedPausesWhenTheStoreIsDown(t *testing.T) {
	now := time.Unix(1000, 0)
	primary, other := &broken{}, &broken{}
	r := &RelayedStore{Primary: primary, Relays: func(int) []Store { return []Store{other} }, Now: func() time.Time { return now }}
	for range 5 {
		if _, err := r.Commit(t.Context(), conditional(0)); !errors.Is(err, ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	}
	if primary.calls+other.calls != 2 {
		t.Errorf("%d calls, want one on each way", primary.calls+other.calls)
	}
	now = now.Add(relayPause)
	primary.Memory = NewMemory()
	if _, _, err := r.List(t.Context(), "t", ""); err != nil {
		t.Errorf("after the pause: %v", err)
	}
}

// Guards against a transaction without a condition, which would be applied twice
// when the first answer is lost.
func TestRelayedRefusesUnconditionalWrites(t *testing.T) {
	r := &RelayedStore{Primary: NewMemory(), Relays: func(int) []Store { return nil }, Now: time.Now}
	if _, err := r.Commit(t.Context(), Txn{Writes: []Write{{Key: Key{Table: "t", Name: "a"}}}}); err == nil {
		t.Error("no error")
	}
}

// silent is a store that does not answer.
type silent struct{ *Memory }

func (silent) Watch(ctx context.Context, _ string, _ int64, _ time.Duration) ([]Row, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a configuration that comes late because the first of the hosts
// that are asked instead of the store is silent.
func TestSilentRelayDelaysNoReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewMemory()
		version, err := store.Commit(t.Context(), conditional(0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(t.Context(), conditional(version)); err != nil {
			t.Fatal(err)
		}
		r := &RelayedStore{Primary: &broken{Memory: store}, Relays: func(int) []Store { return []Store{silent{}, store} }, Now: time.Now}
		r.mark(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		rows, _, err := r.Watch(ctx, "t", version, time.Second)
		if err != nil || len(rows) != 1 {
			t.Fatalf("got %v, %v", rows, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the change came after %v", took)
		}
	})
}

// oneLost is a store on which the first call loses its connection.
type oneLost struct {
	*Memory
	calls int
}

func (o *oneLost) List(ctx context.Context, table, part string) ([]Row, int64, error) {
	o.calls++
	if o.calls == 1 {
		return nil, 0, ErrConnectionLost
	}
	return o.Memory.List(ctx, table, part)
}

// Guards against a host that leaves its own way to the store for others because one
// connection was lost.
func TestLostConnectionIsNotALostStore(t *testing.T) {
	store := &oneLost{Memory: NewMemory()}
	r := &RelayedStore{Primary: &ReconnectingStore{Store: store}, Now: time.Now, Relays: func(int) []Store {
		t.Error("other hosts were asked")
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
