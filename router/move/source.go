package move

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/metrics"
)

// Timeouts of the calls of a move.
const (
	prepareTimeout = time.Second
	// transferTimeout limits one part of a transfer, during which requests are
	// blocked.
	transferTimeout = time.Second
	// rowsTimeout limits the write of both rows and each attempt to resolve its
	// outcome. It allows for a slow response of the store, because a missed
	// response costs another round trip.
	rowsTimeout   = 2 * time.Second
	commitTimeout = 500 * time.Millisecond
)

// maxPartBytes limits the size of the entries in one transfer message.
const maxPartBytes = 1 << 20

// SourceOptions configures a Source. Log and Scope may be nil; all other fields
// are required.
type SourceOptions struct {
	Gate    SourceGate
	Records Records
	Peer    Peer
	Adopter Adopter
	Log     *event.Logger
	Scope   tally.Scope
}

// Source moves shards from this host to others. It is safe for concurrent use.
type Source struct {
	options SourceOptions
	// rowWrites is a semaphore for one row write at a time. Concurrent writes of
	// one group's row would fail each other's version condition.
	rowWrites chan struct{}
}

// NewSource returns a Source.
func NewSource(o SourceOptions) *Source {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Source{options: o, rowWrites: make(chan struct{}, 1)}
}

// Run makes one attempt to move shards. If ctx is done before the write of the
// rows was sent, the shards are reopened. If ctx is done while the outcome of
// the write is unknown, Run returns Unknown and the shards stay closed; a caller
// whose process continues must therefore pass a context that ends with the process.
func (s *Source) Run(ctx context.Context, plan Plan) Result {
	r := &sourceRun{
		Source:    s,
		plan:      plan,
		machine:   NewSourceMachine(uuid.NewString(), plan),
		events:    make(chan SourceEvent, 1),
		stop:      ctx.Done(),
		groupLost: plan.GroupLost,
	}
	// Cancels calls that are still in progress when the attempt ends.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.callCtx = callCtx
	r.detachedCtx = context.WithoutCancel(ctx)
	result := r.run()
	s.report(plan, result)
	return result
}

// sourceRun is one attempt of a move. At most one call is in progress at a time,
// so events has a buffer for one result.
type sourceRun struct {
	*Source
	plan    Plan
	machine *SourceMachine
	callCtx context.Context // cancelled with the caller's context
	// detachedCtx is for calls that must finish even if the caller's context is
	// cancelled.
	detachedCtx context.Context
	events      chan SourceEvent
	drained     <-chan struct{}
	stop        <-chan struct{}
	groupLost   <-chan struct{}
}

func (r *sourceRun) run() Result {
	r.step(Started{})
	for {
		if result, done := r.machine.Result(); done {
			return result
		}
		r.step(r.wait())
	}
}

func (r *sourceRun) step(e SourceEvent) {
	for _, action := range r.machine.Step(time.Now(), e) {
		r.execute(action)
	}
}

// wait returns the next event. Each of the channels drained, groupLost and stop
// delivers one event and is then set to nil.
func (r *sourceRun) wait() SourceEvent {
	var timer <-chan time.Time
	if wake, ok := r.machine.Wake(); ok {
		t := time.NewTimer(time.Until(wake))
		defer t.Stop()
		timer = t.C
	}
	select {
	case e := <-r.events:
		return e
	case <-r.drained:
		r.drained = nil
		return Drained{}
	case <-r.groupLost:
		r.groupLost = nil
		return GroupLost{}
	case <-r.stop:
		r.stop = nil
		return StopRequested{}
	case <-timer:
		return Tick{}
	}
}

func (r *sourceRun) execute(action SourceAction) {
	switch a := action.(type) {
	case SendPrepare:
		r.call(r.callCtx, prepareTimeout, func(ctx context.Context) SourceEvent {
			response, err := r.options.Peer.Prepare(ctx, r.plan.Target, a.Request)
			return PrepareDone{Response: response, Err: err}
		})
	case CloseShards:
		drained, err := r.options.Gate.CloseShards(r.plan.Service, r.plan.SourceGroup, r.plan.Shards)
		r.drained = drained
		r.step(ShardsClosed{Err: err})
	case SendTransfer:
		go func() { r.events <- TransferDone{Err: r.transfer()} }()
	case WriteRows:
		go func() { r.events <- WriteDone{r.writeRows(a.Write)} }()
	case ResolveWrite:
		r.options.Log.Log(eventUnknown, event.F("move", a.Write.MoveID), event.F("group", a.Write.SourceGroup))
		r.call(r.detachedCtx, rowsTimeout, func(ctx context.Context) SourceEvent {
			return WriteDone{r.options.Records.ResolveMove(ctx, a.Write)}
		})
	case AdoptRecords:
		r.options.Adopter.Adopt(a.Records...)
	case SendCommit:
		r.call(r.detachedCtx, commitTimeout, func(ctx context.Context) SourceEvent {
			_, err := r.options.Peer.Commit(ctx, r.plan.Target, a.Request)
			return CommitDone{Err: err}
		})
	case ReopenShards:
		r.drained = nil
		r.options.Gate.ReopenShards(r.plan.Service, r.plan.SourceGroup, r.plan.Shards)
	case ReleaseShards:
		r.options.Gate.ReleaseShards(r.plan.Service, r.plan.SourceGroup, r.plan.Shards, a.Target)
	}
}

