package e2e

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/router/admin"
)

// outage records the longest time for which a key of a lost host is not served.
type outage struct {
	mu      sync.Mutex
	longest time.Duration
}

// timeToNewOwner polls a key until it is served by a host other than the lost one,
// and returns the time since the loss.
func (c *cluster) timeToNewOwner(h *host, path, lost string, since time.Time) time.Duration {
	c.t.Helper()
	eventually(c.t, path+" served again", func() bool {
		a, err := c.request(http.MethodGet, h, path, "", "Request-Timeout", "3000")
		return err == nil && a.status == http.StatusOK && a.header.Get("Burdock-Owner") != lost
	})
	return time.Since(since)
}

// ownersWithoutPlacement waits until every host owns keys of the service orders,
// stops placement and returns the owners, like awaitSpread, once the moves in
// progress have ended.
func (c *cluster) ownersWithoutPlacement(keys int) map[string]string {
	c.t.Helper()
	c.awaitSpread("orders", keys)
	c.disablePlacement()
	operator := c.operator(c.hosts[0])
	var owners map[string]string
	eventually(c.t, "no move is running", func() bool {
		before := c.awaitSpread("orders", keys)
		for _, h := range c.hosts {
			// A host serialises its moves, so its response to a move of its own
			// key to itself, which changes nothing, comes after the others' end.
			key := strings.TrimPrefix(ownedBy(before, h.name)[0], "/orders/")
			moved, err := operator.Move(c.t.Context(), admin.MoveRequest{Service: "orders", Key: key, Target: h.name})
			if err != nil || moved.Source != h.name {
				return false
			}
		}
		owners = c.awaitSpread("orders", keys)
		return maps.Equal(before, owners)
	})
	return owners
}

// Guards against keys that stay unserved after their host failed, and against
// failing requests for keys of other hosts. The duration is only logged;
// BenchmarkLossOfAHost measures it.
func TestKeysOfALostHostAreServedAgain(t *testing.T) {
	c := threeHosts(t, "orders")
	// A key that placement moved to the victim after the owners were noted would
	// rightly fail.
	owners := c.ownersWithoutPlacement(60)
	victim := c.hosts[1]
	entry := c.hosts[0]
	var o outage
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for path, owner := range owners {
		if owner == victim.name {
			continue
		}
		wg.Go(func() { c.sendUntil(entry, path, stop) })
	}
	victim.kill()
	lostAt := time.Now()
	var lost sync.WaitGroup
	for path, owner := range owners {
		if owner == victim.name {
			lost.Go(func() {
				d := c.timeToNewOwner(entry, path, victim.name, lostAt)
				o.mu.Lock()
				o.longest = max(o.longest, d)
				o.mu.Unlock()
			})
		}
	}
	lost.Wait()
	close(stop)
	wg.Wait()
	t.Logf("the last key of the lost host was served again after %v", o.longest)
	c.checkLedgers()
}

// sendUntil sends requests for a key until stop is closed or a request fails. A
// failure fails the test.
func (c *cluster) sendUntil(h *host, path string, stop chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		a, err := c.request(http.MethodPost, h, path, fmt.Sprint(n))
		if err != nil || a.status != http.StatusOK {
			c.t.Errorf("%s of a host that is up: status %d, error %v, %s", path, a.status, err, a.raw)
			return
		}
	}
}

// Guards against a paused host that continues to act as owner after it resumes,
// although another host has taken its keys over.
func TestFrozenHostDoesNotOwnWhenItReturns(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.awaitSpread("orders", 60)
	victim, entry := c.hosts[1], c.hosts[0]
	victim.router.signal(syscall.SIGSTOP)
	victim.upstream.signal(syscall.SIGSTOP)
	for path, owner := range owners {
		if owner == victim.name {
			c.timeToNewOwner(entry, path, victim.name, time.Now())
		}
	}
	victim.upstream.signal(syscall.SIGCONT)
	victim.router.signal(syscall.SIGCONT)
	for path, owner := range owners {
		if owner != victim.name {
			continue
		}
		a, err := c.request(http.MethodPost, victim, path, "through the returned host")
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if a.status == http.StatusOK && a.echo.Upstream != a.header.Get("Burdock-Owner") {
			t.Errorf("%s: response from %s, owner %s", path, a.echo.Upstream, a.header.Get("Burdock-Owner"))
		}
	}
	c.checkLedgers()
}
