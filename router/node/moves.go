package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/move"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
)

// moveGate implements move.SourceGate.
type moveGate struct {
	gate    *gate.Gate
	manager *ownership.Manager

	mu     sync.Mutex
	closed map[string]*gate.ClosedShards // by closedShardsKey
}

func closedShardsKey(service, groupID string, shards []keyspace.Shard) string {
	key := service + "/" + groupID
	for _, s := range shards {
		key += "/" + s.String()
	}
	return key
}

// CloseShards implements move.SourceGate.
func (m *moveGate) CloseShards(service, groupID string, shards []keyspace.Shard) (<-chan struct{}, error) {
	held, ok := heldGroup(m.manager, service, groupID)
	if !ok {
		return nil, errkind.New(errkind.WrongOwner, "group %s of service %s is not held here", groupID, service)
	}
	if _, err := keyspace.Remove(held.Shards, shards); err != nil {
		return nil, errkind.New(errkind.WrongOwner, "group %s: %w", groupID, err)
	}
	closed := m.gate.CloseShards(service, shards)
	m.mu.Lock()
	m.closed[closedShardsKey(service, groupID, shards)] = closed
	m.mu.Unlock()
	return closed.Drained(), nil
}

// ReopenShards implements move.SourceGate.
func (m *moveGate) ReopenShards(service, groupID string, shards []keyspace.Shard) {
	if closed := m.removeClosed(service, groupID, shards); closed != nil {
		closed.Reopen()
	}
}

// ReleaseShards implements move.SourceGate.
func (m *moveGate) ReleaseShards(service, groupID string, shards []keyspace.Shard, target ownership.Group) {
	closed := m.removeClosed(service, groupID, shards)
	if closed == nil {
		return
	}
	closed.Reject(errkind.New(errkind.WrongOwner, "the key moved to host %s", target.Holder.Name))
	m.gate.DiscardJournal(service, shards)
}

// removeClosed removes and returns the closed shards of a move, or nil if they are
// not closed.
func (m *moveGate) removeClosed(service, groupID string, shards []keyspace.Shard) *gate.ClosedShards {
	key := closedShardsKey(service, groupID, shards)
	m.mu.Lock()
	defer m.mu.Unlock()
	closed := m.closed[key]
	delete(m.closed, key)
	return closed
}

// ExportJournal implements move.SourceGate.
func (m *moveGate) ExportJournal(service, _ string, shards []keyspace.Shard) ([]move.JournalEntry, error) {
	entries := m.gate.ExportJournal(service, shards)
	encoded := make([]move.JournalEntry, 0, len(entries))
	for _, e := range entries {
		raw, err := json.Marshal(e)
		if err != nil {
			return nil, errkind.New(errkind.Internal, "encoding a journal entry: %w", err)
		}
		encoded = append(encoded, raw)
	}
	return encoded, nil
}

// heldGroup returns the record of a group that this host holds.
func heldGroup(m *ownership.Manager, service, groupID string) (ownership.Group, bool) {
	for _, g := range m.HeldGroups() {
		if g.Service == service && g.ID == groupID {
			return g, true
		}
	}
	return ownership.Group{}, false
}

// moveRecords implements move.Records.
type moveRecords struct {
	records *ownership.Records
	manager *ownership.Manager
}

// MoveShards implements move.Records.
func (r *moveRecords) MoveShards(ctx context.Context, w move.Write) move.WriteResult {
	source, ok := heldGroup(r.manager, w.Service, w.SourceGroup)
	if !ok {
		return move.WriteResult{Outcome: move.NotApplied, Err: errkind.New(errkind.WrongOwner, "group %s is not held here", w.SourceGroup)}
	}
	newSource, newTarget, err := r.records.MoveShards(ctx, source, w.Target, w.Shards)
	if err == nil {
		return move.WriteResult{Outcome: move.Applied, Source: newSource, Target: newTarget}
	}
	var unknown *ownership.UnknownError
	var superseded *ownership.SupersededError
	if errors.As(err, &unknown) || errors.As(err, &superseded) {
		return move.WriteResult{Outcome: move.Unknown, Err: err}
	}
	return move.WriteResult{Outcome: move.NotApplied, Err: err}
}

// ResolveMove implements move.Records. A source row that still has the shards does
// not prove that the write failed, because it may still arrive. Renewing the row
// changes its version and thus makes any earlier write fail.
func (r *moveRecords) ResolveMove(ctx context.Context, w move.Write) move.WriteResult {
	source, err := r.records.Get(ctx, w.Service, w.SourceGroup)
	if err != nil {
		return move.WriteResult{Outcome: move.Unknown, Err: err}
	}
	if hasShards(source, w.Shards) {
		source, err = r.records.RenewRow(ctx, source, ownership.JournalUnchanged)
		if err != nil {
			return move.WriteResult{Outcome: move.Unknown, Err: err}
		}
		r.manager.Adopt(source)
	}
	if hasShards(source, w.Shards) {
		return move.WriteResult{Outcome: move.NotApplied, Err: errkind.New(errkind.Conflict, "the source row changed before the move was written")}
	}
	target, err := r.records.Get(ctx, w.Service, w.Target.ID)
	if err != nil {
		return move.WriteResult{Outcome: move.Unknown, Err: err}
	}
	return move.WriteResult{Outcome: move.Applied, Source: source, Target: target}
}

