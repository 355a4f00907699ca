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
	"this host took a group over and has no room for its idempotency journal; the group is not served",
	"drain the host or wait until older idempotency keys expire")

// installs holds the groups whose journal is in place at the gate. The gate
// serves a group only then: a request served before could run work a second
// time that the lost holder already ran.
type installs struct {
	// serving has the keys of the groups that may be served. Requests read it
	// without waiting for mu, which is held while records are taken in.
	serving sync.Map

	mu     sync.Mutex
	groups map[string]installed
}

type installed struct {
	promoted   bool
	generation uint64
	standby    ownership.Host
}

func newInstalls() *installs {
	return &installs{groups: map[string]installed{}}
}

func (i *installs) has(service, id string) bool {
	_, ok := i.serving.Load(ownership.GroupKey(service, id))
	return ok
}

// gossipGroup takes in a record that this host wrote or learned and spreads it.
func (n *Node) gossipGroup(record ownership.Group) {
	n.gossip.LearnGroup(record)
}

// learnRecords takes in records that came with answers of other routers.
func (n *Node) learnRecords(records ...ownership.Group) {
	for _, r := range records {
		n.gossip.LearnGroup(r)
	}
}

// learnGroups brings records that are newer than the known ones to the gate,
// to the lease manager and to the route table.
//
// The order matters. The journal of a group must be in place before the first
// permit is used, and the manager must know a new standby before the copy of
// the journal to it begins: intents that the copy misses are then written to
// the new standby by their own requests.
func (n *Node) learnGroups(records []ownership.Group) {
	n.installs.mu.Lock()
	defer n.installs.mu.Unlock()
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

// promote moves the copy of a journal to the gate when this host became the
// holder of the group.
func (n *Node) promote(r ownership.Group) {
	have, held := n.installs.groups[r.Key()]
	if held || !r.Holder.SameProcess(n.self) {
		return
	}
	ref := gate.GroupRef{Service: r.Service, GroupID: r.ID, Generation: r.Generation}
	if err := n.replica.Promote(n.gate, ref); err != nil {
		// Without its journal the group must not be served. The next record or
		// scan tries again.
		n.log.Log(evJournalNotInstalled, event.F("group", r.ID), event.F("error", err.Error()))
		return
	}
	have.promoted = true
	n.installs.groups[r.Key()] = have
}

// install lets the gate serve a group that this host holds, or drops a group
// that it no longer holds.
func (n *Node) install(r ownership.Group) {
	have, held := n.installs.groups[r.Key()]
	if held && have.generation > r.Generation {
		return
	}
	if !r.Holder.SameProcess(n.self) {
		n.uninstall(r, held)
		return
	}
	if !have.promoted {
		return
	}
	n.gate.SetGroup(r)
	if have.generation != r.Generation || !have.standby.SameProcess(r.Standby) {
		n.introduceStandby(r)
	}
	n.installs.serving.Store(r.Key(), struct{}{})
	n.installs.groups[r.Key()] = installed{promoted: true, generation: r.Generation, standby: r.Standby}
}

// uninstall drops what belongs to a group that another host holds.
func (n *Node) uninstall(r ownership.Group, held bool) {
	if held {
		n.installs.serving.Delete(r.Key())
		delete(n.installs.groups, r.Key())
		n.gate.DropGroup(r.Service, r.ID)
		// It may have been the last group of this host.
		n.registrar.poke()
	}
	if !r.Standby.SameProcess(n.self) {
		n.replica.Drop(r.Service, r.ID)
	}
}

// introduceTimeout bounds the message that tells a standby of its role.
const introduceTimeout = 500 * time.Millisecond

// introduceStandby sends the record to the new standby at once: it must know
// the holder's address before it can answer heartbeats.
func (n *Node) introduceStandby(r ownership.Group) {
	if r.Standby.IsZero() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), introduceTimeout)
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
