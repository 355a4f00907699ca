package move

import (
	"context"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// SourceGate is the gate of the source.
type SourceGate interface {
	// CloseShards blocks new requests for the shards until the shards are
	// reopened or released, or until the request's deadline. Admitting a request
	// checks for closed shards and counts it as in flight in one atomic step.
	// The channel is closed when no request for the shards is in flight; a
	// request whose response was lost counts until it can no longer run.
	// CloseShards returns an error if this host does not hold the shards.
	CloseShards(service, groupID string, shards []keyspace.Shard) (drained <-chan struct{}, err error)
	// ReopenShards admits the blocked requests and new ones.
	ReopenShards(service, groupID string, shards []keyspace.Shard)
	// ReleaseShards fails the blocked requests with wrong_owner and the target's
	// record. The shards no longer belong to the group.
	ReleaseShards(service, groupID string, shards []keyspace.Shard, target ownership.Group)
	// ExportJournal returns the journal entries of the shards, which must be
	// closed and drained.
	ExportJournal(service, groupID string, shards []keyspace.Shard) ([]JournalEntry, error)
}

// Outcome is the outcome of the write of both rows.
type Outcome int

// Outcomes of a write.
const (
	// Unknown means that the write may have taken effect or may still take effect.
	Unknown Outcome = iota
	// Applied means that both rows contain the move.
	Applied
	// NotApplied means that the write did not and cannot take effect. Reading
	// an unchanged row does not prove this, because a delayed transaction could
	// still arrive: one of the two rows must have a newer version than the one
	// that the write was conditional on.
	NotApplied
)

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

// Write describes the transaction that writes both rows.
type Write struct {
	// MoveID is unique to the attempt and serves as the write ID.
	MoveID      string
	Service     string
	SourceGroup string
	Shards      []keyspace.Shard
	// Target is the record that the target prepared. The write is conditional on
	// its version.
	Target ownership.Group
}

// WriteResult is the outcome of a Write.
type WriteResult struct {
	Outcome Outcome
	// Source and Target are the new records with their versions if the write
	// was applied.
	Source ownership.Group
	Target ownership.Group
	// Err is the cause if the write was not applied or its outcome is unknown.
	Err error
}

// Records reads and writes group rows. Apply computes the new values of both
// rows.
type Records interface {
	// MoveShards writes both rows in one transaction, conditional on the
	// prepared version of the target and the current version of the source.
	MoveShards(ctx context.Context, w Write) WriteResult
	// ResolveMove determines the outcome of a write whose response was lost. It
	// may write the source's row to make a delayed transaction fail.
	ResolveMove(ctx context.Context, w Write) WriteResult
	// ReadGroup reads the row of a group.
	ReadGroup(ctx context.Context, service, groupID string) (ownership.Group, error)
}

// Peer sends the messages of a move to the target.
type Peer interface {
	Prepare(ctx context.Context, target ownership.Host, r PrepareRequest) (PrepareResponse, error)
	Transfer(ctx context.Context, target ownership.Host, r TransferRequest) (TransferResponse, error)
	Commit(ctx context.Context, target ownership.Host, r CommitRequest) (CommitResponse, error)
}

// Adopter applies records to the route table and, for groups that this host
// holds, to the lease and the gate. It ignores records that are not newer than
// the known ones, so Adopt is idempotent. Requests blocked by closed shards stay
// blocked until ReleaseShards.
type Adopter interface {
	Adopt(records ...ownership.Group)
}

// Receiver accepts shards and their journal on the target.
type Receiver interface {
	// Accept checks lease and capacity and chooses the group that will receive
	// the shards. It returns the group's current record, or an error of package
	// errkind. For shards with an incomplete journal it should choose a group
	// that is empty or whose journal is incomplete as well.
	Accept(r PrepareRequest) (ownership.Group, error)
	// ImportJournal adds the entries to the journal of the group, copies them to
	// its standby and returns when the standby has stored them. Imported entries
	// stay for the idempotency window even if the move is abandoned, because a
	// late commit still needs them. An entry with a response replaces one without;
	// an entry without a response never replaces one with a response.
	ImportJournal(ctx context.Context, groupID string, entries []JournalEntry) error
}
