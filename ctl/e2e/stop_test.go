package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/stores/standin"
)

// backgroundRequests sends requests for keys through a host until it is stopped.
type backgroundRequests struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

func (c *cluster) startBackground(h *host, paths map[string]string) *backgroundRequests {
	b := &backgroundRequests{stop: make(chan struct{})}
	for path := range paths {
		b.wg.Go(func() { c.sendUntil(h, path, b.stop) })
	}
	return b
}

func (b *backgroundRequests) finish() {
	close(b.stop)
	b.wg.Wait()
}

// Guards against requests that fail and work that is lost because of a graceful
// stop of a host.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	b := c.startBackground(c.hosts[0], owners)
	victim := c.hosts[2]
	victim.router.stop(t)
	victim.upstream.stop(t)
	b.finish()
	for path := range owners {
		a, err := c.request(http.MethodGet, c.hosts[0], path, "")
		if err != nil || a.status != http.StatusOK || a.header.Get("Burdock-Owner") == victim.name {
			t.Errorf("%s after the stop: status %d, owner %q, error %v", path, a.status, a.header.Get("Burdock-Owner"), err)
		}
	}
	c.checkLedgers()
}

// shardOf returns the shard of a path's key for the default number of shards.
func shardOf(path string) keyspace.Shard {
	service, key, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	shards := keyspace.Divide(note.DefaultService(service).Shards)
	s, _ := keyspace.Find(shards, keyspace.HashKey(service, key))
	return s
}

// Guards against a graceful stop that aborts a long request.
func TestGracefulStopWaitsForLongRequests(t *testing.T) {
	c := threeHosts(t, "orders")
	victim := c.hosts[2]
	owners, path, result := c.holdOneRequest(victim)
	stopped := make(chan struct{})
	go func() {
		victim.router.stop(t)
		close(stopped)
	}()
	// Meanwhile every other key of the leaving host must be served, except those in
	// the shard of the held key, which stays until its request ends. The short
	// timeout prevents a probe that reaches the held upstream from keeping its own
	// shard there.
	others := 0
	for p, owner := range owners {
		if owner == victim.name && shardOf(p) != shardOf(path) {
			others++
			eventually(t, p+" served by another host", func() bool {
				a, err := c.request(http.MethodGet, c.hosts[0], p, "", "Request-Timeout", "300")
				return err == nil && a.status == http.StatusOK && a.header.Get("Burdock-Owner") != victim.name
			})
		}
	}
	if others == 0 {
		t.Error("the leaving host owned no other shard with a key of the test")
	}
	c.upstreamFaults(victim, standin.UpstreamFaults{})
	if a := <-result; a.status != http.StatusOK || a.echo.Upstream != victim.name {
		t.Errorf("long request: status %d from %q, %s", a.status, a.echo.Upstream, a.raw)
	}
	<-stopped
	c.checkLedgers()
}

// holdOneRequest starts a request that the host's upstream holds, and returns the
// owners, the request's path and the channel that gets its response. Placement is
// disabled; if a move already in progress takes the key away before the request
// arrives, another key is tried.
func (c *cluster) holdOneRequest(h *host) (owners map[string]string, path string, result chan response) {
	c.t.Helper()
	c.awaitSpread("orders", 40)
	c.disablePlacement()
	for range 10 {
		owners = c.awaitSpread("orders", 40)
		c.upstreamFaults(h, standin.UpstreamFaults{HoldWork: true})
		if path, result = c.tryHold(h, owners); path != "" {
			return owners, path, result
		}
		c.upstreamFaults(h, standin.UpstreamFaults{})
	}
	c.t.Fatalf("no request could be held at %s", h.name)
	return nil, "", nil
}

func (c *cluster) tryHold(h *host, owners map[string]string) (string, chan response) {
	for path, owner := range owners {
		if owner != h.name {
			continue
		}
		result := make(chan response, 1)
		go func() {
			a, err := c.request(http.MethodPost, c.hosts[0], path, "long", "Request-Timeout", "30000")
			if err != nil {
				c.t.Errorf("long request: %v", err)
			}
			result <- a
		}()
		held := false
		eventually(c.t, "the long request is running or has a response", func() bool {
			held = c.isRunning(h, http.MethodPost)
			return held || len(result) > 0
		})
		if held {
			return path, result
		}
	}
	return "", nil
}

