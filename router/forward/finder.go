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

// RouteAnswer has the newest record, or the time after which to ask again.
type RouteAnswer struct {
	Record     *ownership.Group `json:"record,omitempty"`
	RetryAfter time.Duration    `json:"retry_after"`
}

// Times of the search for an owner.
const (
	routeCallTimeout = time.Second
	// askAgainAfter is the pause between questions while a takeover is going
	// on. It bounds what a loss adds to the takeover itself.
	askAgainAfter = 30 * time.Millisecond
	// storeReadInterval spaces reads of the same row from the table service.
	storeReadInterval = 500 * time.Millisecond
)

// finder finds the record of the present owner.
type finder struct {
	o      Options
	flight singleflight.Group

	mu        sync.Mutex
	storeRead map[string]time.Time
}

func newFinder(o Options) *finder {
	return &finder{o: o, storeRead: map[string]time.Time{}}
}

// owner returns the record of the route table, or asks others when it has
// none.
func (f *finder) owner(ctx context.Context, r *request) (*ownership.Group, error) {
	if record, ok := f.o.Routes.Lookup(r.service.Name, r.hash); ok && !record.Holder.IsZero() {
		return record, nil
	}
	return nil, errkind.New(errkind.NoOwner, "no record claims the key of service %q", r.service.Name)
}

// refresh looks for a record that is newer than the given one and waits a
// moment when there is none yet. Requests for the same group share one search.
func (f *finder) refresh(ctx context.Context, r *request, stale *ownership.Group) {
	if newest, ok := f.o.Routes.Lookup(r.service.Name, r.hash); ok && newest.Version > stale.Version {
		return
	}
	done := f.flight.DoChan(stale.Key(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), routeCallTimeout)
		defer cancel()
		f.search(ctx, r, stale)
		return nil, nil
	})
	select {
	case <-ctx.Done():
	case <-done:
	}
}

func (f *finder) search(ctx context.Context, r *request, stale *ownership.Group) {
	query := RouteQuery{Service: r.service.Name, Hash: r.hash, KnownGroup: stale.ID, KnownVersion: stale.Version}
	if !stale.Standby.IsZero() && !stale.Standby.Same(f.o.Self) {
		var answer RouteAnswer
		err := f.o.Peers.Call(ctx, stale.Standby, MethodRoute, query, &answer)
		if err == nil && answer.Record != nil && answer.Record.Version > stale.Version {
			f.o.Learn(*answer.Record)
			return
		}
		if err == nil {
			wait(ctx, min(max(answer.RetryAfter, askAgainAfter), routeCallTimeout))
			return
		}
	}
	if f.mayReadStore(stale.Key()) {
		record, err := f.o.ReadGroup(ctx, stale.Service, stale.ID)
		if err == nil && record.Version > stale.Version {
			f.o.Learn(record)
			return
		}
	}
	wait(ctx, askAgainAfter)
}

// mayReadStore spaces the reads of one row, so that a lost host does not make
// every router read its row all the time.
func (f *finder) mayReadStore(key string) bool {
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

func wait(ctx context.Context, d time.Duration) {
	_ = sleep(ctx, d)
}
