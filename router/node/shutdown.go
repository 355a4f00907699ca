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
		"the host is leaving and holds no shards any more", "none")
	evEvacuationFailed = event.Define(1041, log.ErrorLevel, "shards left at the stop",
		"the stop timeout passed before all shards had moved, for example during a store outage",
		"none; the standbys take the shards over, which takes up to 1 s")
	evRequestsCut = event.Define(1042, log.ErrorLevel, "requests cut at the stop",
		"requests in flight did not end within their deadlines", "look at the upstream's log")
	evRelinquishFailed = event.Define(1043, log.WarnLevel, "group not handed over",
		"the upstream is down and a group could not be given to its standby",
		"none if another attempt follows; otherwise check the table service")
)

// Times of a shutdown.
const (
	standbyHandoverTimeout = 5 * time.Second
	// finishMargin is added to the longest deadline when the listeners close.
	finishMargin = time.Second
	// quietTime without a request of another router ends the wait before the
	// listeners close; quietLimit bounds the wait.
	quietTime  = 500 * time.Millisecond
	quietLimit = 5 * time.Second

	relinquishPause    = 200 * time.Millisecond
	relinquishWindow   = 30 * time.Second
	emptyGroupPatience = 2 * time.Second
)

// shutdown moves everything off this host and ends its requests. The loops are
// still running meanwhile, so the host goes on serving what it still holds.
func (n *Node) shutdown(ctx context.Context) {
	n.log.Log(evStopping, event.F("host", n.self.Name))
	n.leaving.Store(true)
	n.registrar.poke()
	stopCtx, cancel := context.WithTimeout(ctx, n.s.Drain.StopTimeout)
	defer cancel()
	n.leaveStandbyRoles(stopCtx)
	n.evacuateAll(stopCtx)
	n.awaitQuietHop(stopCtx)
	finishCtx, cancelFinish := context.WithTimeout(ctx, n.longestRequest()+finishMargin)
	defer cancelFinish()
	if err := n.listeners.finishRequests(finishCtx); err != nil {
		n.log.Log(evRequestsCut, event.F("error", err.Error()))
	}
	removeCtx, cancelRemove := context.WithTimeout(ctx, registerTimeout)
	defer cancelRemove()
	n.registrar.remove(removeCtx)
	n.listeners.closeOthers()
}

// awaitQuietHop answers other routers until they have learned that this host
// owns nothing. A listener that closes while they still send cuts requests: an
// idle connection can carry the next request at the moment it is closed.
func (n *Node) awaitQuietHop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	for ctx.Err() == nil && time.Since(n.hop.LastRequest()) < quietTime {
		sleepFor(ctx, quietTime/4)
	}
}

// longestRequest returns the longest deadline that a caller may ask for.
func (n *Node) longestRequest() time.Duration {
	c, _ := n.follower.Current()
	longest := time.Duration(0)
	for _, s := range c.Services {
		longest = max(longest, s.MaxRequestTimeout)
	}
	return longest
}

// leaveStandbyRoles asks the holders for which this host is standby to choose
// another one, before this host stops answering their heartbeats.
func (n *Node) leaveStandbyRoles(ctx context.Context) {
	asked := map[string]bool{}
	for _, g := range n.manager.Standbys() {
		if asked[g.Holder.Name] {
			continue
		}
		asked[g.Holder.Name] = true
		callCtx, cancel := context.WithTimeout(ctx, standbyHandoverTimeout)
		// The holder finds a silent standby by itself when this call fails.
		_ = n.client.CallFresh(callCtx, g.Holder, methodStandbyLeaving,
			standbyLeaving{Host: n.self.Name, Incarnation: n.self.Incarnation}, &accepted{})
		cancel()
	}
}

// evacuateAll moves the shards of all services away.
func (n *Node) evacuateAll(ctx context.Context) {
	for _, service := range n.heldServices() {
		if !n.hasTarget(service) {
			// A service without another host has nowhere to go. Its rows stay
			// and the next host takes them over after the horizon.
			n.log.Log(evEvacuationFailed, event.F("service", service), event.F("error", "no other host serves the service"))
			continue
		}
		n.evacuate(ctx, service)
	}
	n.deleteEmptyGroups(ctx)
}

