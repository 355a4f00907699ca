package node

import (
	"context"
	"sync"
	"time"

	"burdockglade.dev/platform/table"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/ownership"
)

// installs holds the groups whose journal is in place at the gate. The gate
// serves a group only then: a request served before could run work a second
// time that the lost holder already ran.
type installs struct {
	mu     sync.RWMutex
	groups map[string]installed
}

type installed struct {
	generation uint64
	standby    ownership.Host
}

func newInstalls() *installs {
	return &installs{groups: map[string]installed{}}
}

func (i *installs) has(service, id string) bool {
	i.mu.RLock()
	defer i.mu.RUnlock()
	_, ok := i.groups[ownership.GroupKey(service, id)]
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
func (n *Node) learnGroups(records []ownership.Group) {
	for _, r := range records {
		n.install(r)
	}
	n.manager.Adopt(records...)
	n.routes.Merge(records...)
}

// install brings the gate's journal in line with a record.
func (n *Node) install(r ownership.Group) {
	key := r.Key()
	n.installs.mu.Lock()
	defer n.installs.mu.Unlock()
	have, held := n.installs.groups[key]
	if held && have.generation > r.Generation {
		return
	}
	if !r.Holder.Same(n.self) {
		n.uninstall(r, held)
		return
	}
	ref := gate.GroupRef{Service: r.Service, GroupID: r.ID, Generation: r.Generation}
	if !held {
		n.replica.Promote(n.gate, ref)
	}
	if !held || have.generation != r.Generation || !have.standby.Same(r.Standby) {
		n.gate.SetStandby(ref, r.Standby)
		n.introduceStandby(r)
	}
	n.installs.groups[key] = installed{generation: r.Generation, standby: r.Standby}
}

// uninstall drops what belongs to a group that another host holds.
func (n *Node) uninstall(r ownership.Group, held bool) {
	if held {
		delete(n.installs.groups, r.Key())
		n.gate.DropGroup(r.Service, r.ID)
	}
	if !r.Standby.Same(n.self) {
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
			n.directory.Suspect(time.Now(), r.Standby.Name)
		}
	}()
}
