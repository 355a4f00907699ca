package node

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

var evJournalNotInstalled = event.Define(1031, log.ErrorLevel, "journal not installed",
	"this host took over a group and has no room for its idempotency journal; the group is not served",
	"drain the host or wait until older idempotency keys expire")

// servingGroups is the set of held groups whose journal is installed at the gate.
// Other groups are not served, because a request could repeat work that the
// former holder has already done.
type servingGroups struct {
	// serving has the keys of the groups that may be served. Requests read it
	// without waiting for mu, which is held while records are applied.
	serving sync.Map

	mu     sync.Mutex
	groups map[string]servingGroup
}

// servingGroup is the state for which a held group was installed.
type servingGroup struct {
	promoted   bool // whether the journal is at the gate
	generation uint64
	standby    ownership.Host
}

func newServingGroups() *servingGroups {
	return &servingGroups{groups: map[string]servingGroup{}}
}

func (g *servingGroups) contains(service, id string) bool {
	_, ok := g.serving.Load(ownership.GroupKey(service, id))
	return ok
}

// gossipGroup applies a record that this host wrote or learned and distributes it
// by gossip.
func (n *Node) gossipGroup(record ownership.Group) {
	n.gossip.LearnGroup(record)
}

// learnRecords applies records from responses of other routers.
func (n *Node) learnRecords(records ...ownership.Group) {
	for _, r := range records {
		n.gossip.LearnGroup(r)
	}
}

// learnGroups applies records that are newer than the known ones to the gate, the
// lease manager and the route table.
//
// The order matters. The journal of a group must be installed before its first
// permit is used. The manager must know a new standby before the journal is copied
// to it, so that requests write the intents that the copy misses to the new standby
// themselves.
func (n *Node) learnGroups(records []ownership.Group) {
	n.servingGroups.mu.Lock()
	defer n.servingGroups.mu.Unlock()
	for _, r := range records {
		n.promote(r)
	}
	n.manager.Adopt(records...)
	for _, r := range records {
		n.checkFormerHolder(r)
		n.install(r)
	}
	n.routes.Merge(records...)
}

// promote moves the standby's copy of a journal to the gate if this host became
// the holder of the group.
func (n *Node) promote(r ownership.Group) {
	current, held := n.servingGroups.groups[r.Key()]
	if held || !r.Holder.SameProcess(n.self) {
		return
	}
	ref := gate.GroupRef{Service: r.Service, GroupID: r.ID, Generation: r.Generation}
	if err := n.replica.Promote(n.gate, ref); err != nil {
		// Without its journal the group must not be served. The next record or
		// scan retries.
		n.log.Log(evJournalNotInstalled, event.F("group", r.ID), event.F("error", err.Error()))
		return
	}
	current.promoted = true
	n.servingGroups.groups[r.Key()] = current
}

// install lets the gate serve a group that this host holds, or removes a group
// that it no longer holds.
func (n *Node) install(r ownership.Group) {
	current, held := n.servingGroups.groups[r.Key()]
	if held && current.generation > r.Generation {
		return
	}
	if !r.Holder.SameProcess(n.self) {
		n.uninstall(r, held)
		return
	}
	if !current.promoted {
		return
	}
	n.gate.SetGroup(r)
	if current.generation != r.Generation || !current.standby.SameProcess(r.Standby) {
		n.notifyStandby(r)
	}
	n.servingGroups.serving.Store(r.Key(), struct{}{})
	n.servingGroups.groups[r.Key()] = servingGroup{promoted: true, generation: r.Generation, standby: r.Standby}
}

// uninstall removes the state of a group that another host holds.
func (n *Node) uninstall(r ownership.Group, held bool) {
	if held {
		n.servingGroups.serving.Delete(r.Key())
		delete(n.servingGroups.groups, r.Key())
		n.gate.DropGroup(r.Service, r.ID)
		// This may have been the last group of this host.
		n.registrar.wakeUp()
	}
	if !r.Standby.SameProcess(n.self) {
		n.replica.Drop(r.Service, r.ID)
	}
}

// notifyStandbyTimeout limits the call that sends a new standby its record.
const notifyStandbyTimeout = 500 * time.Millisecond

// notifyStandby immediately sends the record to the new standby, which must know
// the holder's address before it can acknowledge heartbeats.
func (n *Node) notifyStandby(r ownership.Group) {
	if r.Standby.IsZero() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyStandbyTimeout)
		defer cancel()
		value, err := ownership.EncodeGroup(r)
		if err != nil {
			return
		}
		row := table.Row{Key: r.Key(), Version: r.Version, WriteID: r.WriteID, Value: value}
		err = n.client.Call(ctx, r.Standby, member.MethodRecords, member.Records{Rows: []table.Row{row}}, &struct{}{})
		if errkind.Is(err, errkind.PeerUnreachable) {
			n.directory.MarkSuspect(time.Now(), r.Standby.Name)
		}
	}()
}
