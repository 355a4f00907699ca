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

// moveGate adapts the gate to the source of a move.
type moveGate struct {
	gate    *gate.Gate
	manager *ownership.Manager

	mu       sync.Mutex
	closures map[string]*gate.ClosedShards
}

func closureKey(service, groupID string, shards []keyspace.Shard) string {
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
	closure := m.gate.CloseShards(service, shards)
	m.mu.Lock()
	m.closures[closureKey(service, groupID, shards)] = closure
	m.mu.Unlock()
	return closure.Drained(), nil
}

// ReopenShards implements move.SourceGate.
func (m *moveGate) ReopenShards(service, groupID string, shards []keyspace.Shard) {
	if closure := m.take(service, groupID, shards); closure != nil {
		closure.Reopen()
	}
}

// ReleaseShards implements move.SourceGate.
func (m *moveGate) ReleaseShards(service, groupID string, shards []keyspace.Shard, target ownership.Group) {
	closure := m.take(service, groupID, shards)
	if closure == nil {
		return
	}
	closure.Reject(errkind.New(errkind.WrongOwner, "the key moved to host %s", target.Holder.Name))
	m.gate.DiscardJournal(service, shards)
}

func (m *moveGate) take(service, groupID string, shards []keyspace.Shard) *gate.ClosedShards {
	key := closureKey(service, groupID, shards)
	m.mu.Lock()
	defer m.mu.Unlock()
	closure := m.closures[key]
	delete(m.closures, key)
	return closure
}

// ExportJournal implements move.SourceGate.
func (m *moveGate) ExportJournal(service, _ string, shards []keyspace.Shard) ([]move.JournalEntry, error) {
	entries := m.gate.ExportJournal(service, shards)
	out := make([]move.JournalEntry, 0, len(entries))
	for _, e := range entries {
		raw, err := json.Marshal(e)
		if err != nil {
			return nil, errkind.New(errkind.Internal, "encoding a journal entry: %w", err)
		}
		out = append(out, raw)
	}
	return out, nil
}

func heldGroup(m *ownership.Manager, service, groupID string) (ownership.Group, bool) {
	for _, g := range m.HeldGroups() {
		if g.Service == service && g.ID == groupID {
			return g, true
		}
	}
	return ownership.Group{}, false
}

// moveRecords adapts the group records to the driver of a move.
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

// ResolveMove implements move.Records. A source row that still has the shards
// does not prove that the write failed, because it may still arrive. A touch of
// the row makes every earlier write fail for good.
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
		return move.WriteResult{Outcome: move.NotApplied, Err: errkind.New(errkind.Conflict, "the source row changed first")}
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

// movePeer sends the messages of a move.
type movePeer struct {
	client *peer.Client
}

// Prepare implements move.Peer.
func (p movePeer) Prepare(ctx context.Context, to ownership.Host, r move.PrepareRequest) (move.PrepareResponse, error) {
	var answer move.PrepareResponse
	err := p.client.Call(ctx, to, move.MethodPrepare, r, &answer)
	return answer, err
}

// Transfer implements move.Peer.
func (p movePeer) Transfer(ctx context.Context, to ownership.Host, r move.TransferRequest) (move.TransferResponse, error) {
	var answer move.TransferResponse
	err := p.client.Call(ctx, to, move.MethodTransfer, r, &answer)
	return answer, err
}

// Commit implements move.Peer.
func (p movePeer) Commit(ctx context.Context, to ownership.Host, r move.CommitRequest) (move.CommitResponse, error) {
	var answer move.CommitResponse
	err := p.client.Call(ctx, to, move.MethodCommit, r, &answer)
	return answer, err
}

// moveReceiver decides whether this host receives shards and puts journals in
// place.
type moveReceiver struct {
	node *Node
}

// Accept implements move.Receiver. It chooses the group with the fewest shards.
func (r moveReceiver) Accept(p move.PrepareRequest) (ownership.Group, error) {
	if err := r.node.mayReceive(p.Service); err != nil {
		return ownership.Group{}, err
	}
	needStandby, err := r.node.mustHaveStandby(p)
	if err != nil {
		return ownership.Group{}, err
	}
	var best ownership.Group
	found := false
	for _, g := range r.node.manager.HeldGroups() {
		if g.Service != p.Service || needStandby && g.Standby.IsZero() {
			continue
		}
		if !p.JournalComplete && g.JournalComplete && len(g.Shards) > 0 {
			// The shards would make the whole group refuse unseen ids.
			continue
		}
		if !found || len(g.Shards) < len(best.Shards) {
			best, found = g, true
		}
	}
	if !found {
		return ownership.Group{}, errkind.New(errkind.NotReady, "host %s has no group of service %s to receive shards", r.node.self.Name, p.Service)
	}
	r.node.loads.expect(time.Now(), p.Service, p.Shards)
	return best, nil
}

// mustHaveStandby reports whether shards are taken only into a group with a
// standby. Without one, the loss of this host would leave the shards without a
// holder until the horizon, so a host that joined a moment ago waits until it
// knows its peers. The last host of a service takes them in any case.
func (n *Node) mustHaveStandby(p move.PrepareRequest) (bool, error) {
	source, ok := n.routes.Group(p.Service, p.SourceGroup)
	if ok {
		_, ok = n.directory.Get(source.Holder.Name)
	}
	if !ok {
		return false, errkind.New(errkind.NotReady, "host %s does not know the host of group %s yet", n.self.Name, p.SourceGroup)
	}
	now := time.Now()
	for _, m := range n.directory.All() {
		if m.Service == p.Service && m.State == member.Active && !m.Host.SameProcess(n.self) && !n.directory.Suspected(now, m.Host.Name) {
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
