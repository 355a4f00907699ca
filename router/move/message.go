// Package move implements planned moves of shards from their holder (the
// source) to another host of the service (the target).
//
// SourceMachine and TargetMachine are deterministic state machines without a
// clock, network access or goroutines. Source and Target are the drivers that
// execute their actions through the interfaces of this package. Evacuate moves
// all shards of a service off a leaving host.
package move

import (
	"encoding/json"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Names of the peer methods.
const (
	MethodPrepare  = "move.prepare"
	MethodTransfer = "move.transfer"
	MethodCommit   = "move.commit"
)

// JournalEntry is one entry of the idempotency journal, encoded as JSON by the
// gate and opaque to this package.
type JournalEntry = json.RawMessage

// PrepareRequest asks the target to receive shards.
type PrepareRequest struct {
	// MoveID identifies one attempt of a move. A retried request with the same
	// ID renews the preparation.
	MoveID      string           `json:"move_id"`
	Service     string           `json:"service"`
	Shards      []keyspace.Shard `json:"shards"`
	SourceGroup string           `json:"source_group"`
	Generation  uint64           `json:"generation"`
	// JournalComplete reports whether the journal of the source's group is
	// complete. If it is not, the journal of the receiving group becomes
	// incomplete too.
	JournalComplete bool `json:"journal_complete"`
	// RequestRate is the load of the shards in requests/s.
	RequestRate float64 `json:"request_rate"`
}

// PrepareResponse is the target's consent. A refusal is returned as an error of
// package errkind.
type PrepareResponse struct {
	// Target is the record of the group that will receive the shards. The
	// source commits only if the group's row still has this version.
	Target ownership.Group `json:"target"`
}

// TransferRequest carries one part of the journal of the moved shards. A
// transfer has one or more parts; the source commits after the target has
// accepted the last one.
type TransferRequest struct {
	MoveID  string         `json:"move_id"`
	Entries []JournalEntry `json:"entries"`
}

// TransferResponse confirms that the journals of the target and of its standby
// contain the entries. A refusal is returned as an error of package errkind.
type TransferResponse struct{}

// CommitRequest notifies the target that both rows are written.
type CommitRequest struct {
	MoveID string          `json:"move_id"`
	Source ownership.Group `json:"source"`
	Target ownership.Group `json:"target"`
}

// CommitResponse confirms that the target has adopted its new record. A refusal
// is returned as an error of package errkind.
type CommitResponse struct{}
