package node

import (
	"context"
	"time"
)

// standbyCheckInterval is how often the zones of the standbys are compared with
// those of other hosts. The comparison only reads memory.
const standbyCheckInterval = 5 * time.Second

// keepStandbysInOtherZones replaces standbys in the zone of this host if a host in
// another zone is up, until ctx is done. Otherwise the loss of a zone could take
// down both the holder and the standby of a group.
func (n *Node) keepStandbysInOtherZones(ctx context.Context) {
	ticker := time.NewTicker(standbyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.leaving.Load() && serving(n.agent.Status()) {
			n.replaceSuboptimalStandby(ctx)
		}
	}
}

// replaceSuboptimalStandby replaces at most one standby host, in all its groups, by
// a better one that is up.
func (n *Node) replaceSuboptimalStandby(ctx context.Context) {
	self := n.member()
	for _, g := range n.manager.HeldGroups() {
		if g.Standby.IsZero() {
			continue
		}
		better, ok := n.directory.BetterStandby(time.Now(), self, g.Service, g.Standby.Name)
		if !ok {
			continue
		}
		// The member row of a lost host stays for a while. A live standby must
		// not be replaced by a lost host.
		if !n.responds(ctx, better.Host) {
			n.directory.MarkSuspect(time.Now(), better.Host.Name)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, replaceStandbyTimeout)
		// A replacement that does not finish in time continues; the next check
		// sees its result.
		_ = n.manager.ReplaceStandby(callCtx, g.Standby.Name)
		cancel()
		// The standby was replaced in all its groups, so the list is outdated.
		return
	}
}
