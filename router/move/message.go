// Package move carries out planned moves of shards from their holder (the
// source) to another host of the service (the target).
//
// SourceMachine and TargetMachine decide; they have no clock, network or
// goroutine. Source and Target are the drivers that carry out their actions
// through the interfaces of this package. Evacuate moves everything off a
// leaving host.
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

// JournalEntry is one entry of the idempotency journal, encoded as JSON by the gate.
// This package does not look inside.
type JournalEntry = json.RawMessage

// PrepareRequest asks the target to receive shards.
type PrepareRequest struct {
	// MoveID names one attempt of a move. A repeated request with the same id
	// gets the same group and renews the preparation.
	MoveID      string           `json:"move_id"`
	Service     string           `json:"service"`
	Shards      []keyspace.Shard `json:"shards"`
	SourceGroup string           `json:"source_group"`
	Generation  uint64           `json:"generation"`
	// JournalComplete is that of the source's group. Shards of an incomplete
	// journal make the journal of the group that receives them incomplete.
	JournalComplete bool `json:"journal_complete"`
	// RequestRate is the load that the shards bring, in requests/s.
	RequestRate float64 `json:"request_rate"`
}

// PrepareResponse is the target's consent. A refusal is an error with a kind.
type PrepareResponse struct {
	// Target is the record of the group that will receive the shards. The
	// source commits only if the row still has its version.
	Target ownership.Group `json:"target"`
}

// TransferRequest brings a part of the journal of the moved shards. A transfer
// has one or more parts; the source commits after the last one is accepted.
type TransferRequest struct {
	MoveID  string         `json:"move_id"`
	Entries []JournalEntry `json:"entries"`
}

// TransferResponse confirms that the entries are in the journals of the target
// and of its standby. A refusal is an error with a kind.
type TransferResponse struct{}

// CommitRequest tells the target that both rows are written.
type CommitRequest struct {
	MoveID string          `json:"move_id"`
	Source ownership.Group `json:"source"`
	Target ownership.Group `json:"target"`
}

// CommitResponse confirms that the target serves by its new record. A refusal is
// an error with a kind.
type CommitResponse struct{}
