package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/move"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/upstream"
)

var (
	evEvacuated = event.Define(1040, log.InfoLevel, "shards moved away",
		"the host is leaving and no longer holds shards", "none")
	evEvacuationFailed = event.Define(1041, log.ErrorLevel, "shards left at shutdown",
		"the stop timeout passed before all shards had moved, for example during a store outage",
		"none; the standbys take over the shards, which takes up to 1 s")
	evRequestsAborted = event.Define(1042, log.ErrorLevel, "requests aborted at shutdown",
		"requests in flight did not end within their deadlines", "check the upstream's log")
	evRelinquishFailed = event.Define(1043, log.WarnLevel, "group not handed over",
		"the upstream is down and a group could not be handed over to its standby",
		"none if another attempt follows; otherwise check the table service")
)

// Timeouts and delays of a shutdown.
const (
	standbyHandoverTimeout = 5 * time.Second
	// requestsMargin is added to the longest deadline of a request when the
	// listeners close.
	requestsMargin = time.Second
	// The listeners close after hopQuietPeriod without a request from another
	// router, or after hopQuietTimeout.
	hopQuietPeriod  = 500 * time.Millisecond
	hopQuietTimeout = 5 * time.Second

	relinquishRetryDelay = 200 * time.Millisecond
	relinquishTimeout    = 30 * time.Second
	deleteEmptyTimeout   = 2 * time.Second
)

// shutdown moves all shards off this host and waits for its requests to end. The
// background loops still run, so the host keeps serving the shards that it holds.
func (n *Node) shutdown(ctx context.Context) {
	n.log.Log(evStopping, event.F("host", n.self.Name))
	n.leaving.Store(true)
	n.registrar.wakeUp()
	stopCtx, cancel := context.WithTimeout(ctx, n.settings.Drain.StopTimeout)
	defer cancel()
	n.leaveStandbyRoles(stopCtx)
	n.evacuateAll(stopCtx)
	n.awaitQuietHop(stopCtx)
	requestsCtx, cancelRequests := context.WithTimeout(ctx, n.longestRequestTimeout()+requestsMargin)
	defer cancelRequests()
	if err := n.listeners.drainRequests(requestsCtx); err != nil {
		n.log.Log(evRequestsAborted, event.F("error", err.Error()))
	}
	removeCtx, cancelRemove := context.WithTimeout(ctx, registerTimeout)
	defer cancelRemove()
	n.registrar.remove(removeCtx)
	n.listeners.closeAll()
}

// awaitQuietHop waits until other routers have learned that this host owns nothing
// and send it no more requests. Closing the listener earlier would abort requests,
// because a router can send its next request on an idle connection just as it is
// closed.
func (n *Node) awaitQuietHop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hopQuietTimeout)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.hop.LastRequest()) < hopQuietPeriod {
		sleep(ctx, hopQuietPeriod/4)
	}
}

// longestRequestTimeout returns the longest request timeout that any service allows.
func (n *Node) longestRequestTimeout() time.Duration {
	c, _ := n.follower.Current()
	longest := time.Duration(0)
	for _, s := range c.Services {
		longest = max(longest, s.MaxRequestTimeout)
	}
	return longest
}

// leaveStandbyRoles asks the holders for which this host is standby to choose
// another one, before this host stops acknowledging their heartbeats.
func (n *Node) leaveStandbyRoles(ctx context.Context) {
	notified := map[string]bool{}
	for _, g := range n.manager.StandbyGroups() {
		if notified[g.Holder.Name] {
			continue
		}
		notified[g.Holder.Name] = true
		callCtx, cancel := context.WithTimeout(ctx, standbyHandoverTimeout)
		// If this call fails, the holder detects the missing acks itself.
		_ = n.client.CallFresh(callCtx, g.Holder, methodStandbyLeaving,
			standbyLeaving{Host: n.self.Name, Incarnation: n.self.Incarnation}, &emptyResponse{})
		cancel()
	}
}

// evacuateAll moves the shards of all services to other hosts.
func (n *Node) evacuateAll(ctx context.Context) {
	for _, service := range n.heldServices() {
		if !n.hasTarget(service) {
			// No other host serves the service. Its rows stay, and the next host
			// takes them over after the renewal deadline.
			n.log.Log(evEvacuationFailed, event.F("service", service), event.F("error", "no other host serves the service"))
			continue
		}
		n.evacuate(ctx, service)
	}
	n.deleteEmptyGroups(ctx)
}

// hasTarget reports whether another host can receive shards of the service.
func (n *Node) hasTarget(service string) bool {
	for _, h := range n.placer.policyInput(service).Hosts {
		if !h.Leaving {
			return true
		}
	}
	return false
}

