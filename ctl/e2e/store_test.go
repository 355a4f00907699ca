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

// loseAnswers makes the table service lose the answers of its next writes after
// they took effect.
func (c *cluster) loseAnswers(n int) {
	c.storeFaults(standin.Faults{Write: standin.ClassFaults{LoseResponses: n}})
}

// answersLost waits until the answers of loseAnswers were lost.
func (c *cluster) answersLost() {
	c.t.Helper()
	eventually(c.t, "the answers are lost", func() bool {
		var f standin.Faults
		return c.getJSON(c.tableURL+"/v1/faults", &f) && f.Write.LoseResponses == 0
	})
}

// Guards against writes that are repeated, or taken for failed, because their
// answer was lost: at the join, a publication, a planned move and a takeover.
func TestStoreAnswersLostAfterTheWrite(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	c.loseAnswers(6)
	for i := range 3 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%2+1), "orders")
	}
	c.answersLost()
	owners := c.spread("orders", 40)
	entry, victim := c.hosts[0], c.hosts[1]
	c.settled(entry)
	c.checkCover(entry)
	tr := c.trial("lost")
	l := tr.load(allPaths(owners), []*host{entry, c.hosts[2]}, 6)

	c.loseAnswers(1)
	file := c.noteFile("second.ini", "[note]\ntitle = longer queue\nbase = 1\n[change service orders]\nqueue_limit = 300\n")
	if code, out, errOut := c.operate(t, entry, "note", "publish", file); code != 0 {
		t.Errorf("publication: exit code %d, %s%s", code, out, errOut)
	}
	c.answersLost()
	if v := c.headVersion(); v != 2 {
		t.Errorf("head row has version %d, want 2", v)
	}

	moved := ownedBy(owners, victim.name)[0]
	eventually(t, moved+" moved", func() bool {
		// A move that is refused before its commit writes nothing.
		c.loseAnswers(1)
		code, _, _ := c.operate(t, entry, "move", "--service", "orders", "--key", strings.TrimPrefix(moved, "/orders/"), "--target", "h3")
		return code == 0
	})
	c.answersLost()
	c.served(entry, moved)

	c.loseAnswers(4)
	victim.kill()
	for _, path := range ownedBy(owners, victim.name) {
		c.leaves(entry, path, victim.name)
	}
	c.answersLost()
	l.end()
	c.checkCover(entry)
	tr.judge(true, false)
}

// checkCover checks that the groups of the service cover the hash space once.
func (c *cluster) checkCover(h *host) {
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

// outageLeases is how many lease durations an outage lasts in a test.
const outageLeases = 10

// leaseDuration is the default of the settings.
const leaseDuration = 500 * time.Millisecond

// Guards against an outage of the table service that begins between two writes
// of a takeover. Keys of groups whose holder and standby live are served all the
// time. The others cannot change holder or standby during the outage; requests
// for them are refused truly and they are served when the outage has ended.
func TestStoreOutageInTheMiddleOfATakeover(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.spread("orders", 40)
	entry := c.hosts[0]
	c.pin()
	c.settled(entry)
	var victim *host
	var safe map[string]bool
	eventually(t, "a host without which some groups keep holder and standby", func() bool {
		for _, victim = range c.hosts[1:] {
			if safe = c.keptWithout(entry, owners, victim); len(safe) > 0 && len(safe) < len(owners) {
				return true
			}
		}
		return false
	})
	tr := c.trial("outage")
	// One more write takes effect; the second takeover meets the outage.
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
			if a := tr.run(keyedPost, path, entry, timeout); safe[path] && a.status != http.StatusOK {
				t.Fatalf("%s of two living hosts: status %d, %s", path, a.status, a.raw)
			}
		}
	}
	t.Logf("outage of %v", time.Since(began))
	c.storeFaults(standin.Faults{})
	healed := time.Now()
	for path := range owners {
		c.leaves(entry, path, victim.name)
	}
	t.Logf("the lost keys were served %v after the outage", time.Since(healed))
	tr.judge(true, false)
}

// keptWithout returns the paths of groups of which a host is neither holder nor
// standby.
func (c *cluster) keptWithout(h *host, owners map[string]string, without *host) map[string]bool {
	kept := map[string]bool{}
	for _, g := range c.groups(h) {
		if g.Holder == without.name || g.Standby == without.name {
			continue
		}
		for _, path := range pathsIn(owners, g) {
			kept[path] = true
		}
	}
	return kept
}

// Guards against two operators who both win, or a loser who is not told the
// winner, when they publish through two routers at once.
func TestTwoOperatorsPublishAtOnce(t *testing.T) {
	c := threeHosts(t, "orders")
	c.served(c.hosts[0], "/orders/first")
	c.served(c.hosts[1], "/orders/first")
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
			t.Errorf("the loser was not told the winner %s: %s", ids[winner], lost.stderr)
		}
		config, _, err := note.ReadHead(t.Context(), c.store())
		if err != nil || config.Version != base+1 || config.PublishID != ids[winner] {
			t.Errorf("head row: version %d, publish id %s, error %v; want %d, %s", config.Version, config.PublishID, err, base+1, ids[winner])
		}
		for _, h := range c.hosts {
			c.noteInForce(h, config.Version, ids[winner])
		}
	}
}

// noteInForce waits until a router has a version in force.
func (c *cluster) noteInForce(h *host, version int64, publishID string) {
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
