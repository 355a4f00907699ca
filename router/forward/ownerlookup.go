package forward

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// MethodRoute is the control method that asks for the newest record of a
// position.
const MethodRoute = "route.get"

// RouteQuery asks for the owner of a position.
type RouteQuery struct {
	Service string        `json:"service"`
	Hash    keyspace.Hash `json:"hash"`
	// Known is the record that the asker found out of date.
	KnownGroup   string `json:"known_group"`
	KnownVersion int64  `json:"known_version"`
}

// RouteResponse has the newest record, or the time after which to ask again.
type RouteResponse struct {
	Record     *ownership.Group `json:"record,omitempty"`
	RetryAfter time.Duration    `json:"retry_after"`
}

// Times of the search for an owner.
const (
	routeCallTimeout = 500 * time.Millisecond
	// askAgainAfter is the pause between questions while a takeover is going
	// on. It bounds what a loss adds to the takeover itself.
	askAgainAfter = 30 * time.Millisecond
	// lostPatience is how long a request waits for a newer record after its
	// owner could not be reached. A takeover takes less than 1 s.
	lostPatience = 2 * time.Second
	// shortPatience is the wait after a refusal by an owner that lives: its
	// lease may come back without a newer record.
	shortPatience = 60 * time.Millisecond
	// storeReadInterval spaces reads of the same row from the table service.
	storeReadInterval = 500 * time.Millisecond
)

// ownerLookup finds the record of the present owner.
type ownerLookup struct {
	o      Options
	flight singleflight.Group

	mu        sync.Mutex
	storeRead map[string]time.Time
}

func newOwnerLookup(o Options) *ownerLookup {
	return &ownerLookup{o: o, storeRead: map[string]time.Time{}}
}

// owner returns the record of the route table. When it has none, because the
// router has just started, peers are asked for a while.
func (f *ownerLookup) owner(ctx context.Context, r *request) (*ownership.Group, error) {
	deadline := time.Now().Add(lostPatience)
	for {
		record, ok := f.o.Routes.Lookup(r.service.Name, r.hash)
		if ok && !record.Holder.IsZero() {
			return record, nil
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return nil, errkind.New(errkind.NoOwner, "no record claims the key of service %q", r.service.Name)
		}
		// Requests for one position share a question.
		done := f.flight.DoChan(r.service.Name+"/"+r.hash.String(), func() (any, error) {
			f.askAnyone(r)
			return nil, nil
		})
		select {
		case <-ctx.Done():
		case <-done:
		}
	}
}

// askAnyone asks one peer for the record of a position and pauses when it has
// none.
func (f *ownerLookup) askAnyone(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), routeCallTimeout)
	defer cancel()
	if f.o.AnyPeer != nil {
		if peer, ok := f.o.AnyPeer(); ok {
			var answer RouteResponse
			query := RouteQuery{Service: r.service.Name, Hash: r.hash}
			if f.o.Peers.Call(ctx, peer, MethodRoute, query, &answer) == nil && answer.Record != nil {
				f.o.MergeRecords(*answer.Record)
			}
		}
	}
	if _, ok := f.o.Routes.Lookup(r.service.Name, r.hash); ok {
		return
	}
	_ = sleep(ctx, askAgainAfter)
}

// refresh looks for a record that is newer than the given one and gives up
// after the patience. Requests for the same group share one search.
func (f *ownerLookup) refresh(ctx context.Context, r *request, stale *ownership.Group, patience time.Duration) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for !f.known(r, stale) {
		done := f.flight.DoChan(stale.Key(), func() (any, error) {
			f.search(r, stale)
			return nil, nil
		})
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-done:
		}
	}
}

// known reports whether the route table has a newer record for the position.
func (f *ownerLookup) known(r *request, stale *ownership.Group) bool {
	newest, ok := f.o.Routes.Lookup(r.service.Name, r.hash)
	return ok && newest.Version > stale.Version
}

// search asks once and pauses when there is nothing newer yet.
func (f *ownerLookup) search(r *request, stale *ownership.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), routeCallTimeout)
	defer cancel()
	query := RouteQuery{Service: r.service.Name, Hash: r.hash, KnownGroup: stale.ID, KnownVersion: stale.Version}
	if !stale.Standby.IsZero() && !stale.Standby.SameProcess(f.o.Self) {
		var answer RouteResponse
		err := f.o.Peers.Call(ctx, stale.Standby, MethodRoute, query, &answer)
		if err == nil && answer.Record != nil && answer.Record.Version > stale.Version {
			f.o.MergeRecords(*answer.Record)
			return
		}
		if err == nil {
			_ = sleep(ctx, max(answer.RetryAfter, askAgainAfter))
			return
		}
	}
	if f.mayReadStore(stale.Key()) {
		record, err := f.o.ReadGroup(ctx, stale.Service, stale.ID)
		if err == nil && record.Version > stale.Version {
			f.o.MergeRecords(record)
			return
		}
	}
	_ = sleep(ctx, askAgainAfter)
}

// mayReadStore spaces the reads of one row, so that a lost host does not make
// every router read its row all the time.
func (f *ownerLookup) mayReadStore(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.storeRead[key]) < storeReadInterval {
		return false
	}
	for k, at := range f.storeRead {
		if now.Sub(at) > storeReadInterval {
			delete(f.storeRead, k)
		}
	}
	f.storeRead[key] = now
	return true
}
