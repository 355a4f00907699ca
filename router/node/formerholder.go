package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

var evMemberRemoved = event.Define(1023, log.WarnLevel, "member row of a lost host removed",
	"this host took over a group of a host that cannot be reached any more",
	"find out why the host failed; its router writes the row again if it comes back")

// Times of the check of a host whose group was taken over.
const (
	lostCheckPause   = time.Second
	lostCheckTries   = 3
	lostCheckTimeout = 500 * time.Millisecond
)

// checkFormerHolder looks after the member row of the former holder when this
// host took a group over. A row of a lost host would keep the host among the
// possible standbys and targets.
func (n *Node) checkFormerHolder(r ownership.Group) {
	if !r.Holder.SameProcess(n.self) {
		return
	}
	before, ok := n.routes.Group(r.Service, r.ID)
	if !ok || before.Holder.SameProcess(n.self) || before.Generation >= r.Generation {
		return
	}
	m, ok := n.directory.Get(before.Holder.Name)
	if !ok || !m.Host.SameProcess(before.Holder) {
		return
	}
	go n.removeIfLost(m)
}

// removeIfLost removes the member row unless the host answers.
func (n *Node) removeIfLost(m member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	for range lostCheckTries {
		if n.reachable(ctx, m.Host) {
			return
		}
		n.directory.Suspect(time.Now(), m.Host.Name)
		sleepFor(ctx, lostCheckPause)
	}
	key := member.Key(m.Host.Name)
	_, err := n.store.Commit(ctx, table.Txn{
		ID:         uuid.NewString(),
		Conditions: []table.Condition{{Key: key, Version: m.Version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		// Another host was first, or the host registered anew.
		return
	}
	n.directory.Remove(m.Host.Name, m.Version)
	n.log.Log(evMemberRemoved, event.F("host", m.Host.Name))
}

// reachable reports whether the process answers on its control port.
func (n *Node) reachable(ctx context.Context, h ownership.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, lostCheckTimeout)
	defer cancel()
	err := n.client.CallFresh(ctx, h, methodNoteGet, noteQuery{}, &noteAnswer{})
	return err == nil || errkind.Is(err, errkind.NotReady)
}
