package move

import (
	"errors"
	"fmt"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Limits of the source.
const (
	// DrainLimit is how long requests in flight may hold up a move that is not
	// part of a stop; new requests wait meanwhile.
	DrainLimit = 100 * time.Millisecond
	// renewAfter is the age at which a preparation is renewed before the
	// transfer. It is below PreparationTimeout by more than a message's delay.
	renewAfter = time.Second
	// A write of unknown outcome is settled again after these pauses. The
	// first is short because requests wait.
	settlePauseMin = 50 * time.Millisecond
	settlePauseMax = 2 * time.Second
	// A commit message that failed is sent again. When all attempts fail, the
	// target finds the move in its row.
	commitAttempts = 5
	commitPause    = 100 * time.Millisecond
)

// Plan describes a move to the source.
type Plan struct {
	Service         string
	SourceGroup     string
	Generation      uint64
	JournalComplete bool
	Shards          []keyspace.Shard
	// RequestRate is the load of the shards in requests/s.
	RequestRate float64
	Target      ownership.Host
	// ShutdownDrainLimit is 0 for an ordinary move. During a stop it is the longest
	// time that requests in flight can still take; the source waits for them
	// instead of reopening after DrainLimit.
	ShutdownDrainLimit time.Duration
	// GroupLost is closed when this host loses the group; nil if the caller does
	// not watch for it. A move is safe without it and ends later.
	GroupLost <-chan struct{}
}

// Reason says why a move was not applied.
type Reason int

// The reasons.
const (
	// ReasonNone belongs to a move that was applied.
	ReasonNone Reason = iota
	// ReasonRefused means that the target refused or could not be reached.
	ReasonRefused
	// ReasonNotHeld means that the gate does not hold the shards.
	ReasonNotHeld
	// ReasonDrainTimeout means that requests in flight took too long.
	ReasonDrainTimeout
	// ReasonTransferFailed means that the journal did not reach the target.
	ReasonTransferFailed
	// ReasonWriteFailed means that the rows were not written, or that this is
	// unknown.
	ReasonWriteFailed
	// ReasonGroupLost means that this host lost the group.
	ReasonGroupLost
	// ReasonStopped means that the caller ended the move.
	ReasonStopped
)

var reasonNames = map[Reason]string{
	ReasonNone:           "none",
	ReasonRefused:        "refused by the target",
	ReasonNotHeld:        "shards not held",
	ReasonDrainTimeout:   "requests in flight",
	ReasonTransferFailed: "journal not transferred",
	ReasonWriteFailed:    "rows not written",
	ReasonGroupLost:      "group lost",
	ReasonStopped:        "stopped",
}

// String returns the reason in words.
func (r Reason) String() string {
	return reasonNames[r]
}

// Result is the end of one attempt.
type Result struct {
	MoveID string
	// Outcome is Unknown only when the caller ended the move while the outcome
	// of the write was not known. The shards then stay closed at the gate.
	Outcome Outcome
	Reason  Reason
	Err     error
	// ClosedFor is how long the shards were closed.
	ClosedFor time.Duration
	// Target is the target's new record when the move was applied.
	Target ownership.Group
	// CommitConfirmed reports whether the target confirmed the commit.
	CommitConfirmed bool
}

// AvoidTarget reports whether the target should be left alone for a while: it
// refused, could not be reached or did not take the journal. A target that
// only receives another move (errkind.Conflict) is free again within moments.
func (r Result) AvoidTarget() bool {
	atTarget := r.Reason == ReasonRefused || r.Reason == ReasonTransferFailed
	return atTarget && !errkind.Is(r.Err, errkind.Conflict)
}

// SourceEvent is an input of the source's state machine.
type SourceEvent interface{ sourceEvent() }

// Events of the source.
type (
	// Started begins the move.
	Started struct{}
	// PrepareDone is the target's answer to SendPrepare.
	PrepareDone struct {
		Response PrepareResponse
		Err      error
	}
	// ShardsClosed is the gate's answer to CloseShards.
	ShardsClosed struct{ Err error }
	// Drained means that no request for the shards is in flight.
	Drained struct{}
	// TransferDone is the result of SendTransfer.
	TransferDone struct{ Err error }
	// WriteDone is the result of WriteRows or ResolveWrite.
	WriteDone struct{ Result WriteResult }
	// CommitDone is the target's answer to SendCommit.
	CommitDone struct{ Err error }
	// GroupLost means that this host no longer holds the source's group.
	GroupLost struct{}
	// StopRequested means that the caller ends the move.
	StopRequested struct{}
	// Tick means that the time of Wake has come.
	Tick struct{}
)

func (Started) sourceEvent()       {}
func (PrepareDone) sourceEvent()   {}
func (ShardsClosed) sourceEvent()  {}
func (Drained) sourceEvent()       {}
func (TransferDone) sourceEvent()  {}
func (WriteDone) sourceEvent()     {}
func (CommitDone) sourceEvent()    {}
func (GroupLost) sourceEvent()     {}
func (StopRequested) sourceEvent() {}
func (Tick) sourceEvent()          {}

// SourceAction is an output of the source's state machine.
type SourceAction interface{ sourceAction() }

// Actions of the source. SendPrepare, CloseShards, SendTransfer, WriteRows,
// ResolveWrite and SendCommit are each answered by one event.
type (
	// SendPrepare asks the target to prepare.
	SendPrepare struct{ Request PrepareRequest }
	// CloseShards closes the shards at the gate.
	CloseShards struct{}
	// SendTransfer exports the journal of the shards and sends it.
	SendTransfer struct{}
	// WriteRows writes both rows.
	WriteRows struct{ Write Write }
	// ResolveWrite determines the outcome of the write.
	ResolveWrite struct{ Write Write }
	// AdoptRecords takes in the new records.
	AdoptRecords struct{ Records []ownership.Group }
	// SendCommit tells the target the new records.
	SendCommit struct{ Request CommitRequest }
	// ReopenShards reopens the shards at the gate.
	ReopenShards struct{}
	// ReleaseShards releases the shards at the gate.
	ReleaseShards struct{ Target ownership.Group }
)

func (SendPrepare) sourceAction()   {}
func (CloseShards) sourceAction()   {}
func (SendTransfer) sourceAction()  {}
func (WriteRows) sourceAction()     {}
func (ResolveWrite) sourceAction()  {}
func (AdoptRecords) sourceAction()  {}
func (SendCommit) sourceAction()    {}
func (ReopenShards) sourceAction()  {}
func (ReleaseShards) sourceAction() {}

type sourcePhase int

const (
	sourceIdle sourcePhase = iota
	sourcePreparing
	sourceClosing
	sourceDraining
	sourceRenewing
	sourceTransferring
	sourceWriting     // a write or its settling is under way
	sourceSettlePause // waits before it settles again
	sourceAnnouncing  // a commit message is under way
	sourceCommitPause // waits before it sends the commit message again
	sourceDone
)

// SourceMachine is the state machine of the source for one attempt of a move.
// It is not safe for concurrent use.
type SourceMachine struct {
	moveID string
	plan   Plan
	phase  sourcePhase
	// target is the record that the target prepared.
	target     ownership.Group
	preparedAt time.Time // sending of the latest prepare request
	closedAt   time.Time
	wake       time.Time // zero when no time matters
	pause      time.Duration
	commits    int
	commit     CommitRequest
	released   bool
	stopping   bool
	result     Result
}

// NewSourceMachine returns the machine of one attempt. The move id must be new
// for each attempt.
func NewSourceMachine(moveID string, plan Plan) *SourceMachine {
	return &SourceMachine{moveID: moveID, plan: plan, result: Result{MoveID: moveID}}
}

// Result returns the end of the attempt, and false while it goes on.
func (m *SourceMachine) Result() (Result, bool) {
	return m.result, m.phase == sourceDone
}

// Wake returns the time at which the machine needs a Tick, and false when it
// waits for other events only.
func (m *SourceMachine) Wake() (time.Time, bool) {
	return m.wake, !m.wake.IsZero()
}

// Step takes in an event and returns what to do. An event that does not fit
// the phase, such as an answer after the move was given up, is ignored.
func (m *SourceMachine) Step(now time.Time, event SourceEvent) []SourceAction {
	switch e := event.(type) {
	case Started:
		return m.start(now)
	case PrepareDone:
		return m.prepared(now, e)
	case ShardsClosed:
		return m.closed(now, e)
	case Drained:
		return m.drained(now)
	case TransferDone:
		return m.transferred(now, e)
	case WriteDone:
		return m.rowsAnswered(now, e.Result)
	case CommitDone:
		return m.commitAnswered(now, e)
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

func (m *SourceMachine) prepared(now time.Time, e PrepareDone) []SourceAction {
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

// checkTarget guards against a record that would put the shards elsewhere than
// at the host that prepared.
func (m *SourceMachine) checkTarget(target ownership.Group) error {
	if target.Service != m.plan.Service || !target.Holder.SameProcess(m.plan.Target) || target.ID == m.plan.SourceGroup {
		return errkind.New(errkind.PeerRefused, "move %s: host %s prepared group %s of host %s", m.moveID, m.plan.Target.Name, target.Key(), target.Holder.Name)
	}
	return nil
}

func (m *SourceMachine) closed(now time.Time, e ShardsClosed) []SourceAction {
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
	// A long drain outlasts the preparation, because a target that waited for
	// it could receive nothing else.
	if now.Sub(m.preparedAt) > renewAfter {
		return m.prepare(now, sourceRenewing)
	}
	return m.transfer()
}

func (m *SourceMachine) transfer() []SourceAction {
	m.phase = sourceTransferring
	return []SourceAction{SendTransfer{}}
}

func (m *SourceMachine) transferred(now time.Time, e TransferDone) []SourceAction {
	if m.phase != sourceTransferring {
		return nil
	}
	if e.Err != nil {
		return m.abort(now, ReasonTransferFailed, e.Err)
	}
	m.phase = sourceWriting
	m.pause = settlePauseMin
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

func (m *SourceMachine) rowsAnswered(now time.Time, r WriteResult) []SourceAction {
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
	// The shards stay closed: to reopen them could let two hosts run the same
	// key, to release them could leave the key without an owner.
	m.phase = sourceSettlePause
	m.result.Err = r.Err
	m.wake = now.Add(m.pause)
	m.pause = min(2*m.pause, settlePauseMax)
	return nil
}

func (m *SourceMachine) endUnknown(now time.Time, err error) []SourceAction {
	m.finish(now, Unknown, ReasonStopped, err)
	return nil
}

// applied tells the target before it releases the waiting requests, so that
// they do not reach a gate that does not know its new shards yet.
func (m *SourceMachine) applied(r WriteResult) []SourceAction {
	m.phase = sourceAnnouncing
	m.wake = time.Time{}
	m.commits = 1
	m.pause = commitPause
	m.commit = CommitRequest{MoveID: m.moveID, Source: r.Source, Target: r.Target}
	m.result.Target = r.Target
	return []SourceAction{
		AdoptRecords{[]ownership.Group{r.Source, r.Target}},
		SendCommit{m.commit},
	}
}

func (m *SourceMachine) commitAnswered(now time.Time, e CommitDone) []SourceAction {
	if m.phase != sourceAnnouncing {
		return nil
	}
	actions := m.release(now)
	m.result.CommitConfirmed = e.Err == nil
	if e.Err == nil || m.stopping || m.commits == commitAttempts {
		m.finish(now, Applied, ReasonNone, e.Err)
		return actions
	}
	m.phase = sourceCommitPause
	m.wake = now.Add(m.pause)
	m.pause *= 2
	return actions
}

// release lets the waiting requests go after the first commit message, whether
// or not the target answered it.
func (m *SourceMachine) release(now time.Time) []SourceAction {
	if m.released {
		return nil
	}
	m.released = true
	m.result.ClosedFor = now.Sub(m.closedAt)
	return []SourceAction{ReleaseShards{m.commit.Target}}
}

func (m *SourceMachine) groupLost(now time.Time) []SourceAction {
	// Once the write was sent, only the rows can tell what became of it.
	if m.phase >= sourceWriting {
		return nil
	}
	return m.abort(now, ReasonGroupLost, errkind.New(errkind.LeaseLapsed, "move %s: group %s is no longer held", m.moveID, m.plan.SourceGroup))
}

func (m *SourceMachine) stop(now time.Time) []SourceAction {
	m.stopping = true
	switch {
	case m.phase == sourceDone, m.phase == sourceWriting, m.phase == sourceAnnouncing:
		// The answer that is under way decides.
		return nil
	case m.phase == sourceSettlePause:
		return m.endUnknown(now, m.result.Err)
	case m.phase == sourceCommitPause:
		m.finish(now, Applied, ReasonNone, nil)
		return nil
	}
	return m.abort(now, ReasonStopped, errStopped)
}

// errNoResponse shows a fault of the state machine.
var errNoResponse = errkind.New(errkind.Internal, "the move's state machine gave no answer")

var errStopped = errors.New("move ended by its caller")

func (m *SourceMachine) tick(now time.Time) []SourceAction {
	if m.wake.IsZero() || now.Before(m.wake) {
		return nil
	}
	m.wake = time.Time{}
	switch m.phase {
	case sourceDraining:
		return m.abort(now, ReasonDrainTimeout, fmt.Errorf("move %s: requests still in flight after %v", m.moveID, now.Sub(m.closedAt)))
	case sourceSettlePause:
		m.phase = sourceWriting
		return []SourceAction{ResolveWrite{m.write()}}
	case sourceCommitPause:
		m.phase = sourceAnnouncing
		m.commits++
		return []SourceAction{SendCommit{m.commit}}
	}
	return nil
}

// abort ends a move whose write was never sent or will never take effect.
func (m *SourceMachine) abort(now time.Time, reason Reason, err error) []SourceAction {
	if m.phase == sourceDone {
		return nil
	}
	closed := m.phase > sourceClosing
	// The gate may have closed the shards although its answer is not in yet.
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
