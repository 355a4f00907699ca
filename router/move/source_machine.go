package move

import (
	"errors"
	"fmt"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/ownership"
)

// Limits of the source.
const (
	// DrainLimit is how long a move outside a shutdown waits for requests in
	// flight. New requests are blocked meanwhile.
	DrainLimit = 100 * time.Millisecond
	// renewAfter is the age beyond which a preparation is renewed before the
	// transfer. It is shorter than PreparationTimeout by more than the delay of
	// a message.
	renewAfter = time.Second
	// Backoff between attempts to resolve a write of unknown outcome. The first
	// delay is short because requests are blocked.
	resolveBackoffMin = 50 * time.Millisecond
	resolveBackoffMax = 2 * time.Second
	// A failed commit message is retried with exponential backoff. If all
	// attempts fail, the target learns of the move from its row.
	maxCommitAttempts = 5
	commitBackoffMin  = 100 * time.Millisecond
)

type sourcePhase int

const (
	sourceIdle sourcePhase = iota
	sourcePreparing
	sourceClosing
	sourceDraining
	sourceRenewing
	sourceTransferring
	sourceWriting        // a write or an attempt to resolve its outcome is in progress
	sourceResolveBackoff // waits before the next attempt to resolve the outcome
	sourceCommitting     // a commit message is in progress
	sourceCommitBackoff  // waits before it retries the commit message
	sourceDone
)

// SourceMachine is the state machine of the source for one attempt of a move.
// It is not safe for concurrent use.
type SourceMachine struct {
	moveID string
	plan   Plan
	phase  sourcePhase
	// target is the record that the target prepared.
	target        ownership.Group
	preparedAt    time.Time // when the latest prepare request was sent
	closedAt      time.Time
	wake          time.Time // zero if no Tick is needed
	backoff       time.Duration
	commitAttempt int // number of the current or latest commit message
	commit        CommitRequest
	released      bool
	stopping      bool
	result        Result
}

// NewSourceMachine returns the machine of one attempt. moveID must be unique to
// the attempt.
func NewSourceMachine(moveID string, plan Plan) *SourceMachine {
	return &SourceMachine{moveID: moveID, plan: plan, result: Result{MoveID: moveID}}
}

// Result returns the result of the attempt. It returns false while the attempt is
// in progress.
func (m *SourceMachine) Result() (Result, bool) {
	return m.result, m.phase == sourceDone
}

// Wake returns the time at which the machine needs a Tick, or false if it waits
// only for other events.
func (m *SourceMachine) Wake() (time.Time, bool) {
	return m.wake, !m.wake.IsZero()
}

