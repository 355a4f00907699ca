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

// Names of the calls to the store that a router makes for another one.
const (
	storeParts  = "parts"
	storeList   = "list"
	storeWatch  = "watch"
	storeCommit = "commit"
	// storeFeed is a watch of what the other router has read already.
	storeFeed = "feed"
	// storeConfig asks for the row of the configuration in force at the other router,
	// if it is newer.
	storeConfig = "config"
	// storeKeyMap brings a key map that the asking router has just written.
	storeKeyMap = "key map"
)

// maxStoreBody bounds the result of a relayed call.
const maxStoreBody = 4 << 20

// storeCall is a call to the store on behalf of another router.
type storeCall struct {
	Call  string
	Table string
	Part  string
	After int64
	Wait  time.Duration
	Txn   rowstore.Txn
	// Row is the row of storeKeyMap.
	Row rowstore.Row
	// Config is the version in force at the router that asks by storeConfig.
	Config uint64
}

// storeResult is what the store answered.
type storeResult struct {
	Parts   []string
	Rows    []rowstore.Row
	Version int64
	// Config is the version in force at the router that answers to storeConfig.
	Config uint64
	// Conflict, HistoryGone and NotFed stand for the errors of that name; Error is
	// the text of any other.
	Conflict    bool
	HistoryGone bool
	NotFed      bool
	Error       string
}

// remoteStore is the store as asked through another router.
type remoteStore struct {
	client *hop.Client
}

// storesThrough returns ways to the store through other hosts, in random order.
func (s *Sidecar) storesThrough(n int) []rowstore.Store {
	var stores []rowstore.Store
	for _, h := range s.fleet.Sample(n, s.settings.Host.Name, time.Now()) {
		stores = append(stores, &remoteStore{client: h.Client})
	}
	return stores
}

func (r *remoteStore) do(ctx context.Context, call storeCall) (storeResult, error) {
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
		return result, &rowstore.ConflictError{Rows: result.Rows}
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
	result, err := r.do(ctx, storeCall{Call: storeParts, Table: table})
	return result.Parts, result.Version, err
}

// List implements rowstore.Store.
func (r *remoteStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	result, err := r.do(ctx, storeCall{Call: storeList, Table: table, Part: part})
	return result.Rows, result.Version, err
}

// Watch implements rowstore.Store.
func (r *remoteStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	return r.watch(ctx, storeCall{Call: storeWatch, Table: table, After: after, Wait: wait})
}

// watchFeed is Watch on the rows that the other router has read.
func (r *remoteStore) watchFeed(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	return r.watch(ctx, storeCall{Call: storeFeed, Table: table, After: after, Wait: wait})
}

func (r *remoteStore) watch(ctx context.Context, call storeCall) ([]rowstore.Row, int64, error) {
	// A short watch returns to the direct way soon after it works again. A host
	// that is lost while this one waits is noticed by the time alone.
	ctx, cancel := context.WithTimeout(ctx, relayedCallTimeout)
	defer cancel()
	call.Wait = min(call.Wait, relayedWatch)
	result, err := r.do(ctx, call)
	return result.Rows, result.Version, err
}

// relayedWatch is the longest watch through another host.
const relayedWatch = 2 * time.Second

// Commit implements rowstore.Store.
func (r *remoteStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	result, err := r.do(ctx, storeCall{Call: storeCommit, Txn: txn})
	return result.Version, err
}

// relayedCallTimeout bounds a call on behalf of another router.
const relayedCallTimeout = relayedWatch + storeCallTimeout

// serveStore makes a call to the store for another router.
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

// callStore makes a call and turns its errors into fields.
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
			err = fmt.Errorf("table %q is not fed", call.Table)
			break
		}
		result.Rows, result.Version, err = feed.Watch(ctx, call.After, call.Wait)
	case storeConfig:
		result.Config, result.Rows = h.config.newerThan(call.Config)
	case storeKeyMap:
		err = h.takeKeyMap(call.Row)
	case storeCommit:
		result.Version, err = s.Commit(ctx, call.Txn)
	default:
		err = fmt.Errorf("unknown call %q", call.Call)
	}
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		result.Conflict, result.Rows = true, conflict.Rows
	case errors.Is(err, rowstore.ErrHistoryGone):
		result.HistoryGone = true
	case errors.Is(err, rowstore.ErrFeedClosed):
		result.NotFed = true
	case err != nil:
		result.Error = err.Error()
	}
	return result
}
