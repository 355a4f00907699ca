package node

import (
	"context"

	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
)

// Control methods that replicate the journal to the standby.
const (
	methodJournalAppend = "journal.append"
	methodJournalSync   = "journal.sync"
)

// journalAppend sends new entries to the standby.
type journalAppend struct {
	Group   gate.GroupRef       `json:"group"`
	Entries []gate.JournalEntry `json:"entries"`
}

// journalSync sends one part of the whole journal of a group to the standby.
type journalSync struct {
	Group   gate.GroupRef       `json:"group"`
	Entries []gate.JournalEntry `json:"entries"`
	First   bool                `json:"first"`
	Last    bool                `json:"last"`
}

// emptyResponse confirms a control call without a result.
type emptyResponse struct{}

// journalReplicator copies journal entries to standbys.
type journalReplicator struct {
	client *peer.Client
}

// Append implements gate.Replicator.
func (r *journalReplicator) Append(ctx context.Context, standby ownership.Host, group gate.GroupRef, entries []gate.JournalEntry) error {
	return r.client.Call(ctx, standby, methodJournalAppend, journalAppend{Group: group, Entries: entries}, &emptyResponse{})
}

// Sync implements gate.Syncer.
func (r *journalReplicator) Sync(ctx context.Context, standby ownership.Host, group gate.GroupRef, entries []gate.JournalEntry, first, last bool) error {
	return r.client.Call(ctx, standby, methodJournalSync, journalSync{Group: group, Entries: entries, First: first, Last: last}, &emptyResponse{})
}

func (n *Node) journalMethods() map[string]peer.Method {
	return map[string]peer.Method{
		methodJournalAppend: peer.Handle(func(_ context.Context, _ peer.Caller, p journalAppend) (emptyResponse, error) {
			return emptyResponse{}, n.replica.Append(p.Group, p.Entries)
		}),
		methodJournalSync: peer.Handle(func(_ context.Context, _ peer.Caller, p journalSync) (emptyResponse, error) {
			return emptyResponse{}, n.replica.Sync(p.Group, p.Entries, p.First, p.Last)
		}),
	}
}
