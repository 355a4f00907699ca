package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/note"
	"burdockglade.dev/stores/standin"
)

// loseResponses makes the table service drop the responses of its next n writes
// after the writes took effect.
func (c *cluster) loseResponses(n int) {
	c.storeFaults(standin.Faults{Write: standin.ClassFaults{LoseResponses: n}})
}

// awaitLostResponses waits until all responses set by loseResponses were dropped.
func (c *cluster) awaitLostResponses() {
	c.t.Helper()
	eventually(c.t, "the responses are lost", func() bool {
		var f standin.Faults
		return c.getJSON(c.tableURL+"/v1/faults", &f) && f.Write.LoseResponses == 0
	})
}

// Guards against writes that are applied twice or treated as failed because their
// response was lost: on joins, a publication, a planned move and a takeover.
func TestStoreAnswersLostAfterTheWrite(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	c.loseResponses(6)
	for i := range 3 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%2+1), "orders")
	}
	c.awaitLostResponses()
	owners := c.awaitSpread("orders", 40)
	entry, victim := c.hosts[0], c.hosts[1]
	c.awaitStandbys(entry)
	c.awaitFullCover(entry)
	wl := c.newWorkload("lost")
	l := wl.load(allPaths(owners), []*host{entry, c.hosts[2]}, 6)

	c.loseResponses(1)
	file := c.noteFile("second.ini", "[note]\ntitle = longer queue\nbase = 1\n[change service orders]\nqueue_limit = 300\n")
	if code, out, errOut := c.operate(t, entry, "note", "publish", file); code != 0 {
		t.Errorf("publication: exit code %d, %s%s", code, out, errOut)
	}
	c.awaitLostResponses()
	if v := c.headVersion(); v != 2 {
		t.Errorf("head row has version %d, want 2", v)
	}

	moved := ownedBy(owners, victim.name)[0]
	eventually(t, moved+" moved", func() bool {
		// A move that is refused before its commit does not use up the fault.
		c.loseResponses(1)
		code, _, _ := c.operate(t, entry, "move", "--service", "orders", "--key", strings.TrimPrefix(moved, "/orders/"), "--target", "h3")
		return code == 0
	})
	c.awaitLostResponses()
	c.awaitServed(entry, moved)

	c.loseResponses(4)
	victim.kill()
	for _, path := range ownedBy(owners, victim.name) {
		c.awaitOwnerChange(entry, path, victim.name)
	}
	c.awaitLostResponses()
	l.finish()
	c.awaitFullCover(entry)
	wl.check(true, false)
}

// awaitFullCover waits until the shares of all groups add up to the whole hash
// space.
func (c *cluster) awaitFullCover(h *host) {
	c.t.Helper()
	eventually(c.t, "the groups cover the hash space once", func() bool {
		share := 0.0
		for _, g := range c.groups(h) {
			for _, s := range g.Shards {
				share += s.Fraction()
			}
		}
		return share > 0.9999 && share < 1.0001
	})
}

// headVersion reads the version of the head row.
func (c *cluster) headVersion() int64 {
	c.t.Helper()
	config, _, err := note.ReadHead(c.t.Context(), c.store())
	if err != nil {
		c.t.Fatal(err)
	}
	return config.Version
}

