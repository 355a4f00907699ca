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

// Time limits of the calls of a move.
const (
	prepareTimeout = time.Second
	// transferTimeout bounds one part of a transfer. Requests wait meanwhile.
	transferTimeout = time.Second
	// rowsTimeout bounds a write or its settling. It is longer than a slow
	// answer of the store, because a lost answer costs another round.
	rowsTimeout   = 2 * time.Second
	commitTimeout = 500 * time.Millisecond
)

// maxPartBytes bounds the entries of one transfer message.
const maxPartBytes = 1 << 20

// SourceOptions configure a Source. Log and Scope may be nil; the rest is
// required.
type SourceOptions struct {
	Gate    SourceGate
	Records Records
	Peer    Peer
	Adopter Adopter
	Log     *event.Logger
	Scope   tally.Scope
}

// Source carries out moves from this host. It is safe for concurrent use.
type Source struct {
	o SourceOptions
	// rows has room for one write at a time. Two moves of a group at the same
	// time would fail on each other's row version.
	rows chan struct{}
}

// NewSource returns a Source.
func NewSource(o SourceOptions) *Source {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Source{o: o, rows: make(chan struct{}, 1)}
}

// Run makes one attempt. When ctx ends before the write of the rows was sent,
// the shards are reopened. When ctx ends while the outcome of the write is not
// known, Run returns Unknown and the shards stay closed; a caller whose
// process goes on must therefore pass a context that ends with the process.
func (s *Source) Run(ctx context.Context, plan Plan) Result {
	r := &sourceRun{
		Source:  s,
		plan:    plan,
		machine: NewSourceMachine(uuid.NewString(), plan),
		events:  make(chan SourceEvent, 1),
		stop:    ctx.Done(),
		lost:    plan.GroupLost,
	}
	// Calls that are under way when the attempt ends are of no use.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.callCtx = callCtx
	r.lastCtx = context.WithoutCancel(ctx)
	result := r.run()
	s.report(plan, result)
	return result
}

// sourceRun is one attempt. At most one call is under way at a time, so events
// needs room for one answer.
type sourceRun struct {
	*Source
	plan    Plan
	machine *SourceMachine
	callCtx context.Context // ends with the caller's context
	lastCtx context.Context // for calls whose answer is needed in any case
	events  chan SourceEvent
	drained <-chan struct{}
	stop    <-chan struct{}
	lost    <-chan struct{}
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
		r.do(action)
	}
}

// wait returns the next event. A channel that has delivered its one event is
// not waited for again.
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
	case <-r.lost:
		r.lost = nil
		return GroupLost{}
	case <-r.stop:
		r.stop = nil
		return StopRequested{}
	case <-timer:
		return Tick{}
	}
}

func (r *sourceRun) do(action SourceAction) {
	switch a := action.(type) {
	case SendPrepare:
		r.call(r.callCtx, prepareTimeout, func(ctx context.Context) SourceEvent {
			answer, err := r.o.Peer.Prepare(ctx, r.plan.Target, a.Request)
			return PrepareDone{Response: answer, Err: err}
		})
	case CloseShards:
		drained, err := r.o.Gate.CloseShards(r.plan.Service, r.plan.SourceGroup, r.plan.Shards)
		r.drained = drained
		r.step(ShardsClosed{Err: err})
	case SendTransfer:
		go func() { r.events <- TransferDone{Err: r.transfer()} }()
	case WriteRows:
		go func() { r.events <- WriteDone{r.writeRows(a.Write)} }()
	case ResolveWrite:
		r.o.Log.Log(eventUnknown, event.F("move", a.Write.MoveID), event.F("group", a.Write.SourceGroup))
		r.call(r.lastCtx, rowsTimeout, func(ctx context.Context) SourceEvent {
			return WriteDone{r.o.Records.ResolveMove(ctx, a.Write)}
		})
	case AdoptRecords:
		r.o.Adopter.Adopt(a.Records...)
	case SendCommit:
		r.call(r.lastCtx, commitTimeout, func(ctx context.Context) SourceEvent {
			_, err := r.o.Peer.Commit(ctx, r.plan.Target, a.Request)
			return CommitDone{Err: err}
		})
	case ReopenShards:
		r.drained = nil
		r.o.Gate.ReopenShards(r.plan.Service, r.plan.SourceGroup, r.plan.Shards)
	case ReleaseShards:
		r.o.Gate.ReleaseShards(r.plan.Service, r.plan.SourceGroup, r.plan.Shards, a.Target)
	}
}

// call runs f in the background and delivers its event.
func (r *sourceRun) call(ctx context.Context, timeout time.Duration, f func(context.Context) SourceEvent) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r.events <- f(ctx)
	}()
}

// writeRows begins to count its time when it has its turn, so that a write is
// not given up before it was sent.
func (r *sourceRun) writeRows(w Write) WriteResult {
	r.rows <- struct{}{}
	defer func() { <-r.rows }()
	ctx, cancel := context.WithTimeout(r.lastCtx, rowsTimeout)
	defer cancel()
	return r.o.Records.MoveShards(ctx, w)
}

// transfer sends the journal of the shards. A journal without entries is sent
// as one empty part, which makes the target look for the commit in its row.
func (r *sourceRun) transfer() error {
	entries, err := r.o.Gate.ExportJournal(r.plan.Service, r.plan.SourceGroup, r.plan.Shards)
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
	_, err := r.o.Peer.Transfer(ctx, r.plan.Target, TransferRequest{MoveID: r.machine.moveID, Entries: part})
	return err
}

// splitParts cuts the entries into parts of at most limit bytes, or one entry
// where that is larger. It returns at least one part.
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

// resultTags are the values of the tag "result" for moves that were not
// applied.
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

// count records the end of a move.
func (s *Source) count(service string, r Result) {
	scope := s.o.Scope.Tagged(map[string]string{"service": service})
	if r.ClosedFor > 0 {
		scope.Histogram("parked_seconds", metrics.LatencyBuckets).RecordDuration(r.ClosedFor)
	}
	scope.Tagged(map[string]string{"result": resultTag(r)}).Counter("moves").Inc(1)
}

func (s *Source) report(plan Plan, r Result) {
	s.count(plan.Service, r)
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
		s.o.Log.Log(eventMoved, fields...)
	case r.Outcome == Applied:
		s.o.Log.Log(eventNotAnnounced, fields...)
	case r.Outcome == NotApplied:
		s.o.Log.Log(eventNotMoved, append(fields, event.F("reason", r.Reason.String()), event.F("error", errText(r.Err)))...)
	default:
		s.o.Log.Log(eventLeftUnknown, append(fields, event.F("error", errText(r.Err)))...)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
