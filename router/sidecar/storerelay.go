package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

// Names of the store calls that a router makes on behalf of another one. They are part of
// the protocol between routers.
const (
	storeParts  = "parts"
	storeList   = "list"
	storeWatch  = "watch"
	storeCommit = "commit"
	// storeFeed watches the rows that the other router has already read.
	storeFeed = "feed"
	// storeConfig requests the row of the configuration in force at the other router if
	// it is newer.
	storeConfig = "config"
	// storeKeyMap delivers a key map that the sending router has just written.
	storeKeyMap = "key map"
	// storeLeases requests the next reading of the leases of the service in Part.
	storeLeases = "leases"
)

// maxStoreBody bounds the encoded result of a relayed call, in bytes.
const maxStoreBody = 4 << 20

// storeCall is a store call on behalf of another router. It is encoded as a CBOR map with
// the field names.
type storeCall struct {
	Call  string
	Table string
	Part  string
	After int64
	Wait  time.Duration
	Txn   rowstore.Txn
	// Row is the row of a storeKeyMap call.
	Row rowstore.Row
	// FromStore of a storeFeed call requires that the other router reads the store itself.
	// Routers of earlier versions ignore it, and have feeds only while they do.
	FromStore bool `cbor:"Burdock-From-Store,omitempty"`
	// WithAge of a storeFeed call requests FeedAge. Routers of earlier versions ignore it.
	WithAge bool `cbor:"Burdock-With-Age,omitempty"`
	// Config is the version in force at the router that sends a storeConfig call.
	Config uint64
	// Evacuated is the report of the evacuated zones with a storeConfig call, or empty.
	Evacuated string `cbor:",omitempty"`
	// Suspects is the report of requests that crash upstreams with a storeConfig call, or
	// empty.
	Suspects string `cbor:"Burdock-Suspects,omitempty"`
}

// storeResult is the result of a storeCall. It is encoded as a CBOR map with the field
// names.
type storeResult struct {
	Parts   []string
	Rows    []rowstore.Row
	Version int64
	// Config is the version in force at the router that responds to a storeConfig call,
	// and ConfigAge the time since it was known to be the newest in the store; 0 means
	// that this is not known.
	Config    uint64
	ConfigAge time.Duration
	// Evacuated is the report of the evacuated zones in the response to a storeConfig call,
	// or empty.
	Evacuated string `cbor:",omitempty"`
	// Suspects is the report of requests that crash upstreams in the response to a
	// storeConfig call, or empty.
	Suspects string `cbor:"Burdock-Suspects,omitempty"`
	// FeedAge is the time since the feed of a storeFeed call was known to be complete; 0 means
	// that this is not known.
	FeedAge time.Duration `cbor:"Burdock-Feed-Age,omitempty"`
	// Conflict stands for rowstore.ConflictError, EraChanged for rowstore.EraChangedError,
	// HistoryGone for rowstore.ErrHistoryGone and NotFed for rowstore.ErrFeedClosed; Error
	// is the text of any other error. Era is the era of the first two.
	Conflict    bool
	EraChanged  bool
	HistoryGone bool
	NotFed      bool
	Error       string
	Era         int64
}

// remoteStore accesses the store through another router.
type remoteStore struct {
	client *hop.Client
}

// relayStores returns stores that are accessed through up to n other hosts, in random
// order.
func (s *Sidecar) relayStores(n int) []rowstore.Store {
	var stores []rowstore.Store
	for _, h := range s.fleet.Sample(n, s.settings.Host.Name, time.Now()) {
		stores = append(stores, &remoteStore{client: h.Client})
	}
	return stores
}

