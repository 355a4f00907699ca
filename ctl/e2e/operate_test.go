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

// Guards against keys that stay lost after holder and standby failed together
// and the operator declared them lost, and against keyed work that runs again
// although the lost hosts may have run it.
func TestHolderAndStandbyLostTogether(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	for i := range 4 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%2+1), "orders")
	}
	owners := c.spread("orders", 60)
	entry := c.hosts[0]
	c.settled(entry)
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
	tr := c.trial("both")
	work := tr.newUnit(keyedPost, paths[0])
	if a := tr.send(work, entry, "2000"); a.status != http.StatusOK {
		t.Fatalf("work before the loss: status %d, %s", a.status, a.raw)
	}
	dead := map[string]bool{group.Holder: true, group.Standby: true}
	// Both routers get the signal before the test waits for the end of either:
	// otherwise the standby could take over and hand on the journal in between.
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
		c.served(entry, path)
	}
	// The lost hosts may have run any keyed work.
	repeated := tr.send(work, entry, "2000")
	unseen := tr.run(keyedPost, paths[0], entry, "2000")
	for what, a := range map[string]answer{"repeated": repeated, "unseen": unseen} {
		if a.status == http.StatusOK || a.header.Get("Burdock-Outcome") != "unknown" {
			t.Errorf("%s work: status %d, outcome %q, %s", what, a.status, a.header.Get("Burdock-Outcome"), a.raw)
		}
	}
	if a := tr.run(plainPost, paths[0], entry, "2000"); a.status != http.StatusOK {
		t.Errorf("work without a key: status %d, %s", a.status, a.raw)
	}
	tr.judge(true, false)
}

// pathsIn returns the paths whose keys lie in a group.
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

// Guards against a planned move that loses, repeats or misdirects a request
// while all routers serve callers.
func TestPlannedMovesUnderLoadLoseNoRequest(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.spread("orders", 40)
	c.settled(c.hosts[0])
	tr := c.trial("moves")
	paths := allPaths(owners)
	l := tr.load(paths, c.hosts, 9)
	var operators sync.WaitGroup
	for i, path := range paths[:9] {
		operators.Go(func() {
			key := strings.TrimPrefix(path, "/orders/")
			for n := range 3 {
				target := c.hosts[(i+n)%len(c.hosts)].name
				// A move conflicts with another move of the same hosts.
				eventually(t, path+" moved to "+target, func() bool {
					owner := c.served(c.hosts[n], path)
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
	l.end()
	sum := tr.judge(false, false)
	if sum.notRun+sum.unknown+sum.broken > 0 {
		t.Errorf("%d of %d requests were not answered", sum.notRun+sum.unknown+sum.broken, len(tr.units))
	}
	for _, u := range tr.units {
		if a := u.attempts[0]; a.answer.status != http.StatusOK {
			t.Errorf("%s %s: status %d, %s", a.method, a.path, a.answer.status, a.answer.raw)
		}
	}
}
