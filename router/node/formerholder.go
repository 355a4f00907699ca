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
	"this host took over a group of a host that is no longer reachable",
	"find out why the host failed; its router writes the row again when it returns")

// Parameters of the check of a host whose group was taken over.
const (
	lostCheckInterval = time.Second
	lostCheckAttempts = 3
	lostCheckTimeout  = 500 * time.Millisecond
)

// checkFormerHolder checks whether the former holder of a group that this host took
// over is still reachable, and removes its member row if not. With its row, a lost
// host would remain a candidate for standbys and targets of moves.
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
	go n.removeIfUnreachable(m)
}

// removeIfUnreachable removes the member row of a host that responds to none of
// lostCheckAttempts calls.
func (n *Node) removeIfUnreachable(m member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	for range lostCheckAttempts {
		if n.reachable(ctx, m.Host) {
			return
		}
		n.directory.MarkSuspect(time.Now(), m.Host.Name)
		sleep(ctx, lostCheckInterval)
	}
	key := member.Key(m.Host.Name)
	_, err := n.store.Commit(ctx, table.Txn{
		ID:         uuid.NewString(),
		Conditions: []table.Condition{{Key: key, Version: m.Version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		// Another host removed the row, the host has registered again, or the
		// store is unavailable.
		return
	}
	n.directory.Remove(m.Host.Name, m.Version)
	n.log.Log(evMemberRemoved, event.F("host", m.Host.Name))
}

// reachable reports whether the process responds on its control port.
func (n *Node) reachable(ctx context.Context, h ownership.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, lostCheckTimeout)
	defer cancel()
	err := n.client.CallFresh(ctx, h, methodNoteGet, noteRequest{}, &noteResponse{})
	return err == nil || errkind.Is(err, errkind.NotReady)
}
