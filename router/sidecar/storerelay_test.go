package sidecar

import (
	"context"
	"net"
	"testing"
	"time"

	"burdockglade.dev/router/rowstore"
)

// Guards against a watch through a host that fails meanwhile: without its own timeout,
// the watch would miss changes of the configuration for half a minute.
func TestRelayedWatchThroughFailedHostEnds(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r := &remoteStore{client: newHopClient(l.Addr().String())}
	_, _, err = r.Watch(ctx, "t", 0, time.Minute)
	if err == nil || ctx.Err() != nil {
		t.Errorf("got %v, %v; want an error long before the caller's deadline", err, ctx.Err())
	}
}

// Guards against errors of the store that lose their meaning on the way through another
// host.
func TestCallStoreKeepsErrors(t *testing.T) {
	store := rowstore.NewMemory()
	key := rowstore.Key{Table: "t", Part: "p", Name: "a"}
	write := storeCall{Call: storeCommit, Txn: rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: key}},
		Writes:     []rowstore.Write{{Key: key, Value: []byte("v")}},
	}}
	h := &hopHandler{store: store, config: &currentConfig{}}
	if r := h.callStore(t.Context(), write); r.Version != 1 || r.Conflict || r.Error != "" {
		t.Errorf("first write: %+v", r)
	}
	if r := h.callStore(t.Context(), write); !r.Conflict || len(r.Rows) != 1 {
		t.Errorf("second write: %+v, want a conflict with the row", r)
	}
	if r := h.callStore(t.Context(), storeCall{Call: storeList, Table: "t", Part: "p"}); len(r.Rows) != 1 {
		t.Errorf("list: %+v", r)
	}
	store.DiscardHistory()
	if r := h.callStore(t.Context(), storeCall{Call: storeWatch, Table: "t", After: 0}); !r.HistoryGone {
		t.Errorf("watch: %+v, want HistoryGone", r)
	}
	if r := h.callStore(t.Context(), storeCall{Call: "drop"}); r.Error == "" {
		t.Error("an unknown call returned no error")
	}
}

// Guards against a host that calls the store through another one and does not learn from it
// that the store was put back to an older copy.
func TestCallStoreTellsTheEra(t *testing.T) {
	store := rowstore.NewMemory()
	store.Restore(store.Copy())
	key := rowstore.Key{Table: "t", Part: "p", Name: "a"}
	txn := rowstore.Txn{Conditions: []rowstore.Condition{{Key: key}}, Writes: []rowstore.Write{{Key: key, Value: []byte("v")}}}
	h := &hopHandler{store: &rowstore.EraStore{Store: store, Eras: &rowstore.Eras{}}, config: &currentConfig{}}
	if r := h.callStore(t.Context(), storeCall{Call: storeCommit, Txn: txn}); !r.EraChanged || r.Era != 1 {
		t.Errorf("transaction of the era before: %+v", r)
	}
	txn.Era = 1
	if r := h.callStore(t.Context(), storeCall{Call: storeCommit, Txn: txn}); !r.Conflict || r.Era != 1 {
		t.Errorf("conflict: %+v, want one with the era", r)
	}
}
