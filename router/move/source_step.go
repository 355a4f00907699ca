package move

import "burdockglade.dev/router/ownership"

// SourceEvent is an input of the source's state machine.
type SourceEvent interface{ sourceEvent() }

// Events of the source.
type (
	// Started begins the move.
	Started struct{}
	// PrepareDone is the result of SendPrepare.
	PrepareDone struct {
		Response PrepareResponse
		Err      error
	}
	// ShardsClosed is the result of CloseShards.
	ShardsClosed struct{ Err error }
	// Drained means that no request for the shards is in flight.
	Drained struct{}
	// TransferDone is the result of SendTransfer.
	TransferDone struct{ Err error }
	// WriteDone is the result of WriteRows or ResolveWrite.
	WriteDone struct{ Result WriteResult }
	// CommitDone is the result of SendCommit.
	CommitDone struct{ Err error }
	// GroupLost means that this host no longer holds the source's group.
	GroupLost struct{}
	// StopRequested means that the caller cancels the move.
	StopRequested struct{}
	// Tick means that the time returned by Wake has passed.
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
// ResolveWrite and SendCommit each result in one event.
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
	// AdoptRecords applies the new records to this host.
	AdoptRecords struct{ Records []ownership.Group }
	// SendCommit sends the new records to the target.
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