// evacuate moves the shards of one service to other hosts.
func (n *Node) evacuate(ctx context.Context, service string) {
	definition, _ := n.service(service)
	n.placer.mu.Lock()
	defer n.placer.mu.Unlock()
	err := move.Evacuate(ctx, move.EvacuateOptions{
		Mover:  n.source,
		Policy: n.placer.policy(definition),
		Input: func() balance.Input {
			n.loads.update(time.Now(), n.manager.HeldGroups())
			in := n.placer.policyInput(service)
			n.setInFlight(service, in.Shards, definition.MaxRequestTimeout)
			return in
		},
		Group: func(id string) (ownership.Group, bool) {
			return heldGroup(n.manager, service, id)
		},
		Random: rand.Float64,
		Log:    n.log,
	})
	if err != nil {
		n.log.Log(evEvacuationFailed, event.F("service", service), event.F("error", err.Error()))
		return
	}
	n.log.Log(evEvacuated, event.F("service", service))
}

// setInFlight sets the number of requests in flight of each shard. The remaining
// time of a busy shard is set to longest, the longest timeout that the service
// allows.
func (n *Node) setInFlight(service string, loads []balance.ShardLoad, longest time.Duration) {
	shards := make([]keyspace.Shard, len(loads))
	for i, l := range loads {
		shards[i] = l.Shard
	}
	for i, count := range n.gate.InFlightByShard(service, shards) {
		loads[i].InFlight = count
		if count > 0 {
			loads[i].LongestRemaining = longest
		}
	}
}

// deleteEmptyGroups deletes the rows of groups without shards.
func (n *Node) deleteEmptyGroups(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deleteEmptyTimeout)
	defer cancel()
	for _, g := range n.manager.HeldGroups() {
		if len(g.Shards) == 0 {
			// If this fails, another host takes over the empty group, which is
			// harmless.
			_ = n.manager.DeleteEmpty(ctx, g.Service, g.ID)
		}
	}
}

// evacuateUpstream moves the shards to other hosts because the upstream is leaving.
// The router keeps serving callers as an entry.
func (n *Node) evacuateUpstream(s upstream.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Drain.StopTimeout)
	defer cancel()
	service := s.Announcement.Service
	n.leaveStandbyRoles(ctx)
	if !n.hasTarget(service) {
		n.log.Log(evEvacuationFailed, event.F("service", service), event.F("error", "no other host serves the service"))
		return
	}
	n.evacuate(ctx, service)
	n.agent.Evacuated()
}

// relinquishAll hands over all groups to their standbys because the upstream accepts
// no requests, and leaves the standby roles of this host. It continues while the
// upstream is down, because a takeover in progress can still bring a group to this
// host.
func (n *Node) relinquishAll() {
	if !n.relinquishing.CompareAndSwap(false, true) {
		return
	}
	defer n.relinquishing.Store(false)
	standbyRolesLeft := false
	for n.agent.Status().State == upstream.Down && !n.leaving.Load() {
		ctx, cancel := context.WithTimeout(context.Background(), relinquishTimeout)
		n.relinquishHeld(ctx)
		if !standbyRolesLeft {
			n.leaveStandbyRoles(ctx)
			standbyRolesLeft = len(n.manager.StandbyGroups()) == 0
		}
		sleep(ctx, relinquishRetryDelay)
		cancel()
	}
}

// relinquishHeld hands over the groups that have shards and a standby. It retries
// until all are handed over, the upstream is up again or ctx is done.
func (n *Node) relinquishHeld(ctx context.Context) {
	if len(n.relinquishable()) == 0 {
		return
	}
	closed := n.closeAllShards()
	defer func() {
		for _, c := range closed {
			c.Reopen()
		}
	}()
	// Work that the upstream may still run ends when its grant expires.
	for _, c := range closed {
		_ = c.WaitDrained(ctx)
	}
	for ctx.Err() == nil && n.agent.Status().State == upstream.Down {
		failed := 0
		for _, g := range n.relinquishable() {
			if err := n.manager.Relinquish(ctx, g.Service, g.ID); err != nil {
				failed++
				n.log.Log(evRelinquishFailed, event.F("group", g.ID), event.F("error", err.Error()))
			}
		}
		if failed == 0 {
			return
		}
		sleep(ctx, relinquishRetryDelay)
	}
}

// relinquishable returns the held groups that have shards and a standby.
func (n *Node) relinquishable() []ownership.Group {
	var groups []ownership.Group
	for _, g := range n.manager.HeldGroups() {
		if !g.Standby.IsZero() && len(g.Shards) > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// closedShards is a set of shards that are closed at the gate.
type closedShards interface {
	WaitDrained(ctx context.Context) error
	Reopen()
}

// closeAllShards closes the shards of all held groups at the gate.
func (n *Node) closeAllShards() []closedShards {
	byService := map[string][]keyspace.Shard{}
	for _, g := range n.manager.HeldGroups() {
		byService[g.Service] = append(byService[g.Service], g.Shards...)
	}
	var closed []closedShards
	for service, shards := range byService {
		if len(shards) > 0 {
			closed = append(closed, n.gate.CloseShards(service, shards))
		}
	}
	return closed
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
