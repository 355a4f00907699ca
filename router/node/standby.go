package node

import (
	"context"
	"time"
)

// standbyCheckInterval is how often the places of the standbys are compared
// with those of the other hosts. The comparison reads memory only.
const standbyCheckInterval = 5 * time.Second

// keepStandbysApart replaces standbys that share the zone of this host while a
// host in another zone is up, until the context ends. Without it the loss of a
// zone could take holder and standby of a group together.
func (n *Node) keepStandbysApart(ctx context.Context) {
	ticker := time.NewTicker(standbyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.leaving.Load() && serving(n.agent.Status()) {
			n.replacePoorStandbys(ctx)
		}
	}
}

func (n *Node) replacePoorStandbys(ctx context.Context) {
	self := n.member()
	for _, g := range n.manager.HeldGroups() {
		if g.Standby.IsZero() {
			continue
		}
		better, ok := n.directory.BetterStandby(time.Now(), self, g.Service, g.Standby.Name)
		if !ok {
			continue
		}
		// The member row of a lost host stays for a while. A standby that
		// lives must not be given up for it.
		if !n.answers(ctx, better.Host) {
			n.directory.MarkSuspect(time.Now(), better.Host.Name)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, replaceStandbyTimeout)
		// A replacement that did not end in time goes on; the next check looks
		// at its result.
		_ = n.manager.ReplaceStandby(callCtx, g.Standby.Name)
		cancel()
		// All groups with this standby were replaced, so the list is old.
		return
	}
}
