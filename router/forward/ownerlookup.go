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

// MethodRoute is the control method that returns the newest ownership record of a
// key hash.
const MethodRoute = "route.get"

// RouteQuery asks for the owner of a key hash.
type RouteQuery struct {
	Service string        `json:"service"`
	Hash    keyspace.Hash `json:"hash"`
	// KnownGroup and KnownVersion identify the record that the sender found
	// outdated; both are zero if it has none.
	KnownGroup   string `json:"known_group"`
	KnownVersion int64  `json:"known_version"`
}

// RouteResponse has the newest record, or the delay after which to query again.
type RouteResponse struct {
	Record     *ownership.Group `json:"record,omitempty"`
	RetryAfter time.Duration    `json:"retry_after"`
}

// Timeouts and intervals of the owner lookup.
const (
	routeCallTimeout = 500 * time.Millisecond
	// queryInterval is the delay between queries during a takeover. It limits
	// the time that polling adds to the takeover.
	queryInterval = 30 * time.Millisecond
	// takeoverTimeout is how long a request waits for a newer record if its owner
	// is unreachable. A takeover takes less than 1 s.
	takeoverTimeout = 2 * time.Second
	// liveOwnerTimeout is how long a request waits if its owner is alive: the owner
	// may regain its lease without a newer record.
	liveOwnerTimeout = 60 * time.Millisecond
	// storeReadInterval is the minimum interval between reads of one row from
	// the store.
	storeReadInterval = 500 * time.Millisecond
)

// ownerLookup finds the record of the current owner of a key. Concurrent queries
// for the same record are merged into one.
type ownerLookup struct {
	opts    Options
	queries singleflight.Group

	mu            sync.Mutex
	lastStoreRead map[string]time.Time
}

func newOwnerLookup(opts Options) *ownerLookup {
	return &ownerLookup{opts: opts, lastStoreRead: map[string]time.Time{}}
}

// find returns the record from the route table. If there is none, because the
// router has just started, it queries peers for up to takeoverTimeout.
func (l *ownerLookup) find(ctx context.Context, r *request) (*ownership.Group, error) {
	deadline := time.Now().Add(takeoverTimeout)
	for {
		record, ok := l.opts.Routes.Lookup(r.service.Name, r.hash)
		if ok && !record.Holder.IsZero() {
			return record, nil
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return nil, errkind.New(errkind.NoOwner, "no ownership record covers the key of service %q", r.service.Name)
		}
		// Requests for the same key hash share one query.
		done := l.queries.DoChan(r.service.Name+"/"+r.hash.String(), func() (any, error) {
			l.queryAnyPeer(r)
			return nil, nil
		})
		select {
		case <-ctx.Done():
		case <-done:
		}
	}
}

// queryAnyPeer queries one peer for the record of r's key, and waits for
// queryInterval if there is still none.
func (l *ownerLookup) queryAnyPeer(r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), routeCallTimeout)
	defer cancel()
	if l.opts.AnyPeer != nil {
		if peer, ok := l.opts.AnyPeer(); ok {
			var response RouteResponse
			query := RouteQuery{Service: r.service.Name, Hash: r.hash}
			if l.opts.Peers.Call(ctx, peer, MethodRoute, query, &response) == nil && response.Record != nil {
				l.opts.MergeRecords(*response.Record)
			}
		}
	}
	if _, ok := l.opts.Routes.Lookup(r.service.Name, r.hash); ok {
		return
	}
	_ = sleep(ctx, queryInterval)
}

// awaitNewer waits up to timeout until the route table has a newer record than
// stale. Requests for the same group share one query.
func (l *ownerLookup) awaitNewer(ctx context.Context, r *request, stale *ownership.Group, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for !l.hasNewer(r, stale) {
		done := l.queries.DoChan(stale.Key(), func() (any, error) {
			l.query(r, stale)
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

// hasNewer reports whether the route table has a newer record than stale for r's key.
func (l *ownerLookup) hasNewer(r *request, stale *ownership.Group) bool {
	newest, ok := l.opts.Routes.Lookup(r.service.Name, r.hash)
	return ok && newest.Version > stale.Version
}

// query queries the standby, or reads the store if the standby does not respond.
// It then waits if there is no newer record than stale yet.
func (l *ownerLookup) query(r *request, stale *ownership.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), routeCallTimeout)
	defer cancel()
	query := RouteQuery{Service: r.service.Name, Hash: r.hash, KnownGroup: stale.ID, KnownVersion: stale.Version}
	if !stale.Standby.IsZero() && !stale.Standby.SameProcess(l.opts.Self) {
		var response RouteResponse
		err := l.opts.Peers.Call(ctx, stale.Standby, MethodRoute, query, &response)
		if err == nil && response.Record != nil && response.Record.Version > stale.Version {
			l.opts.MergeRecords(*response.Record)
			return
		}
		if err == nil {
			_ = sleep(ctx, max(response.RetryAfter, queryInterval))
			return
		}
	}
	if l.allowStoreRead(stale.Key()) {
		record, err := l.opts.ReadGroup(ctx, stale.Service, stale.ID)
		if err == nil && record.Version > stale.Version {
			l.opts.MergeRecords(record)
			return
		}
	}
	_ = sleep(ctx, queryInterval)
}

// allowStoreRead reports whether the row of a group may be read from the store now.
// It limits the rate of reads per row: otherwise every router would poll the rows
// of a failed host.
func (l *ownerLookup) allowStoreRead(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.lastStoreRead[key]) < storeReadInterval {
		return false
	}
	for k, at := range l.lastStoreRead {
		if now.Sub(at) > storeReadInterval {
			delete(l.lastStoreRead, k)
		}
	}
	l.lastStoreRead[key] = now
	return true
}