func (c *cluster) noteFile(name, text string) string {
	c.t.Helper()
	file := filepath.Join(c.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

// outageLeases is the length of an outage in lease durations.
const outageLeases = 10

// leaseDuration is the default lease duration of the settings.
const leaseDuration = 500 * time.Millisecond

// Guards against an outage of the table service that begins between two writes
// of a takeover. Keys of groups whose holder and standby are up must be served
// throughout. The other groups cannot change holder or standby during the outage;
// requests for them must be refused with a correct outcome, and must be served
// after the outage.
func TestStoreOutageInTheMiddleOfATakeover(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	entry := c.hosts[0]
	c.disablePlacement()
	c.awaitStandbys(entry)
	var victim *host
	var safe map[string]bool
	eventually(t, "a host whose loss leaves some groups with holder and standby", func() bool {
		for _, victim = range c.hosts[1:] {
			if safe = c.pathsWithoutRole(entry, owners, victim); len(safe) > 0 && len(safe) < len(owners) {
				return true
			}
		}
		return false
	})
	wl := c.newWorkload("outage")
	// One more write takes effect; the outage fails the second takeover.
	after := 1
	c.storeFaults(standin.Faults{Write: standin.ClassFaults{OutageAfter: &after}})
	victim.kill()
	eventually(t, "the outage begins", func() bool {
		var f standin.Faults
		return c.getJSON(c.tableURL+"/v1/faults", &f) && f.Write.Outage
	})
	c.storeFaults(standin.Faults{Read: standin.ClassFaults{Outage: true}, Write: standin.ClassFaults{Outage: true}})
	began := time.Now()
	for time.Since(began) < outageLeases*leaseDuration {
		for path := range owners {
			timeout := "2000"
			if !safe[path] {
				timeout = "100"
			}
			if a := wl.run(keyedPost, path, entry, timeout); safe[path] && a.status != http.StatusOK {
				t.Fatalf("%s of two hosts that are up: status %d, %s", path, a.status, a.raw)
			}
		}
	}
	t.Logf("outage of %v", time.Since(began))
	c.storeFaults(standin.Faults{})
	healed := time.Now()
	for path := range owners {
		c.awaitOwnerChange(entry, path, victim.name)
	}
	t.Logf("the lost keys were served %v after the outage", time.Since(healed))
	wl.check(true, false)
}

// pathsWithoutRole returns the paths of groups of which the excluded host is
// neither holder nor standby, as h knows the groups.
func (c *cluster) pathsWithoutRole(h *host, owners map[string]string, excluded *host) map[string]bool {
	paths := map[string]bool{}
	for _, g := range c.groups(h) {
		if g.Holder == excluded.name || g.Standby == excluded.name {
			continue
		}
		for _, path := range pathsIn(owners, g) {
			paths[path] = true
		}
	}
	return paths
}

// Guards against two concurrent publications through different routers that both
// succeed, and against a conflict error that does not name the winner.
func TestTwoOperatorsPublishAtOnce(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitServed(c.hosts[0], "/orders/first")
	c.awaitServed(c.hosts[1], "/orders/first")
	type outcome struct {
		code           int
		stdout, stderr string
	}
	for round := range 3 {
		base := c.headVersion()
		var outcomes [2]outcome
		var ids [2]string
		var operators sync.WaitGroup
		for i := range 2 {
			ids[i] = fmt.Sprintf("operator-%d-round-%d", i, round)
			file := c.noteFile(ids[i]+".ini", fmt.Sprintf(
				"[note]\ntitle = by %s\nbase = %d\n[change service orders]\nqueue_limit = %d\n", ids[i], base, 300+10*round+i))
			operators.Go(func() {
				o := &outcomes[i]
				o.code, o.stdout, o.stderr = c.operate(t, c.hosts[i], "note", "publish", file, "--publish-id", ids[i])
			})
		}
		operators.Wait()
		winner := 0
		if outcomes[1].code == 0 {
			winner = 1
		}
		won, lost := outcomes[winner], outcomes[1-winner]
		if won.code != 0 || lost.code != 3 {
			t.Fatalf("exit codes %d and %d, want 0 and 3: %s%s", won.code, lost.code, won.stderr, lost.stderr)
		}
		if !strings.Contains(lost.stderr, "note_conflict") || !strings.Contains(lost.stderr, ids[winner]) {
			t.Errorf("the error of the loser does not name the winner %s: %s", ids[winner], lost.stderr)
		}
		config, _, err := note.ReadHead(t.Context(), c.store())
		if err != nil || config.Version != base+1 || config.PublishID != ids[winner] {
			t.Errorf("head row: version %d, publish id %s, error %v; want %d, %s", config.Version, config.PublishID, err, base+1, ids[winner])
		}
		for _, h := range c.hosts {
			c.awaitNoteInForce(h, config.Version, ids[winner])
		}
	}
}

// awaitNoteInForce waits until a router has the version in force, and fails the
// test if that version has another publish id.
func (c *cluster) awaitNoteInForce(h *host, version int64, publishID string) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("version %d in force at %s", version, h.name), func() bool {
		client := c.admin(h)
		defer client.Close()
		config, err := client.Note(c.t.Context())
		if err == nil && config.Version == version && config.PublishID != publishID {
			c.t.Fatalf("%s has publish id %s in version %d, want %s", h.name, config.PublishID, version, publishID)
		}
		return err == nil && config.Version == version
	})
}
