package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"burdockglade.dev/router/admin"
)

// Guards against keys that stay unserved after holder and standby failed together
// and the operator declared them lost, and against keyed work that runs again
// although the lost hosts may have run it.
func TestHolderAndStandbyLostTogether(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	for i := range 4 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%2+1), "orders")
	}
	owners := c.awaitSpread("orders", 60)
	entry := c.hosts[0]
	c.awaitStandbys(entry)
	var group admin.Group
	eventually(t, "a group of two other hosts", func() bool {
		for _, g := range c.groups(entry) {
			if len(g.Shards) > 0 && g.Holder != entry.name && g.Standby != entry.name && len(pathsIn(owners, g)) > 0 {
				group = g
				return true
			}
		}
		return false
	})
	paths := pathsIn(owners, group)
	wl := c.newWorkload("both")
	work := wl.newUnit(keyedPost, paths[0])
	if a := wl.send(work, entry, "2000"); a.status != http.StatusOK {
		t.Fatalf("work before the loss: status %d, %s", a.status, a.raw)
	}
	dead := map[string]bool{group.Holder: true, group.Standby: true}
	// Both routers are signalled before the test waits for the exit of either.
	// Otherwise the standby could take over and replicate its journal in between.
	for _, h := range c.hosts {
		if dead[h.name] {
			h.router.signal(syscall.SIGKILL)
		}
	}
	for _, h := range c.hosts {
		if dead[h.name] {
			h.kill()
		}
	}
	for _, g := range c.groups(entry) {
		if !dead[g.Holder] || !dead[g.Standby] {
			continue
		}
		code, out, errOut := c.operate(t, entry, "takeover", g.Service, g.ID, "--declare-lost")
		if code != 0 || !strings.Contains(out, g.ID) {
			t.Errorf("takeover of %s: exit code %d, %s%s", g.ID, code, out, errOut)
		}
	}
	for path := range owners {
		c.awaitServed(entry, path)
	}
	// The lost hosts may have run any keyed work.
	repeated := wl.send(work, entry, "2000")
	unseen := wl.run(keyedPost, paths[0], entry, "2000")
	for what, a := range map[string]response{"repeated": repeated, "unseen": unseen} {
		if a.status == http.StatusOK || a.header.Get("Burdock-Outcome") != "unknown" {
			t.Errorf("%s work: status %d, outcome %q, %s", what, a.status, a.header.Get("Burdock-Outcome"), a.raw)
		}
	}
	if a := wl.run(plainPost, paths[0], entry, "2000"); a.status != http.StatusOK {
		t.Errorf("work without a key: status %d, %s", a.status, a.raw)
	}
	wl.check(true, false)
}

// pathsIn returns the paths whose keys belong to shards of the group.
func pathsIn(owners map[string]string, g admin.Group) []string {
	var paths []string
	for path := range owners {
		for _, s := range g.Shards {
			if shardOf(path).Overlaps(s) {
				paths = append(paths, path)
			}
		}
	}
	return paths
}

// Guards against planned moves that lose, repeat or misroute requests while all
// routers serve callers.
func TestPlannedMovesUnderLoadLoseNoRequest(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	c.awaitStandbys(c.hosts[0])
	wl := c.newWorkload("moves")
	paths := allPaths(owners)
	l := wl.load(paths, c.hosts, 9)
	var operators sync.WaitGroup
	for i, path := range paths[:9] {
		operators.Go(func() {
			key := strings.TrimPrefix(path, "/orders/")
			for n := range 3 {
				target := c.hosts[(i+n)%len(c.hosts)].name
				// A move conflicts with another move of the same hosts.
				eventually(t, path+" moved to "+target, func() bool {
					owner := c.awaitServed(c.hosts[n], path)
					if owner == target {
						return true
					}
					code, _, _ := c.operate(t, c.hosts[n], "move", "--service", "orders", "--key", key, "--target", target)
					return code == 0
				})
			}
		})
	}
	operators.Wait()
	l.finish()
	sum := wl.check(false, false)
	if sum.notRun+sum.unknown+sum.broken > 0 {
		t.Errorf("%d of %d requests got no successful response", sum.notRun+sum.unknown+sum.broken, len(wl.units))
	}
	for _, u := range wl.units {
		if a := u.attempts[0]; a.response.status != http.StatusOK {
			t.Errorf("%s %s: status %d, %s", a.method, a.path, a.response.status, a.response.raw)
		}
	}
}