func (n *Node) hasTarget(service string) bool {
	for _, h := range n.placer.input(service).Hosts {
		if !h.Leaving {
			return true
		}
	}
	return false
}

func (n *Node) evacuate(ctx context.Context, service string) {
	definition, _ := n.service(service)
	n.placer.mu.Lock()
	defer n.placer.mu.Unlock()
	err := move.Evacuate(ctx, move.EvacuateOptions{
		Mover:  n.source,
		Policy: n.placer.policy(definition),
		Input: func() balance.Input {
			n.loads.follow(time.Now(), n.manager.Held())
			in := n.placer.input(service)
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

// setInFlight fills in the requests in flight of each shard. A busy shard counts
// with the longest deadline that a caller may ask for.
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

// deleteEmptyGroups removes the rows of groups that hold nothing.
func (n *Node) deleteEmptyGroups(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, emptyGroupPatience)
	defer cancel()
	for _, g := range n.manager.Held() {
		if len(g.Shards) == 0 {
			// A row that stays is taken over and does no harm.
			_ = n.manager.DeleteEmpty(ctx, g.Service, g.ID)
		}
	}
}

// evacuateUpstream moves the shards away because the upstream is leaving. The
// router goes on as an entry for callers.
func (n *Node) evacuateUpstream(s upstream.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), n.s.Drain.StopTimeout)
	defer cancel()
	service := s.Announcement.Service
	n.leaveStandbyRoles(ctx)
	if !n.hasTarget(service) {
		n.log.Log(evEvacuationFailed, event.F("service", service), event.F("error", "no other host serves the service"))
		return
	}
	n.evacuate(ctx, service)
	n.agent.Left()
}

// relinquishAll hands all groups to their standbys because the upstream takes
// no work, and leaves its standby roles. It goes on while the upstream stays
// down: a takeover that was under way can still bring a group to this host.
func (n *Node) relinquishAll() {
	if !n.relinquishing.CompareAndSwap(false, true) {
		return
	}
	defer n.relinquishing.Store(false)
	left := false
	for n.agent.Status().State == upstream.Down && !n.leaving.Load() {
		ctx, cancel := context.WithTimeout(context.Background(), relinquishWindow)
		n.relinquishHeld(ctx)
		if !left {
			n.leaveStandbyRoles(ctx)
			left = len(n.manager.Standbys()) == 0
		}
		sleepFor(ctx, relinquishPause)
		cancel()
	}
}

// relinquishHeld makes attempts until no group with shards can be handed over
// any more or the context ends.
func (n *Node) relinquishHeld(ctx context.Context) {
	if len(n.relinquishable()) == 0 {
		return
	}
	closures := n.closeAllShards()
	defer func() {
		for _, c := range closures {
			c.Reopen()
		}
	}()
	// Work that the upstream may still run ends with its grant.
	for _, c := range closures {
		_ = c.WaitDrained(ctx)
	}
	for ctx.Err() == nil && n.agent.Status().State == upstream.Down {
		left := 0
		for _, g := range n.relinquishable() {
			if err := n.manager.Relinquish(ctx, g.Service, g.ID); err != nil {
				left++
				n.log.Log(evRelinquishFailed, event.F("group", g.ID), event.F("error", err.Error()))
			}
		}
		if left == 0 {
			return
		}
		sleepFor(ctx, relinquishPause)
	}
}

// relinquishable returns the held groups that have shards and a standby.
func (n *Node) relinquishable() []ownership.Group {
	var groups []ownership.Group
	for _, g := range n.manager.Held() {
		if !g.Standby.IsZero() && len(g.Shards) > 0 {
			groups = append(groups, g)
		}
	}
	return groups
}

// closure is a set of closed shards of the gate.
type closure interface {
	WaitDrained(ctx context.Context) error
	Reopen()
}

func (n *Node) closeAllShards() []closure {
	byService := map[string][]keyspace.Shard{}
	for _, g := range n.manager.Held() {
		byService[g.Service] = append(byService[g.Service], g.Shards...)
	}
	var closures []closure
	for service, shards := range byService {
		if len(shards) > 0 {
			closures = append(closures, n.gate.CloseShards(service, shards))
		}
	}
	return closures
}

func sleepFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
