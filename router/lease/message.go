// Package lease implements the state machines of a group's lease. Holder serves
// the group and sends heartbeats; Standby acks them and takes the group over
// when they stop; Watcher is used by all other hosts.
//
// Holder and Standby are pure state machines: they take inputs together with
// the current time of the local monotonic clock, and return the actions that a
// driver carries out. They are not safe for concurrent use.
package lease

// Node identifies a router process by its host name and the random number that
// the process generated at its start.
type Node struct {
	Name        string
	Incarnation uint64
}

// IsZero reports whether n identifies no process.
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
// standby. Row versions may differ: row renewals and moves of shards change
// only the version.
func (r Record) SameLease(o Record) bool {
	return r.Holder == o.Holder && r.Generation == o.Generation && r.Standby == o.Standby
}

// Heartbeat is sent by the holder of a group to its standby.
type Heartbeat struct {
	Service    string
	GroupID    string
	Generation uint64
	RowVersion int64
	// Seq numbers the heartbeats of one holder.
	Seq               uint64
	HolderName        string
	HolderIncarnation uint64
	// StandbyIncarnation identifies the process that the heartbeat is meant for,
	// so that a restarted standby does not ack on behalf of its predecessor.
	StandbyIncarnation uint64
	// NoteVersion is the release note version in force at the sender.
	NoteVersion int64
}

// Ack is the standby's reply to one heartbeat.
type Ack struct {
	Service    string
	GroupID    string
	Generation uint64
	// Seq is the Seq of the heartbeat.
	Seq                uint64
	HolderIncarnation  uint64
	StandbyName        string
	StandbyIncarnation uint64
	// NoteVersion is the release note version in force at the sender.
	NoteVersion int64
}