// Step processes an event and returns the actions to execute. It ignores events
// that do not fit the phase, such as the result of a call that arrives after the
// move was abandoned.
func (m *SourceMachine) Step(now time.Time, event SourceEvent) []SourceAction {
	switch e := event.(type) {
	case Started:
		return m.start(now)
	case PrepareDone:
		return m.prepareDone(now, e)
	case ShardsClosed:
		return m.shardsClosed(now, e)
	case Drained:
		return m.drained(now)
	case TransferDone:
		return m.transferDone(now, e)
	case WriteDone:
		return m.writeDone(now, e.Result)
	case CommitDone:
		return m.commitDone(now, e)
	case GroupLost:
		return m.groupLost(now)
	case StopRequested:
		return m.stop(now)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *SourceMachine) start(now time.Time) []SourceAction {
	if m.phase != sourceIdle {
		return nil
	}
	return m.prepare(now, sourcePreparing)
}

func (m *SourceMachine) prepare(now time.Time, phase sourcePhase) []SourceAction {
	m.phase = phase
	m.preparedAt = now
	return []SourceAction{SendPrepare{PrepareRequest{
		MoveID:          m.moveID,
		Service:         m.plan.Service,
		Shards:          m.plan.Shards,
		SourceGroup:     m.plan.SourceGroup,
		Generation:      m.plan.Generation,
		JournalComplete: m.plan.JournalComplete,
		RequestRate:     m.plan.RequestRate,
	}}}
}

func (m *SourceMachine) prepareDone(now time.Time, e PrepareDone) []SourceAction {
	if m.phase != sourcePreparing && m.phase != sourceRenewing {
		return nil
	}
	if e.Err == nil {
		e.Err = m.checkTarget(e.Response.Target)
	}
	if e.Err != nil {
		return m.abort(now, ReasonRefused, e.Err)
	}
	m.target = e.Response.Target
	if m.phase == sourceRenewing {
		return m.transfer()
	}
	m.phase = sourceClosing
	return []SourceAction{CloseShards{}}
}

// checkTarget returns an error if the prepared record does not belong to the host
// and the service of the plan.
func (m *SourceMachine) checkTarget(target ownership.Group) error {
	if target.Service != m.plan.Service || !target.Holder.SameProcess(m.plan.Target) || target.ID == m.plan.SourceGroup {
		return errkind.New(errkind.PeerRefused, "move %s: host %s prepared group %s of host %s", m.moveID, m.plan.Target.Name, target.Key(), target.Holder.Name)
	}
	return nil
}

func (m *SourceMachine) shardsClosed(now time.Time, e ShardsClosed) []SourceAction {
	if m.phase != sourceClosing {
		return nil
	}
	if e.Err != nil {
		return m.abort(now, ReasonNotHeld, e.Err)
	}
	m.phase = sourceDraining
	m.closedAt = now
	m.wake = now.Add(max(DrainLimit, m.plan.ShutdownDrainLimit))
	return nil
}

func (m *SourceMachine) drained(now time.Time) []SourceAction {
	if m.phase != sourceDraining {
		return nil
	}
	m.wake = time.Time{}
	// A long drain outlasts the preparation: a target that held it throughout
	// could receive no other move meanwhile.
	if now.Sub(m.preparedAt) > renewAfter {
		return m.prepare(now, sourceRenewing)
	}
	return m.transfer()
}

func (m *SourceMachine) transfer() []SourceAction {
	m.phase = sourceTransferring
	return []SourceAction{SendTransfer{}}
}

func (m *SourceMachine) transferDone(now time.Time, e TransferDone) []SourceAction {
	if m.phase != sourceTransferring {
		return nil
	}
	if e.Err != nil {
		return m.abort(now, ReasonTransferFailed, e.Err)
	}
	m.phase = sourceWriting
	m.backoff = resolveBackoffMin
	return []SourceAction{WriteRows{m.write()}}
}

func (m *SourceMachine) write() Write {
	return Write{
		MoveID:      m.moveID,
		Service:     m.plan.Service,
		SourceGroup: m.plan.SourceGroup,
		Shards:      m.plan.Shards,
		Target:      m.target,
	}
}

func (m *SourceMachine) writeDone(now time.Time, r WriteResult) []SourceAction {
	if m.phase != sourceWriting {
		return nil
	}
	switch r.Outcome {
	case Applied:
		return m.applied(r)
	case NotApplied:
		return m.abort(now, ReasonWriteFailed, r.Err)
	}
	if m.stopping {
		return m.endUnknown(now, r.Err)
	}
	// The shards stay closed: reopening them could give a key two owners, and
	// releasing them could leave a key without an owner.
	m.phase = sourceResolveBackoff
	m.result.Err = r.Err
	m.wake = now.Add(m.backoff)
	m.backoff = min(2*m.backoff, resolveBackoffMax)
	return nil
}

func (m *SourceMachine) endUnknown(now time.Time, err error) []SourceAction {
	m.finish(now, Unknown, ReasonStopped, err)
	return nil
}

// applied notifies the target before the blocked requests are released, so that
// they do not reach a gate that does not know its new shards yet.
func (m *SourceMachine) applied(r WriteResult) []SourceAction {
	m.phase = sourceCommitting
	m.wake = time.Time{}
	m.commitAttempt = 1
	m.backoff = commitBackoffMin
	m.commit = CommitRequest{MoveID: m.moveID, Source: r.Source, Target: r.Target}
	m.result.Target = r.Target
	return []SourceAction{
		AdoptRecords{[]ownership.Group{r.Source, r.Target}},
		SendCommit{m.commit},
	}
}

func (m *SourceMachine) commitDone(now time.Time, e CommitDone) []SourceAction {
	if m.phase != sourceCommitting {
		return nil
	}
	actions := m.release(now)
	m.result.CommitConfirmed = e.Err == nil
	if e.Err == nil || m.stopping || m.commitAttempt == maxCommitAttempts {
		m.finish(now, Applied, ReasonNone, e.Err)
		return actions
	}
	m.phase = sourceCommitBackoff
	m.wake = now.Add(m.backoff)
	m.backoff *= 2
	return actions
}

// release releases the blocked requests after the first commit message, whether
// or not the target confirmed it.
func (m *SourceMachine) release(now time.Time) []SourceAction {
	if m.released {
		return nil
	}
	m.released = true
	m.result.ClosedFor = now.Sub(m.closedAt)
	return []SourceAction{ReleaseShards{m.commit.Target}}
}

func (m *SourceMachine) groupLost(now time.Time) []SourceAction {
	// Once the write was sent, only the rows show its outcome.
	if m.phase >= sourceWriting {
		return nil
	}
	return m.abort(now, ReasonGroupLost, errkind.New(errkind.LeaseLapsed, "move %s: group %s is no longer held", m.moveID, m.plan.SourceGroup))
}

func (m *SourceMachine) stop(now time.Time) []SourceAction {
	m.stopping = true
	switch {
	case m.phase == sourceDone, m.phase == sourceWriting, m.phase == sourceCommitting:
		// The result of the call in progress decides.
		return nil
	case m.phase == sourceResolveBackoff:
		return m.endUnknown(now, m.result.Err)
	case m.phase == sourceCommitBackoff:
		m.finish(now, Applied, ReasonNone, nil)
		return nil
	}
	return m.abort(now, ReasonStopped, errStopped)
}

// errNoResponse indicates a bug in TargetMachine.
var errNoResponse = errkind.New(errkind.Internal, "the state machine of the move returned no response")

var errStopped = errors.New("move cancelled by its caller")

func (m *SourceMachine) tick(now time.Time) []SourceAction {
	if m.wake.IsZero() || now.Before(m.wake) {
		return nil
	}
	m.wake = time.Time{}
	switch m.phase {
	case sourceDraining:
		return m.abort(now, ReasonDrainTimeout, fmt.Errorf("move %s: requests still in flight after %v", m.moveID, now.Sub(m.closedAt)))
	case sourceResolveBackoff:
		m.phase = sourceWriting
		return []SourceAction{ResolveWrite{m.write()}}
	case sourceCommitBackoff:
		m.phase = sourceCommitting
		m.commitAttempt++
		return []SourceAction{SendCommit{m.commit}}
	}
	return nil
}

// abort ends a move whose write was never sent or cannot take effect.
func (m *SourceMachine) abort(now time.Time, reason Reason, err error) []SourceAction {
	if m.phase == sourceDone {
		return nil
	}
	closed := m.phase > sourceClosing
	// The gate may have closed the shards although ShardsClosed has not arrived.
	maybeClosed := m.phase == sourceClosing && reason != ReasonNotHeld
	if closed {
		m.result.ClosedFor = now.Sub(m.closedAt)
	}
	m.finish(now, NotApplied, reason, err)
	if !closed && !maybeClosed {
		return nil
	}
	return []SourceAction{ReopenShards{}}
}

func (m *SourceMachine) finish(now time.Time, outcome Outcome, reason Reason, err error) {
	if outcome == Unknown {
		m.result.ClosedFor = now.Sub(m.closedAt)
	}
	m.phase = sourceDone
	m.wake = time.Time{}
	m.result.Outcome = outcome
	m.result.Reason = reason
	m.result.Err = err
}
