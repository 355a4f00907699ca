package e2e

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"burdockglade.dev/stores/standin"
)

// Guards against work that is committed or confirmed under a lease that expired
// while only the router was paused: its upstream keeps running with requests in
// flight.
func TestRouterPausedPastItsLease(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitSpread("orders", 40)
	// If placement moved the shards away, the paused host would have no work.
	c.disablePlacement()
	owners := c.awaitSpread("orders", 40)
	c.awaitStandbys(c.hosts[0])
	victim, entry := c.hosts[1], c.hosts[0]
	paths := ownedBy(owners, victim.name)
	wl := c.newWorkload("paused")
	c.upstreamFaults(victim, standin.UpstreamFaults{HoldWork: true})
	var callers sync.WaitGroup
	var units []*unit
	for i, path := range paths {
		u := wl.newUnit(keyedPost, path)
		units = append(units, u)
		// Half of the callers are connected to the paused router itself.
		h := [2]*host{entry, victim}[i%2]
		callers.Go(func() { wl.send(u, h, "6000") })
	}
	c.awaitRunning(victim, 2)
	victim.router.signal(syscall.SIGSTOP)
	for _, path := range paths {
		c.awaitOwnerChange(entry, path, victim.name)
	}
	c.upstreamFaults(victim, standin.UpstreamFaults{})
	victim.router.signal(syscall.SIGCONT)
	callers.Wait()
	// Each caller retries its work through another router until it gets the
	// outcome.
	for _, u := range units {
		eventually(t, "the outcome of "+u.workID(), func() bool {
			a := wl.send(u, c.hosts[2], "2000")
			return a.status == http.StatusOK || a.header.Get("Burdock-Outcome") == "unknown"
		})
	}
	for _, path := range paths {
		c.awaitServed(victim, path)
	}
	wl.check(false, false)
}

// Guards against a paused upstream that, when it resumes, commits requests from its
// socket buffers although their keys have another owner.
func TestUpstreamFrozenAndReturnedWithQueuedRequests(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	c.awaitStandbys(c.hosts[0])
	victim := c.hosts[1]
	paths := ownedBy(owners, victim.name)
	wl := c.newWorkload("frozen")
	l := wl.load(allPaths(owners), c.hosts, 8)
	victim.upstream.signal(syscall.SIGSTOP)
	for _, path := range paths {
		c.awaitOwnerChange(c.hosts[0], path, victim.name)
	}
	victim.upstream.signal(syscall.SIGCONT)
	// The resumed host must be able to own keys again.
	key := strings.TrimPrefix(paths[0], "/orders/")
	eventually(t, "a shard moves to the resumed host", func() bool {
		code, _, _ := c.operate(t, c.hosts[0], "move", "--service", "orders", "--key", key, "--target", victim.name)
		return code == 0
	})
	c.awaitServedByAll(paths[:1], c.hosts...)
	l.finish()
	wl.check(false, false)
}

// Guards against a restarted router that continues under the lease of its previous
// process while its upstream keeps running, and against work that this upstream
// runs twice.
func TestRouterRestartedWhileItsUpstreamLives(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	c.awaitStandbys(c.hosts[0])
	victim := c.hosts[1]
	paths := ownedBy(owners, victim.name)
	wl := c.newWorkload("restarted")
	for _, path := range paths {
		wl.run(keyedPost, path, c.hosts[0], "2000")
	}
	before := wl.units
	l := wl.load(allPaths(owners), c.hosts, 6)
	victim.router.kill()
	c.startRouter(victim)
	for _, path := range paths {
		c.awaitServedByAll([]string{path}, c.hosts...)
	}
	l.finish()
	// A retry of work done before the restart must get the stored response or the
	// outcome unknown.
	for _, u := range before {
		eventually(t, "the outcome of "+u.workID(), func() bool {
			a := wl.send(u, victim, "2000")
			return a.status == http.StatusOK || a.header.Get("Burdock-Outcome") == "unknown"
		})
	}
	wl.check(false, true)
}