func hasShards(g ownership.Group, shards []keyspace.Shard) bool {
	_, err := keyspace.Remove(g.Shards, shards)
	return err == nil
}

// ReadGroup implements move.Records.
func (r *moveRecords) ReadGroup(ctx context.Context, service, groupID string) (ownership.Group, error) {
	return r.records.Get(ctx, service, groupID)
}

// movePeer implements move.Peer.
type movePeer struct {
	client *peer.Client
}

// Prepare implements move.Peer.
func (p movePeer) Prepare(ctx context.Context, to ownership.Host, r move.PrepareRequest) (move.PrepareResponse, error) {
	var response move.PrepareResponse
	err := p.client.Call(ctx, to, move.MethodPrepare, r, &response)
	return response, err
}

// Transfer implements move.Peer.
func (p movePeer) Transfer(ctx context.Context, to ownership.Host, r move.TransferRequest) (move.TransferResponse, error) {
	var response move.TransferResponse
	err := p.client.Call(ctx, to, move.MethodTransfer, r, &response)
	return response, err
}

// Commit implements move.Peer.
func (p movePeer) Commit(ctx context.Context, to ownership.Host, r move.CommitRequest) (move.CommitResponse, error) {
	var response move.CommitResponse
	err := p.client.Call(ctx, to, move.MethodCommit, r, &response)
	return response, err
}

// moveReceiver implements move.Receiver.
type moveReceiver struct {
	node *Node
}

// Accept implements move.Receiver. It chooses the group with the fewest shards.
func (r moveReceiver) Accept(p move.PrepareRequest) (ownership.Group, error) {
	if err := r.node.mayReceive(p.Service); err != nil {
		return ownership.Group{}, err
	}
	needsStandby, err := r.node.requiresStandby(p)
	if err != nil {
		return ownership.Group{}, err
	}
	var best ownership.Group
	found := false
	for _, g := range r.node.manager.HeldGroups() {
		if g.Service != p.Service || needsStandby && g.Standby.IsZero() {
			continue
		}
		if !p.JournalComplete && g.JournalComplete && len(g.Shards) > 0 {
			// The shards would make the journal of the group incomplete, and the
			// group would refuse unknown idempotency keys for all its shards.
			continue
		}
		if !found || len(g.Shards) < len(best.Shards) {
			best, found = g, true
		}
	}
	if !found {
		return ownership.Group{}, errkind.New(errkind.NotReady, "host %s has no group of service %s to receive shards", r.node.self.Name, p.Service)
	}
	r.node.loads.recordArrivals(time.Now(), p.Service, p.Shards)
	return best, nil
}

// requiresStandby reports whether shards may only be received by a group with a
// standby. Without a standby, the loss of this host would leave the shards without
// a holder until the renewal deadline has passed. A host that has just joined
// therefore refuses until it knows its peers. The last host of a service needs no
// standby.
func (n *Node) requiresStandby(p move.PrepareRequest) (bool, error) {
	source, ok := n.routes.Group(p.Service, p.SourceGroup)
	if ok {
		_, ok = n.directory.Get(source.Holder.Name)
	}
	if !ok {
		return false, errkind.New(errkind.NotReady, "host %s does not know the host of group %s yet", n.self.Name, p.SourceGroup)
	}
	now := time.Now()
	for _, m := range n.directory.All() {
		if m.Service == p.Service && m.State == member.Active && !m.Host.SameProcess(n.self) && !n.directory.IsSuspect(now, m.Host.Name) {
			return true, nil
		}
	}
	return false, nil
}

// ImportJournal implements move.Receiver.
func (r moveReceiver) ImportJournal(ctx context.Context, groupID string, raw []move.JournalEntry) error {
	entries := make([]gate.JournalEntry, len(raw))
	for i, e := range raw {
		if err := json.Unmarshal(e, &entries[i]); err != nil {
			return errkind.New(errkind.BadRequest, "journal entry %d: %w", i, err)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	for _, g := range r.node.manager.HeldGroups() {
		if g.ID != groupID {
			continue
		}
		ref := gate.GroupRef{Service: g.Service, GroupID: g.ID, Generation: g.Generation}
		if err := r.node.gate.ImportJournal(ref, entries); err != nil {
			return err
		}
		return r.node.gate.ReplicateEntries(ctx, ref, g.Standby, entries)
	}
	return errkind.New(errkind.WrongOwner, "group %s is not held here", groupID)
}
