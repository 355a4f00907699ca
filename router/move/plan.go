package move

import (
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Plan describes a move for Source.Run.
type Plan struct {
	Service         string
	SourceGroup     string
	Generation      uint64
	JournalComplete bool
	Shards          []keyspace.Shard
	// RequestRate is the load of the shards in requests/s.
	RequestRate float64
	Target      ownership.Host
	// ShutdownDrainLimit is the longest time that requests in flight can still
	// take during a shutdown: the source waits for them instead of reopening the
	// shards after DrainLimit. It is 0 for an ordinary move.
	ShutdownDrainLimit time.Duration
	// GroupLost is closed when this host loses the group. It may be nil: the move
	// is then as safe, but fails later.
	GroupLost <-chan struct{}
}

// Reason is the reason why a move was not applied.
type Reason int

// Reasons of a move that was not applied.
const (
	// ReasonNone is the reason of a move that was applied.
	ReasonNone Reason = iota
	// ReasonRefused means that the target refused or could not be reached.
	ReasonRefused
	// ReasonNotHeld means that the gate does not hold the shards.
	ReasonNotHeld
	// ReasonDrainTimeout means that requests in flight did not end in time.
	ReasonDrainTimeout
	// ReasonTransferFailed means that the journal did not reach the target.
	ReasonTransferFailed
	// ReasonWriteFailed means that the rows were not written.
	ReasonWriteFailed
	// ReasonGroupLost means that this host lost the group.
	ReasonGroupLost
	// ReasonStopped means that the caller cancelled the move.
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

func (r Reason) String() string {
	return reasonNames[r]
}

// Result is the result of one attempt.
type Result struct {
	MoveID string
	// Outcome is Unknown only if the caller cancelled the move while the outcome
	// of the write was unknown. The shards then stay closed at the gate.
	Outcome Outcome
	Reason  Reason
	Err     error
	// ClosedFor is how long the shards were closed.
	ClosedFor time.Duration
	// Target is the target's new record if the move was applied.
	Target ownership.Group
	// CommitConfirmed is true if the target confirmed the commit.
	CommitConfirmed bool
}

// AvoidTarget reports whether the target should get no moves for a while,
// because it refused, was unreachable or did not accept the journal. A target
// that is only busy with another move (errkind.Conflict) will soon be free and
// need not be avoided.
func (r Result) AvoidTarget() bool {
	atTarget := r.Reason == ReasonRefused || r.Reason == ReasonTransferFailed
	return atTarget && !errkind.Is(r.Err, errkind.Conflict)
}
