package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/stores/standin"
)

// pair starts a service on two hosts in two zones that reach each other and the
// table service through relays. Each is the standby of the other's groups.
func pair(t testing.TB) (*cluster, *host, *host) {
	t.Helper()
	c := newCluster(t)
	c.relayed = true
	c.publish("first-note", twoServices)
	for i := range 2 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i+1), "orders")
	}
	return c, c.hosts[0], c.hosts[1]
}

// cutWay cuts what one host sends to another, answers included.
func cutWay(from, to *host) {
	to.cutInbound(standin.ToTarget)
	from.cutInbound(standin.FromTarget)
}

func cutBothWays(a, b *host) {
	a.cutInbound(standin.BothDirections)
	b.cutInbound(standin.BothDirections)
}

func heal(hosts ...*host) {
	for _, h := range hosts {
		h.cutInbound(0)
		h.relays.store.Partition(0)
	}
}

// servedSomewhere waits until every key is served through some host.
func (c *cluster) servedSomewhere(paths []string, hosts ...*host) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, path := range paths {
		wg.Go(func() {
			eventually(c.t, path+" served", func() bool {
				for _, h := range hosts {
					a, err := c.boundedRequest(http.MethodGet, h, path, "", "Request-Timeout", "500")
					if err == nil && a.status == http.StatusOK {
						return true
					}
				}
				return false
			})
		})
	}
	wg.Wait()
}

// servedEverywhere waits until every key is served through each host.
func (c *cluster) servedEverywhere(paths []string, hosts ...*host) {
	c.t.Helper()
	for _, h := range hosts {
		var wg sync.WaitGroup
		for _, path := range paths {
			wg.Go(func() { c.served(h, path) })
		}
		wg.Wait()
	}
}

// settled waits until every group with shards has a standby, so that a fault
// meets a lease that is kept by two hosts.
func (c *cluster) settled(h *host) {
	c.t.Helper()
	eventually(c.t, "every group has a standby", func() bool {
		groups := c.groups(h)
		return len(groups) > 0 && !slices.ContainsFunc(groups, func(g admin.Group) bool {
			return g.Standby == "" && len(g.Shards) > 0
		})
	})
}

// pin publishes a note after which placement moves no shard of orders, so that
// the owners of keys change by faults only.
func (c *cluster) pin() {
	c.t.Helper()
	base := c.headVersion()
	id := fmt.Sprintf("pinned-%d", base)
	c.publish(id, fmt.Sprintf("[note]\ntitle = no placement\nbase = %d\n[change service orders]\nimbalance_weight = 0\n", base))
	for _, h := range c.hosts {
		c.noteInForce(h, base+1, id)
	}
}

// admin returns a client of a host's administration API.
func (c *cluster) admin(h *host) *admin.Client {
	c.t.Helper()
	client, err := admin.NewClient(admin.ClientOptions{BaseURL: "http://" + h.admin, Token: adminToken})
	if err != nil {
		c.t.Fatal(err)
	}
	return client
}

// groups returns the groups that a router knows.
func (c *cluster) groups(h *host) []admin.Group {
	c.t.Helper()
	client := c.admin(h)
	defer client.Close()
	owners, err := client.Owners(c.t.Context(), "")
	if err != nil {
		return nil
	}
	return owners.Groups
}

// partitioned loads a pair of hosts with requests, applies a cut, waits until
// the heartbeats of several lease durations are lost and every key is served,
// heals the cut, and judges when every key is served through both hosts.
func partitioned(t *testing.T, cut func(a, b *host)) {
	c, h1, h2 := pair(t)
	paths := allPaths(c.spread("orders", 24))
	c.settled(h1)
	tr := c.trial("cut")
	l := tr.load(paths, c.hosts, 6)
	dropped := func() int64 { return h1.relays.heartbeats.Dropped() + h2.relays.heartbeats.Dropped() }
	before := dropped()
	began := time.Now()
	cut(h1, h2)
	eventually(t, "heartbeats are dropped", func() bool { return dropped() > before+8 })
	c.servedSomewhere(paths, h2, h1)
	t.Logf("every key was served at most %v after the cut", time.Since(began))
	after := tr.begun() + 30
	eventually(t, "requests meet the cut", func() bool { return tr.begun() > after })
	heal(h1, h2)
	healed := time.Now()
	c.servedEverywhere(paths, h1, h2)
	t.Logf("every key was served through both hosts %v after the cut healed", time.Since(healed))
	l.end()
	if sum := tr.judge(false, false); sum.ok == 0 {
		t.Error("no request was answered")
	}
}

// Guards against two owners, work that runs twice, untrue refusals and keys
// that stay lost when what a host sends to the other is lost.
func TestPartitionOneWay(t *testing.T) {
	partitioned(t, cutWay)
}

// Guards against the same when holder and standby are cut off from each other
// and both reach the table service: one compare-and-set must win.
func TestPartitionBothWays(t *testing.T) {
	partitioned(t, cutBothWays)
}

// Guards against the same when one of them is cut off from the table service
// too: the other must take over and the first must stop.
func TestPartitionWithTheStoreReachedFromOneSide(t *testing.T) {
	partitioned(t, func(a, b *host) {
		cutBothWays(a, b)
		a.relays.store.Partition(standin.BothDirections)
	})
}
