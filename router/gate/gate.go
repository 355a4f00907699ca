// Package gate controls which requests reach the local upstream. It checks that
// this host holds the lease for the request's key, counts requests in flight,
// blocks requests for closed shards and keeps the idempotency journal.
package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/upstream"
)

// Authority issues the permit to serve a key hash: the lease of the group that
// owns it, or an error if this host does not hold one. The gate calls it without
// holding the gate's lock.
type Authority interface {
	Permit(service string, h keyspace.Hash) (ownership.Permit, error)
}

// Replicator copies journal entries to a standby. Append returns nil only if the
// standby acknowledged the entries.
type Replicator interface {
	Append(ctx context.Context, standby ownership.Host, group GroupRef, entries []JournalEntry) error
}

// Syncer copies the whole journal of a group to a standby, in parts. The parts
// of one copy are sent in order, each after the standby acknowledged the
// previous one; first and last mark the first and the last part.
type Syncer interface {
	Sync(ctx context.Context, standby ownership.Host, group GroupRef, entries []JournalEntry, first, last bool) error
}

// Upstream sends requests and grant extensions to the local upstream. Errors
// have a kind; a kind whose outcome is not-run guarantees that the upstream did
// not start the work.
type Upstream interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
	Extend(ctx context.Context, grant upstream.Grant) error
}

// Limiter bounds the concurrent requests to the upstream. Acquire waits for a
// slot and fails with errkind.Overloaded or errkind.DeadlinePassed. The caller
// must call release exactly once.
type Limiter interface {
	Acquire(ctx context.Context, tenant string, deadline time.Time) (release func(admit.Result), err error)
}

// GroupRef identifies a group at one generation.
type GroupRef struct {
	Service    string `json:"service"`
	GroupID    string `json:"group"`
	Generation uint64 `json:"generation"`
}

// Request holds the routing data of a request that are not part of its HTTP
// message.
type Request struct {
	// ID must be unique for each attempt, not only for each request of the
	// caller: an id that Resolve has cancelled stays refused.
	ID      string
	Service string
	Key     string
	// Path is the path and query that are sent to the upstream.
	Path           string
	Tenant         string
	IdempotencyKey string
	Hash           keyspace.Hash
	Deadline       time.Time
	// Generation is the generation of the group that the sender expects; 0
	// accepts any.
	Generation uint64
}

// Options configures a Gate. Authority, Upstream, Limiter and Service are
// required.
type Options struct {
	Authority  Authority
	Upstream   Upstream
	Limiter    Limiter
	Replicator Replicator
	// Syncer defaults to Replicator if that implements it.
	Syncer Syncer
	// Service returns the definition of a service, or false if there is none.
	Service func(name string) (note.Service, bool)
	// OnRequest is called after each request to which the upstream responded,
	// with the time from sending the request to the end of the response. It must
	// not block.
	OnRequest func(service string, h keyspace.Hash, elapsed time.Duration)
	Log       *event.Logger
	Scope     tally.Scope
	// Now defaults to time.Now. Its values must have a monotonic clock reading
	// if those of the permits do.
	Now func() time.Time
	// Incarnation identifies this process; 0 means a random one.
	Incarnation uint64
	// BlockedLimit is the maximum number of requests that wait for closed
	// shards; 0 means DefaultBlockedLimit.
	BlockedLimit int
	// Journal limits the idempotency journal; zero fields mean the defaults.
	Journal JournalLimits
	// MaxTenants is the maximum number of tenants with separate histograms; 0
	// means DefaultMaxTenants.
	MaxTenants int
}

// Gate controls access to the local upstream. Its methods are safe for
// concurrent use.
type Gate struct {
	opts    Options
	started time.Time
	metrics *metrics
	// copyQueue holds the journal entries to copy to standbys in the background.
	copyQueue chan queuedEntry
	// wakeSync wakes Run after a change of syncTasks.
	wakeSync chan struct{}

	mu       sync.Mutex
	journal  *Journal
	requests *requestTable
	closed   map[*ClosedShards]struct{}
	// blocked is the number of requests that wait for closed shards.
	blocked   int
	inFlight  map[*inFlightRequest]struct{}
	syncTasks map[groupKey]*syncTask
}

// New returns a Gate. Its background work needs a call of Run.
func New(opts Options) (*Gate, error) {
	if opts.Authority == nil || opts.Upstream == nil || opts.Limiter == nil || opts.Service == nil {
		return nil, errors.New("gate: Authority, Upstream, Limiter and Service are required")
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Incarnation == 0 {
		opts.Incarnation = rand.Uint64()
	}
	if opts.BlockedLimit <= 0 {
		opts.BlockedLimit = DefaultBlockedLimit
	}
	if syncer, ok := opts.Replicator.(Syncer); ok && opts.Syncer == nil {
		opts.Syncer = syncer
	}
	return &Gate{
		opts:      opts,
		started:   opts.Now(),
		metrics:   newMetrics(opts.Scope, opts.MaxTenants),
		copyQueue: make(chan queuedEntry, copyQueueLength),
		wakeSync:  make(chan struct{}, 1),
		journal:   NewJournal(opts.Journal, rand.Uint64()),
		requests:  newRequestTable(),
		closed:    map[*ClosedShards]struct{}{},
		inFlight:  map[*inFlightRequest]struct{}{},
		syncTasks: map[groupKey]*syncTask{},
	}, nil
}

func (g *Gate) now() time.Time {
	return g.opts.Now()
}

// Incarnation returns the incarnation of this process.
func (g *Gate) Incarnation() uint64 {
	return g.opts.Incarnation
}

// Run extends the grants of requests in flight and copies journal entries to
// standbys until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for range copyWorkers {
		go g.copyQueuedEntries(ctx)
	}
	ticker := time.NewTicker(grantCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.extendGrants(ctx)
		case <-g.wakeSync:
			g.startSyncs(ctx)
		}
	}
}

// currentPermit returns the authority's permit for the hash, or an error of kind
// errkind.LeaseLapsed if that permit has expired.
func (g *Gate) currentPermit(service string, h keyspace.Hash) (ownership.Permit, error) {
	permit, err := g.opts.Authority.Permit(service, h)
	if err != nil {
		return ownership.Permit{}, err
	}
	if !permit.Until.After(g.now()) {
		return ownership.Permit{}, errkind.New(errkind.LeaseLapsed, "the lease of group %s has lapsed", permit.GroupID)
	}
	return permit, nil
}

// journalComplete reports whether the journal holds every idempotency key that
// earlier holders of the group accepted within the window. An incomplete journal
// becomes complete once a window has passed since the takeover. That time is
// read from the wall clock, so the process must also have run for a window:
// otherwise a step of the clock could make a new process trust an incomplete
// journal.
func (g *Gate) journalComplete(permit ownership.Permit, window time.Duration) bool {
	if permit.JournalComplete {
		return true
	}
	now := g.now()
	return now.Sub(permit.HolderSince) >= window && now.Sub(g.started) >= window
}
