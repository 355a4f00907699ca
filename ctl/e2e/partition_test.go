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

// twoRelayedHosts starts a service on two hosts in two zones that reach each other
// and the table service through relays. Each is the standby of the other's groups.
func twoRelayedHosts(t testing.TB) (*cluster, *host, *host) {
	t.Helper()
	c := newCluster(t)
	c.relayed = true
	c.publish("first-note", twoServices)
	for i := range 2 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i+1), "orders")
	}
	return c, c.hosts[0], c.hosts[1]
}

// cutOneWay drops what one host sends to another, including its responses.
func cutOneWay(from, to *host) {
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

// awaitServedByAny waits until every key is served through at least one host.
func (c *cluster) awaitServedByAny(paths []string, hosts ...*host) {
	c.t.Helper()
	var wg sync.WaitGroup
	for _, path := range paths {
		wg.Go(func() {
			eventually(c.t, path+" served", func() bool {
				for _, h := range hosts {
					a, err := c.requestWithTimeout(http.MethodGet, h, path, "", "Request-Timeout", "500")
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

// awaitServedByAll waits until every key is served through each host.
func (c *cluster) awaitServedByAll(paths []string, hosts ...*host) {
	c.t.Helper()
	for _, h := range hosts {
		var wg sync.WaitGroup
		for _, path := range paths {
			wg.Go(func() { c.awaitServed(h, path) })
		}
		wg.Wait()
	}
}

// awaitStandbys waits until every group with shards has a standby, so that a fault
// affects a lease with both a holder and a standby.
func (c *cluster) awaitStandbys(h *host) {
	c.t.Helper()
	eventually(c.t, "every group has a standby", func() bool {
		groups := c.groups(h)
		return len(groups) > 0 && !slices.ContainsFunc(groups, func(g admin.Group) bool {
			return g.Standby == "" && len(g.Shards) > 0
		})
	})
}

// disablePlacement publishes a note that stops placement from moving shards of the
// service orders, so that owners of keys change only because of faults.
func (c *cluster) disablePlacement() {
	c.t.Helper()
	base := c.headVersion()
	id := fmt.Sprintf("pinned-%d", base)
	c.publish(id, fmt.Sprintf("[note]\ntitle = no placement\nbase = %d\n[change service orders]\nimbalance_weight = 0\n", base))
	for _, h := range c.hosts {
		c.awaitNoteInForce(h, base+1, id)
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

// groups returns the groups that a router knows, or nil on an error.
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

// testPartition sends load to two hosts, applies a partition, waits until the
// heartbeats of several lease durations are dropped and every key is served, heals
// the partition, and checks the workload once every key is served through both
// hosts.
func testPartition(t *testing.T, cut func(a, b *host)) {
	c, h1, h2 := twoRelayedHosts(t)
	paths := allPaths(c.awaitSpread("orders", 24))
	c.awaitStandbys(h1)
	wl := c.newWorkload("cut")
	l := wl.load(paths, c.hosts, 6)
	dropped := func() int64 { return h1.relays.heartbeats.Dropped() + h2.relays.heartbeats.Dropped() }
	before := dropped()
	began := time.Now()
	cut(h1, h2)
	eventually(t, "heartbeats are dropped", func() bool { return dropped() > before+8 })
	c.awaitServedByAny(paths, h2, h1)
	t.Logf("every key was served at most %v after the partition", time.Since(began))
	after := wl.unitCount() + 30
	eventually(t, "requests are sent during the partition", func() bool { return wl.unitCount() > after })
	heal(h1, h2)
	healed := time.Now()
	c.awaitServedByAll(paths, h1, h2)
	t.Logf("every key was served through both hosts %v after the partition healed", time.Since(healed))
	l.finish()
	if sum := wl.check(false, false); sum.ok == 0 {
		t.Error("no request got a successful response")
	}
}

// Guards against two owners, work that runs twice, false refusals and keys that
// stay unserved when one host's traffic to the other is dropped.
func TestPartitionOneWay(t *testing.T) {
	testPartition(t, cutOneWay)
}

// Guards against the same failures when holder and standby cannot reach each other
// but both reach the table service: exactly one compare-and-set must win.
func TestPartitionBothWays(t *testing.T) {
	testPartition(t, cutBothWays)
}

// Guards against the same failures when one of the hosts also cannot reach the
// table service: the other must take over and the first must stop serving.
func TestPartitionWithTheStoreReachedFromOneSide(t *testing.T) {
	testPartition(t, func(a, b *host) {
		cutBothWays(a, b)
		a.relays.store.Partition(standin.BothDirections)
	})
}
