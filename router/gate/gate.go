// Package gate decides what may reach the local upstream. It checks the
// permit, counts requests in flight, parks requests for closed shards and keeps
// the idempotency journal.
package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
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
	Append(ctx context.Context, standby ownership.Host, group GroupRef, entries []Entry) error
}

// Syncer sends a part of a group's whole journal to a standby. The parts of
// one attempt are sent in order, each after the acknowledgement of the one
// before it.
type Syncer interface {
	Sync(ctx context.Context, standby ownership.Host, group GroupRef, entries []Entry, first, last bool) error
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
	// ID must be unique per attempt: a blocked id stays refused.
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
	// ParkLimit is the number of requests that may wait for closed shards;
	// 0 means DefaultParkLimit.
	ParkLimit int
	// Journal bounds the idempotency journal; zero fields mean the defaults.
	Journal JournalLimits
}

// Gate guards the local upstream.
type Gate struct {
	opts Options
}

// New returns a gate.
func New(opts Options) (*Gate, error) { return &Gate{opts: opts}, nil }

// Serve runs one request at the upstream and writes the answer. A returned
// error means that nothing was written to w. When the answer is cut after its
// headers were sent, Serve panics with http.ErrAbortHandler so that a partial
// answer is never taken for a whole one.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request, req Request) error {
	panic("not built yet")
}

// Resolve tells what became of a request whose hop went silent.
func (g *Gate) Resolve(ctx context.Context, q ResolveQuery) ResolveAnswer { panic("not built yet") }

// Close parks new requests for the shards until the closure is reopened or
// released.
func (g *Gate) Close(service string, shards []keyspace.Shard) *Closure { panic("not built yet") }

// CloseService parks new requests for the whole service.
func (g *Gate) CloseService(service string) *Closure { panic("not built yet") }

// ExportJournal returns the journal entries of the shards.
func (g *Gate) ExportJournal(service string, shards []keyspace.Shard) []Entry { panic("not built yet") }

// ImportJournal adds entries to the journal of the group. It refuses with
// errkind.JournalFull and then adds none.
func (g *Gate) ImportJournal(group GroupRef, entries []Entry) error { panic("not built yet") }

// ForgetJournal drops the entries of shards that moved away.
func (g *Gate) ForgetJournal(service string, shards []keyspace.Shard) { panic("not built yet") }

// SetStandby tells the gate a group's standby. The whole journal of the group
// is sent to it in the background.
func (g *Gate) SetStandby(group GroupRef, standby ownership.Host) { panic("not built yet") }

// DropGroup ends the resynchronisation of a group that this host no longer
// holds.
func (g *Gate) DropGroup(service, groupID string) { panic("not built yet") }

// InFlight returns the number of requests that the upstream may be running.
func (g *Gate) InFlight() int { panic("not built yet") }

// Incarnation returns the gate's incarnation.
func (g *Gate) Incarnation() uint64 { return g.opts.Incarnation }

// Run sends grants and journals in the background until ctx ends.
func (g *Gate) Run(ctx context.Context) error { panic("not built yet") }

// Closure is a set of closed shards.
type Closure struct{}

// Drained waits until no request for the shards is in flight.
func (c *Closure) Drained(ctx context.Context) error { panic("not built yet") }

// Reopen lets the parked requests continue.
func (c *Closure) Reopen() { panic("not built yet") }

// Release refuses the parked requests with err, and all that arrive until the
// authority no longer gives a permit for the shards.
func (c *Closure) Release(err error) { panic("not built yet") }
