package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// outage measures how long each key of a lost host is not served.
type outage struct {
	mu      sync.Mutex
	longest time.Duration
}

// watch asks for a key in short intervals until it is served by another host
// than the lost one, and returns the time since the loss.
func (c *cluster) watch(h *host, path, lost string, since time.Time) time.Duration {
	c.t.Helper()
	eventually(c.t, path+" served again", func() bool {
		a, err := c.request(http.MethodGet, h, path, "", "Request-Timeout", "3000")
		return err == nil && a.status == http.StatusOK && a.header.Get("Burdock-Owner") != lost
	})
	return time.Since(since)
}

// Guards against keys that stay lost after their host failed, and against keys
// of other hosts that fail with it. The time is printed; it is judged by
// BenchmarkLossOfAHost.
func TestKeysOfALostHostAreServedAgain(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.spread("orders", 60)
	victim := c.hosts[1]
	entry := c.hosts[0]
	var o outage
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for path, owner := range owners {
		if owner == victim.name {
			continue
		}
		wg.Go(func() { c.keepAsking(entry, path, stop) })
	}
	victim.kill()
	lostAt := time.Now()
	var lost sync.WaitGroup
	for path, owner := range owners {
		if owner == victim.name {
			lost.Go(func() {
				d := c.watch(entry, path, victim.name, lostAt)
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

// keepAsking sends requests for a key until stop and reports each failure.
func (c *cluster) keepAsking(h *host, path string, stop chan struct{}) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		a, err := c.request(http.MethodPost, h, path, fmt.Sprint(n))
		if err != nil || a.status != http.StatusOK {
			c.t.Errorf("%s of a living host: status %d, error %v, %s", path, a.status, err, a.raw)
			return
		}
	}
}

// Guards against a frozen host that goes on as owner when it returns.
func TestFrozenHostDoesNotOwnWhenItReturns(t *testing.T) {
	c := threeHosts(t, "orders")
	owners := c.spread("orders", 60)
	victim, entry := c.hosts[1], c.hosts[0]
	victim.router.signal(syscall.SIGSTOP)
	victim.upstream.signal(syscall.SIGSTOP)
	for path, owner := range owners {
		if owner == victim.name {
			c.watch(entry, path, victim.name, time.Now())
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
			t.Errorf("%s: answered by %s, owner %s", path, a.echo.Upstream, a.header.Get("Burdock-Owner"))
		}
	}
	c.checkLedgers()
}