func (r *remoteStore) call(ctx context.Context, call storeCall) (storeResult, error) {
	body, err := cbor.Marshal(call)
	if err != nil {
		return storeResult{}, fmt.Errorf("encoding a call to the store: %w", err)
	}
	resp, err := r.client.Do(ctx, &hop.Request{
		RequestHead: hop.RequestHead{Flags: hop.StoreCall, Length: int64(len(body))},
		Body:        body,
	})
	if err != nil {
		return storeResult{}, fmt.Errorf("store through %s: %w", r.client.Address(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStoreBody))
	if err != nil {
		return storeResult{}, fmt.Errorf("store through %s: %w", r.client.Address(), err)
	}
	var result storeResult
	if err := cbor.Unmarshal(data, &result); err != nil {
		return storeResult{}, fmt.Errorf("store through %s: %w", r.client.Address(), err)
	}
	switch {
	case result.Conflict:
		return result, &rowstore.ConflictError{Rows: result.Rows, Era: result.Era}
	case result.EraChanged:
		return result, &rowstore.EraChangedError{Era: result.Era}
	case result.HistoryGone:
		return result, rowstore.ErrHistoryGone
	case result.NotFed:
		return result, rowstore.ErrFeedClosed
	case result.Error != "":
		return result, fmt.Errorf("store through %s: %s", r.client.Address(), result.Error)
	}
	return result, nil
}

// Parts implements rowstore.Store.
func (r *remoteStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	result, err := r.call(ctx, storeCall{Call: storeParts, Table: table})
	return result.Parts, result.Version, err
}

// List implements rowstore.Store.
func (r *remoteStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	result, err := r.call(ctx, storeCall{Call: storeList, Table: table, Part: part})
	return result.Rows, result.Version, err
}

// Watch implements rowstore.Store.
func (r *remoteStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	return r.watch(ctx, storeCall{Call: storeWatch, Table: table, After: after, Wait: wait})
}

// watchFeed watches the rows that the other router has read.
func (r *remoteStore) watchFeed(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	return r.watch(ctx, storeCall{Call: storeFeed, Table: table, After: after, Wait: wait})
}

// watchFeedFromStore is watchFeed if the other router reads the store itself.
func (r *remoteStore) watchFeedFromStore(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	return r.watch(ctx, storeCall{Call: storeFeed, Table: table, After: after, Wait: min(wait, maxFleetReaderWatch), FromStore: true})
}

func (r *remoteStore) watch(ctx context.Context, call storeCall) ([]rowstore.Row, int64, error) {
	// A short watch returns to the direct connection soon after that works again. If the
	// other host fails while this one waits, only the timeout ends the call.
	timeout := relayedCallTimeout
	if call.FromStore {
		timeout = maxFleetReaderWatch + storeCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.Wait = min(call.Wait, maxRelayedWatch)
	result, err := r.call(ctx, call)
	return result.Rows, result.Version, err
}

// maxRelayedWatch is the longest watch through another host.
const maxRelayedWatch = 2 * time.Second

// Commit implements rowstore.Store.
func (r *remoteStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	result, err := r.call(ctx, storeCall{Call: storeCommit, Txn: txn})
	return result.Version, err
}

// relayedCallTimeout bounds a call on behalf of another router.
const relayedCallTimeout = maxRelayedWatch + storeCallTimeout

// serveStore makes a store call for another router.
func (h *hopHandler) serveStore(ctx context.Context, req *hop.Request) *hop.Response {
	ctx, cancel := context.WithTimeout(ctx, relayedCallTimeout)
	defer cancel()
	var call storeCall
	if err := cbor.Unmarshal(req.Body, &call); err != nil {
		return &hop.Response{ResponseHead: hop.ResponseHead{Kind: string(errkind.BadRequest), Detail: err.Error()}}
	}
	body, err := cbor.Marshal(h.callStore(ctx, call))
	if err != nil {
		return &hop.Response{ResponseHead: hop.ResponseHead{Kind: string(errkind.Internal), Detail: err.Error()}}
	}
	return &hop.Response{ResponseHead: hop.ResponseHead{Length: int64(len(body))}, Body: io.NopCloser(bytes.NewReader(body))}
}

// callStore makes a call and converts its error into fields of the result.
func (h *hopHandler) callStore(ctx context.Context, call storeCall) storeResult {
	var result storeResult
	var err error
	s := h.store
	switch call.Call {
	case storeParts:
		result.Parts, result.Version, err = s.Parts(ctx, call.Table)
	case storeList:
		result.Rows, result.Version, err = s.List(ctx, call.Table, call.Part)
	case storeWatch:
		result.Rows, result.Version, err = s.Watch(ctx, call.Table, call.After, call.Wait)
	case storeFeed:
		feed := h.feeds[call.Table]
		if feed == nil {
			err = fmt.Errorf("no feed for table %q", call.Table)
			break
		}
		if age, known := feed.Age(time.Now()); call.WithAge && known {
			result.FeedAge = max(age, 1)
		}
		result.Rows, result.Version, err = watchFeed(ctx, feed, call)
	case storeConfig:
		_, age := h.config.confirmed(time.Now())
		result.ConfigAge = max(age, 1)
		h.evacuation.merge(call.Evacuated, "poll")
		result.Evacuated = h.evacuation.pollReport(call.Evacuated != "")
		h.quarantine.merge(call.Suspects, "poll")
		result.Suspects = h.quarantine.pollReport()
		result.Config, result.Rows = h.config.newerThan(call.Config)
	case storeLeases:
		var r leaseReading
		r, err = h.leases(ctx, call.Part)
		result.Rows, result.Version = r.rows, r.version
	case storeKeyMap:
		err = h.applyKeyMap(call.Row)
	case storeCommit:
		result.Version, err = s.Commit(ctx, call.Txn)
	default:
		err = fmt.Errorf("unknown call %q", call.Call)
	}
	var conflict *rowstore.ConflictError
	var changed *rowstore.EraChangedError
	switch {
	case errors.As(err, &conflict):
		result.Conflict, result.Rows, result.Era = true, conflict.Rows, conflict.Era
	case errors.As(err, &changed):
		result.EraChanged, result.Era = true, changed.Era
	case errors.Is(err, rowstore.ErrHistoryGone):
		result.HistoryGone = true
	case errors.Is(err, rowstore.ErrFeedClosed):
		result.NotFed = true
	case err != nil:
		result.Error = err.Error()
	}
	return result
}
