// Package gate decides what may reach the local upstream. It checks the
// permit, counts requests in flight, parks requests for closed shards and keeps
// the idempotency journal.
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

// Authority tells whether this host may serve a position at present. The gate
// calls it without holding a lock of its own.
type Authority interface {
	Permit(service string, h keyspace.Hash) (ownership.Permit, error)
}

// Replicator copies journal entries to a standby. Append returns nil only when
// the standby acknowledged the entries.
type Replicator interface {
	Append(ctx context.Context, standby ownership.Host, group GroupRef, entries []JournalEntry) error
}

// Syncer sends a part of a group's whole journal to a standby. The parts of
// one attempt are sent in order, each after the acknowledgement of the one
// before it.
type Syncer interface {
	Sync(ctx context.Context, standby ownership.Host, group GroupRef, entries []JournalEntry, first, last bool) error
}

// Upstream sends work to the local upstream. Errors have a kind; a kind whose
// outcome is not-run promises that the upstream did not start the work.
type Upstream interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Answer, error)
	Extend(ctx context.Context, grant upstream.Grant) error
}

// Limiter admits requests to the upstream. It answers errkind.Overloaded or
// errkind.DeadlinePassed. The returned function must be called once.
type Limiter interface {
	Acquire(ctx context.Context, tenant string, deadline time.Time) (release func(admit.Result), err error)
}

// GroupRef names a group at a generation.
type GroupRef struct {
	Service    string `json:"service"`
	GroupID    string `json:"group"`
	Generation uint64 `json:"generation"`
}

// Request is what the router knows of a request besides its HTTP form.
type Request struct {
	// ID must be unique per attempt, not only per caller's request: an id that
	// Resolve blocked stays refused.
	ID      string
	Service string
	Key     string
	// Path is the path and query that the upstream gets.
	Path           string
	Tenant         string
	IdempotencyKey string
	Hash           keyspace.Hash
	Deadline       time.Time
	// Generation is the one that the sender believes in; 0 means none.
	Generation uint64
}

// Options configure a gate. Authority, Upstream, Limiter and Service are
// required.
type Options struct {
	Authority  Authority
	Upstream   Upstream
	Limiter    Limiter
	Replicator Replicator
	// Syncer defaults to Replicator when that implements it.
	Syncer  Syncer
	Service func(name string) (note.Service, bool)
	// OnRequest is called after each request that the upstream answered, with
	// the time that the upstream took. It must not block.
	OnRequest func(service string, h keyspace.Hash, took time.Duration)
	Log       *event.Logger
	Scope     tally.Scope
	// Now defaults to time.Now. Its values must carry a monotonic reading
	// when those of the permits do.
	Now func() time.Time
	// Incarnation of this process. 0 draws one at random.
	Incarnation uint64
	// BlockedLimit is the number of requests that may wait for closed shards;
	// 0 means DefaultBlockedLimit.
	BlockedLimit int
	// Journal bounds the idempotency journal; zero fields mean the defaults.
	Journal JournalLimits
	// MaxTenants is the number of tenants with histograms of their own; 0
	// means DefaultMaxTenants.
	MaxTenants int
}

// Gate guards the local upstream.
type Gate struct {
	opts    Options
	started time.Time
	metrics *metrics
	copies  chan copyJob
	resync  chan struct{}

	mu       sync.Mutex
	journal  *Journal
	requests *requestTable
	closures map[*ClosedShards]struct{}
	parked   int
	flights  map[*flight]struct{}
	syncs    map[groupKey]*syncTask
}

// New returns a gate.
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
		opts:     opts,
		started:  opts.Now(),
		metrics:  newMetrics(opts.Scope, opts.MaxTenants),
		copies:   make(chan copyJob, copyQueue),
		resync:   make(chan struct{}, 1),
		journal:  NewJournal(opts.Journal, rand.Uint64()),
		requests: newRequestTable(),
		closures: map[*ClosedShards]struct{}{},
		flights:  map[*flight]struct{}{},
		syncs:    map[groupKey]*syncTask{},
	}, nil
}

func (g *Gate) now() time.Time {
	return g.opts.Now()
}

// Incarnation returns the gate's incarnation.
func (g *Gate) Incarnation() uint64 {
	return g.opts.Incarnation
}

// Run extends grants and copies journals in the background until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for range copyWorkers {
		go g.copyEntries(ctx)
	}
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.extendGrants(ctx)
		case <-g.resync:
			g.startSyncs(ctx)
		}
	}
}

// permit returns a permit that is valid now.
func (g *Gate) permit(service string, h keyspace.Hash) (ownership.Permit, error) {
	permit, err := g.opts.Authority.Permit(service, h)
	if err != nil {
		return ownership.Permit{}, err
	}
	if !permit.Until.After(g.now()) {
		return ownership.Permit{}, errkind.New(errkind.LeaseLapsed, "the lease of group %s lapsed", permit.GroupID)
	}
	return permit, nil
}

// complete reports whether the journal holds every idempotency key that an
// earlier holder of the group accepted. The time since the takeover is read
// from the wall clock; the process must have run as long, so that a step of
// that clock cannot make a new process believe in a complete journal.
func (g *Gate) complete(permit ownership.Permit, window time.Duration) bool {
	if permit.JournalComplete {
		return true
	}
	now := g.now()
	return now.Sub(permit.HolderSince) >= window && now.Sub(g.started) >= window
}