// isRunning reports whether the host's upstream is running a request with the
// method.
func (c *cluster) isRunning(h *host, method string) bool {
	l, err := c.ledger(h)
	if err != nil {
		return false
	}
	for _, u := range l.Units {
		if u.Method == method && u.State == standin.UnitRunning {
			return true
		}
	}
	return false
}

// Guards against requests that fail during an outage of the table service.
func TestStoreOutageCostsNoRequest(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	b := c.startBackground(c.hosts[0], owners)
	c.storeFaults(standin.Faults{Read: standin.ClassFaults{Outage: true}, Write: standin.ClassFaults{Outage: true}})
	// The loop covers several lease durations and polls of the head row.
	for range 200 {
		for path := range owners {
			if a, err := c.request(http.MethodGet, c.hosts[1], path, ""); err != nil || a.status != http.StatusOK {
				t.Errorf("%s during the outage: status %d, error %v", path, a.status, err)
			}
		}
	}
	c.storeFaults(standin.Faults{})
	b.finish()
	c.checkLedgers()
}

// Guards against keys that stay with a host whose upstream process failed.
func TestKeysOfALostUpstreamAreServedAgain(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 40)
	victim := c.hosts[1]
	victim.upstream.kill()
	for path, owner := range owners {
		if owner == victim.name {
			eventually(t, path+" served by another host", func() bool {
				a, err := c.request(http.MethodGet, victim, path, "")
				return err == nil && a.status == http.StatusOK && a.header.Get("Burdock-Owner") != victim.name
			})
		}
	}
	c.checkLedgers()
}

// Guards against non-idempotent work that runs twice, and against refusals with
// outcome not-run although the work ran, when a host is killed: each unit is
// retried with its idempotency key until its outcome is reported.
func TestWorkRunsAtMostOnceAcrossALoss(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitSpread("orders", 40)
	const units = 120
	type outcome struct{ ok, unknown bool }
	outcomes := make([]outcome, units)
	var wg sync.WaitGroup
	for i := range units {
		wg.Go(func() {
			path := fmt.Sprintf("/orders/key-%d", i%40)
			for range 40 {
				a, err := c.request(http.MethodPost, c.hosts[i%2], path, "pay", "Idempotency-Key", fmt.Sprintf("pay-%d", i))
				if err == nil && a.status == http.StatusOK {
					outcomes[i].ok = true
					return
				}
				if err == nil && a.header.Get("Burdock-Outcome") == "unknown" {
					outcomes[i].unknown = true
					return
				}
			}
		})
		if i == units/2 {
			// One host fails while work is in progress.
			c.hosts[2].kill()
		}
	}
	wg.Wait()
	done := 0
	for i, o := range outcomes {
		if !o.ok && !o.unknown {
			t.Errorf("unit %d got no response with an outcome", i)
		}
		if o.ok {
			done++
		}
	}
	t.Logf("%d of %d units confirmed, %d with unknown outcome", done, units, units-done)
	c.checkLedgers()
}

// Guards against a release note that does not reach a host, or that is reverted by
// a restart during an outage of the store.
func TestReleaseNoteStaysInForceAcrossRestartAndOutage(t *testing.T) {
	c := threeHosts(t, "orders")
	c.awaitServed(c.hosts[0], "/orders/first")
	c.publish("second-note", "[note]\ntitle = withdraw\nbase = 1\n[withdraw service designs]\n")
	inForce := func(h *host) bool {
		a, err := c.request(http.MethodGet, h, "/designs/k", "")
		return err == nil && a.status == http.StatusNotFound
	}
	for _, h := range c.hosts {
		eventually(t, "the note is in force at "+h.name, func() bool { return inForce(h) })
	}
	c.storeFaults(standin.Faults{Read: standin.ClassFaults{Outage: true}, Write: standin.ClassFaults{Outage: true}})
	restarted := c.hosts[2]
	restarted.kill()
	c.startRouter(restarted)
	eventually(t, "the restarted router has a configuration", func() bool {
		a, err := c.request(http.MethodGet, restarted, "/designs/k", "")
		if err == nil && a.status == http.StatusServiceUnavailable && a.header.Get("Burdock-Error") != "not_ready" {
			t.Errorf("the withdrawn service is back: %s", a.raw)
		}
		return err == nil && a.status == http.StatusNotFound
	})
	c.storeFaults(standin.Faults{})
}