// call runs f in the background with a timeout and delivers its event.
func (r *sourceRun) call(ctx context.Context, timeout time.Duration, f func(context.Context) SourceEvent) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r.events <- f(ctx)
	}()
}

// writeRows writes both rows. The timeout starts when other writes of this host
// have finished, so that a write does not time out before it was sent.
func (r *sourceRun) writeRows(w Write) WriteResult {
	r.rowWrites <- struct{}{}
	defer func() { <-r.rowWrites }()
	ctx, cancel := context.WithTimeout(r.detachedCtx, rowsTimeout)
	defer cancel()
	return r.options.Records.MoveShards(ctx, w)
}

// transfer sends the journal of the shards. An empty journal is sent as one empty
// part, which makes the target check its row for the commit.
func (r *sourceRun) transfer() error {
	entries, err := r.options.Gate.ExportJournal(r.plan.Service, r.plan.SourceGroup, r.plan.Shards)
	if err != nil {
		return errkind.New(errkind.JournalUnsafe, "exporting the journal of group %s: %w", r.plan.SourceGroup, err)
	}
	for _, part := range splitParts(entries, maxPartBytes) {
		if err := r.transferPart(part); err != nil {
			return err
		}
	}
	return nil
}

func (r *sourceRun) transferPart(part []JournalEntry) error {
	ctx, cancel := context.WithTimeout(r.callCtx, transferTimeout)
	defer cancel()
	_, err := r.options.Peer.Transfer(ctx, r.plan.Target, TransferRequest{MoveID: r.machine.moveID, Entries: part})
	return err
}

// splitParts splits the entries into parts of at most limit bytes; a larger entry
// gets a part of its own. It returns at least one part.
func splitParts(entries []JournalEntry, limit int) [][]JournalEntry {
	var parts [][]JournalEntry
	first, size := 0, 0
	for i, e := range entries {
		if i > first && size+len(e) > limit {
			parts = append(parts, entries[first:i])
			first, size = i, 0
		}
		size += len(e)
	}
	return append(parts, entries[first:])
}

// resultTags maps the reasons of moves that were not applied to values of the
// metric label "result".
var resultTags = map[Reason]string{
	ReasonRefused:        "refused",
	ReasonNotHeld:        "not_held",
	ReasonDrainTimeout:   "requests_in_flight",
	ReasonTransferFailed: "journal_not_sent",
	ReasonWriteFailed:    "rows_not_written",
	ReasonGroupLost:      "group_lost",
	ReasonStopped:        "stopped",
}

func resultTag(r Result) string {
	switch {
	case r.Outcome == Applied:
		return "applied"
	case r.Outcome == Unknown:
		return "unknown"
	}
	return resultTags[r.Reason]
}

// updateMetrics records the end of a move.
func (s *Source) updateMetrics(service string, r Result) {
	scope := s.options.Scope.Tagged(map[string]string{"service": service})
	if r.ClosedFor > 0 {
		scope.Histogram("parked_seconds", metrics.LatencyBuckets).RecordDuration(r.ClosedFor)
	}
	scope.Tagged(map[string]string{"result": resultTag(r)}).Counter("moves").Inc(1)
}

func (s *Source) report(plan Plan, r Result) {
	s.updateMetrics(plan.Service, r)
	fields := []event.Field{
		event.F("move", r.MoveID),
		event.F("service", plan.Service),
		event.F("group", plan.SourceGroup),
		event.F("target", plan.Target.Name),
		event.F("shards", len(plan.Shards)),
		event.F("parked_ms", r.ClosedFor.Milliseconds()),
	}
	switch {
	case r.Outcome == Applied && r.CommitConfirmed:
		s.options.Log.Log(eventMoved, fields...)
	case r.Outcome == Applied:
		s.options.Log.Log(eventCommitNotConfirmed, fields...)
	case r.Outcome == NotApplied:
		s.options.Log.Log(eventNotMoved, append(fields, event.F("reason", r.Reason.String()), event.F("error", errText(r.Err)))...)
	default:
		s.options.Log.Log(eventEndedUnknown, append(fields, event.F("error", errText(r.Err)))...)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
