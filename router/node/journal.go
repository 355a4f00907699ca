package node

import (
	"context"

	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
)

// Control methods of the journal's copy at the standby.
const (
	methodJournalAppend = "journal.append"
	methodJournalSync   = "journal.sync"
)

// journalAppend brings new entries to the standby.
type journalAppend struct {
	Group   gate.GroupRef       `json:"group"`
	Entries []gate.JournalEntry `json:"entries"`
}

// journalSync brings a part of a group's whole journal to the standby.
type journalSync struct {
	Group   gate.GroupRef       `json:"group"`
	Entries []gate.JournalEntry `json:"entries"`
	First   bool                `json:"first"`
	Last    bool                `json:"last"`
}

type accepted struct{}

// journalReplicator copies journal entries to standbys.
type journalReplicator struct {
	client *peer.Client
}

// Append implements gate.Replicator.
func (r *journalReplicator) Append(ctx context.Context, standby ownership.Host, group gate.GroupRef, entries []gate.JournalEntry) error {
	return r.client.Call(ctx, standby, methodJournalAppend, journalAppend{Group: group, Entries: entries}, &accepted{})
}

// Sync implements gate.Syncer.
func (r *journalReplicator) Sync(ctx context.Context, standby ownership.Host, group gate.GroupRef, entries []gate.JournalEntry, first, last bool) error {
	return r.client.Call(ctx, standby, methodJournalSync, journalSync{Group: group, Entries: entries, First: first, Last: last}, &accepted{})
}

func (n *Node) journalMethods() map[string]peer.Method {
	return map[string]peer.Method{
		methodJournalAppend: peer.Handle(func(_ context.Context, _ peer.Caller, p journalAppend) (accepted, error) {
			return accepted{}, n.replica.Append(p.Group, p.Entries)
		}),
		methodJournalSync: peer.Handle(func(_ context.Context, _ peer.Caller, p journalSync) (accepted, error) {
			return accepted{}, n.replica.Sync(p.Group, p.Entries, p.First, p.Last)
		}),
	}
}
