package move

import (
	"context"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// SourceGate is the gate of the host that gives shards away.
type SourceGate interface {
	// CloseShards makes new requests for the shards wait within their
	// deadlines. The check against closed shards and the count of requests in
	// flight are one atomic step. The channel is closed when no request for
	// the shards is in flight; a request whose answer was lost counts until it
	// can no longer run. It fails when this host does not hold the shards.
	CloseShards(service, groupID string, shards []keyspace.Shard) (drained <-chan struct{}, err error)
	// ReopenShards lets the waiting requests run and new ones pass.
	ReopenShards(service, groupID string, shards []keyspace.Shard)
	// ReleaseShards answers the waiting requests wrong_owner with the target's
	// record. The shards no longer belong to the group.
	ReleaseShards(service, groupID string, shards []keyspace.Shard, target ownership.Group)
	// ExportJournal returns the journal entries of the closed and drained
	// shards.
	ExportJournal(service, groupID string, shards []keyspace.Shard) ([]JournalEntry, error)
}

// Outcome says what became of the write of both rows.
type Outcome int

// The outcomes.
const (
	// Unknown means that the write may have taken effect or may still do so.
	Unknown Outcome = iota
	// Applied means that both rows hold the move.
	Applied
	// NotApplied means that the write did not take effect and never will. To
	// read an unchanged row is not enough: a delayed transaction could still
	// arrive. One of the two rows must have a version newer than the one that
	// the write was conditional on.
	NotApplied
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	default:
		return "unknown"
	}
}

// Write describes the write of both rows.
type Write struct {
	// MoveID is unique to the attempt and serves as the write id.
	MoveID      string
	Service     string
	SourceGroup string
	Shards      []keyspace.Shard
	// Target is the record that the write of the target's row is conditional
	// on.
	Target ownership.Group
}

// WriteResult is the outcome of a Write.
type WriteResult struct {
	Outcome Outcome
	// Source and Target are the new records, with their versions, when the
	// write was applied.
	Source ownership.Group
	Target ownership.Group
	// Err is the reason when the write was not applied or is unknown.
	Err error
}

// Records writes the group rows. Apply computes the new values of both rows.
type Records interface {
	// MoveShards writes both rows in one transaction, conditional on the
	// target's version and on the source's present version.
	MoveShards(ctx context.Context, w Write) WriteResult
	// ResolveMove determines the outcome of a write whose answer was lost. It
	// may write the source's row again to make a delayed transaction fail.
	ResolveMove(ctx context.Context, w Write) WriteResult
	// ReadGroup reads a row.
	ReadGroup(ctx context.Context, service, groupID string) (ownership.Group, error)
}

// Peer sends the messages of a move to the target.
type Peer interface {
	Prepare(ctx context.Context, target ownership.Host, r PrepareRequest) (PrepareResponse, error)
	Transfer(ctx context.Context, target ownership.Host, r TransferRequest) (TransferResponse, error)
	Commit(ctx context.Context, target ownership.Host, r CommitRequest) (CommitResponse, error)
}

// Adopter takes in records: into the route table and, for groups that this
// host holds, into lease and gate. It ignores records that are not newer than
// the ones it has, so a repeated call does no harm. Requests that wait at
// closed shards go on waiting until ReleaseShards.
type Adopter interface {
	Adopt(records ...ownership.Group)
}

// Receiver is the side of the host that receives shards.
type Receiver interface {
	// Accept checks lease and capacity and chooses the group that will receive
	// the shards. It returns the group's present record, or an error with a
	// kind. For shards of an incomplete journal it should choose a group that
	// is empty or has an incomplete journal itself.
	Accept(r PrepareRequest) (ownership.Group, error)
	// ImportJournal puts the entries into the journal of the group and copies
	// them to its standby; it returns when the standby has them. Accepted
	// entries stay for the idempotency window even when the move is given up:
	// a commit that arrives late must still find them. An entry with an answer
	// replaces one without; the reverse is ignored.
	ImportJournal(ctx context.Context, groupID string, entries []JournalEntry) error
}
