package e2e

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"burdockglade.dev/stores/standin"
)

// Guards against operations that fail, lose requests or leave two owners because
// the table service is slow: a publication, a planned move, a drain that two
// operators request at once, and a takeover.
func TestSlowStore(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	c.disablePlacement()
	entry, lost, drained := c.hosts[0], c.hosts[1], c.hosts[2]
	c.awaitStandbys(entry)
	wl := c.newWorkload("slow")
	l := wl.load(allPaths(owners), []*host{entry}, 6)
	slow := standin.ClassFaults{LatencyMS: 100, JitterMS: 100}
	c.storeFaults(standin.Faults{Seed: 1, Read: slow, Write: slow})

	base := c.headVersion()
	file := c.noteFile("slow.ini", "[note]\ntitle = longer queue\nbase = 2\n[change service orders]\nqueue_limit = 300\n")
	if code, out, errOut := c.operate(t, entry, "note", "publish", file, "--publish-id", "slow-store"); code != 0 {
		t.Errorf("publication: exit code %d, %s%s", code, out, errOut)
	}
	for _, h := range c.hosts {
		c.awaitNoteInForce(h, base+1, "slow-store")
	}
	var key string
	for path, owner := range c.awaitSpread("orders", 40) {
		if owner == lost.name {
			key = strings.TrimPrefix(path, "/orders/")
		}
	}
	eventually(t, "the shard is moved", func() bool {
		code, _, _ := c.operate(t, entry, "move", "--service", "orders", "--key", key, "--target", drained.name)
		return code == 0
	})
	var operators sync.WaitGroup
	for _, h := range []*host{entry, lost} {
		operators.Go(func() {
			if code, out, errOut := c.operate(t, h, "drain", drained.name); code != 0 {
				t.Errorf("drain through %s: exit code %d, %s%s", h.name, code, out, errOut)
			}
		})
	}
	operators.Wait()
	eventually(t, "the drained router ends", func() bool {
		select {
		case <-drained.router.done:
			return true
		default:
			return false
		}
	})
	l.finish()
	if sum := wl.check(false, false); sum.notRun+sum.unknown+sum.broken > 0 {
		t.Errorf("requests were lost before the loss of a host: %+v", sum)
	}
	c.awaitStandbys(entry)
	lost.kill()
	for path := range owners {
		c.awaitOwnerChange(entry, path, lost.name)
	}
	if a := wl.run(get, "/orders/key-1", entry, "2000"); a.status != http.StatusOK {
		t.Errorf("after the takeover: status %d, %s", a.status, a.raw)
	}
	wl.check(true, false)
}
