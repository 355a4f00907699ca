package e2e

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"burdockglade.dev/stores/standin"
)

// Guards against work that is committed, or answered as done, under a lease
// that lapsed while only the router was paused: its upstream lives on with
// requests in flight.
func TestRouterPausedPastItsLease(t *testing.T) {
	c := threeHosts(t, "orders")
	c.spread("orders", 40)
	// A shard that moved away meanwhile would leave the paused host without work.
	c.pin()
	owners := c.spread("orders", 40)
	c.settled(c.hosts[0])
	victim, entry := c.hosts[1], c.hosts[0]
	paths := ownedBy(owners, victim.name)
	tr := c.trial("paused")
	c.upstreamFaults(victim, standin.UpstreamFaults{HoldWork: true})
	var callers sync.WaitGroup
	var units []*unit
	for i, path := range paths {
		u := tr.newUnit(keyedPost, path)
		units = append(units, u)
		// Half of the callers are connected to the paused router itself.
		h := [2]*host{entry, victim}[i%2]
		callers.Go(func() { tr.send(u, h, "6000") })
	}
	c.running(victim, 2)
	victim.router.signal(syscall.SIGSTOP)
	for _, path := range paths {
		c.leaves(entry, path, victim.name)
	}
	c.upstreamFaults(victim, standin.UpstreamFaults{})
	victim.router.signal(syscall.SIGCONT)
	callers.Wait()
	// Each caller repeats its work through another router until it is told the
	// outcome.
	for _, u := range units {
		eventually(t, "the outcome of "+u.workID(), func() bool {
			a := tr.send(u, c.hosts[2], "2000")
			return a.status == http.StatusOK || a.header.Get("Burdock-Outcome") == "unknown"
		})
	}
	for _, path := range paths {
		c.served(victim, path)
	}
	tr.judge(false, false)
}

// Guards against work that a frozen upstream finds in its socket when it
// returns and commits although its keys have another owner.
func TestUpstreamFrozenAndReturnedWithQueuedRequests(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.spread("orders", 40)
	c.settled(c.hosts[0])
	victim := c.hosts[1]
	paths := ownedBy(owners, victim.name)
	tr := c.trial("frozen")
	l := tr.load(allPaths(owners), c.hosts, 8)
	victim.upstream.signal(syscall.SIGSTOP)
	for _, path := range paths {
		c.leaves(c.hosts[0], path, victim.name)
	}
	victim.upstream.signal(syscall.SIGCONT)
	// The returned host must be able to own keys again.
	key := strings.TrimPrefix(paths[0], "/orders/")
	eventually(t, "a shard moves to the returned host", func() bool {
		code, _, _ := c.operate(t, c.hosts[0], "move", "--service", "orders", "--key", key, "--target", victim.name)
		return code == 0
	})
	c.servedEverywhere(paths[:1], c.hosts...)
	l.end()
	tr.judge(false, false)
}

// Guards against a restarted router that goes on under the lease of its former
// process while the same upstream lives on, and against work that this upstream
// runs twice.
func TestRouterRestartedWhileItsUpstreamLives(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.spread("orders", 40)
	c.settled(c.hosts[0])
	victim := c.hosts[1]
	paths := ownedBy(owners, victim.name)
	tr := c.trial("restarted")
	for _, path := range paths {
		tr.run(keyedPost, path, c.hosts[0], "2000")
	}
	before := tr.units
	l := tr.load(allPaths(owners), c.hosts, 6)
	victim.router.kill()
	c.startRouter(victim)
	for _, path := range paths {
		c.servedEverywhere([]string{path}, c.hosts...)
	}
	l.end()
	// The work done before the restart must be remembered or refused.
	for _, u := range before {
		eventually(t, "the outcome of "+u.workID(), func() bool {
			a := tr.send(u, victim, "2000")
			return a.status == http.StatusOK || a.header.Get("Burdock-Outcome") == "unknown"
		})
	}
	tr.judge(false, true)
}
