// Package lease holds the state machines of a group's lease: Holder, which
// serves the group and sends heartbeats, and Standby, which answers them and
// may take the group over.
//
// Both machines are pure. They take inputs together with the current time of
// their own monotonic clock and return the actions that a driver carries out.
// They are not safe for concurrent use.
package lease

// Node names one process: a host and the random number that the process drew
// at its start.
type Node struct {
	Name        string
	Incarnation uint64
}

// IsZero reports whether the value names no process.
func (n Node) IsZero() bool {
	return n.Name == ""
}

// Record is the part of a group's row that the lease depends on.
type Record struct {
	Generation uint64
	// Version is the row version.
	Version int64
	Holder  Node
	// Standby is zero when the group has none.
	Standby Node
}

// SameLease reports whether both records have the same holder, generation and
// standby. Row versions may differ: touches and moves of shards change only
// the version.
func (r Record) SameLease(o Record) bool {
	return r.Holder == o.Holder && r.Generation == o.Generation && r.Standby == o.Standby
}

// Heartbeat is sent by the holder of a group to its standby.
type Heartbeat struct {
	Service    string
	GroupID    string
	Generation uint64
	RowVersion int64
	// Seq numbers the heartbeats of one holder and generation.
	Seq               uint64
	HolderName        string
	HolderIncarnation uint64
	// StandbyIncarnation names the process that is meant, so that a restarted
	// standby does not answer for its predecessor.
	StandbyIncarnation uint64
	// NoteVersion is the release note version in force at the sender.
	NoteVersion int64
}

// Ack is the standby's answer to one heartbeat.
type Ack struct {
	Service    string
	GroupID    string
	Generation uint64
	// Seq is that of the heartbeat.
	Seq                uint64
	HolderIncarnation  uint64
	StandbyName        string
	StandbyIncarnation uint64
	// NoteVersion is the release note version in force at the sender.
	NoteVersion int64
}
