package gate

// Replica keeps the copies of journals for which this host is standby.
type Replica struct{}

// NewReplica returns an empty replica.
func NewReplica(opts ReplicaOptions) *Replica { panic("not built yet") }

// ReplicaOptions configure a replica.
type ReplicaOptions struct{}

// Append takes entries of the group's present generation. It refuses an older
// or frozen generation with errkind.Conflict and entries beyond the limits with
// errkind.JournalFull.
func (r *Replica) Append(group GroupRef, entries []Entry) error { panic("not built yet") }

// Sync takes a part of the group's whole journal.
func (r *Replica) Sync(group GroupRef, entries []Entry, first, last bool) error {
	panic("not built yet")
}

// Freeze stops accepting the generation and all before it. It returns whether
// the copy is complete.
func (r *Replica) Freeze(service, groupID string, generation uint64) (complete bool) {
	panic("not built yet")
}

// Promote moves the copy of the group to the journal of the gate, when this
// host became the group's holder.
func (r *Replica) Promote(g *Gate, group GroupRef) { panic("not built yet") }

// Drop discards the copy of a group for which this host is no longer standby.
func (r *Replica) Drop(service, groupID string) { panic("not built yet") }
