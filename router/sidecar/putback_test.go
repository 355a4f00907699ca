package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/router/keyrange"
)

// Guards against configurations that do not come into force, or go back to an older one,
// after the store was put back to an older copy.
func TestConfigurationAfterStoreIsPutBack(t *testing.T) {
	c := newCluster(t, "plain", "plain")
	c.waitReady()
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, h := range c.hosts {
				if h.config.version() != version {
					return false
				}
			}
			return true
		}
	}
	older := c.store.Copy()
	for version := range 6 {
		c.publish(fmt.Sprint(2 + version))
	}
	c.eventually("the changes that will be lost are in force", inForce(7))
	c.store.Restore(older)
	c.publish("7") // the operator writes again
	c.publish("8")
	published := time.Now()
	c.eventually("a later change is in force", inForce(8))
	if took := time.Since(published); took > 2*time.Second {
		t.Errorf("a later change was in force after %v", took)
	}
}

// holders returns the upstreams that hold a key according to their last heartbeats.
func (c *cluster) holders(key uint16) []string {
	var holders []string
	for _, h := range c.hosts {
		for _, g := range h.upstream.currentGrants() {
			if g.From <= key && key <= g.To {
				holders = append(holders, h.settings.Host.Name)
			}
		}
	}
	return holders
}

// watchKeys checks until the returned function is called that no key has two holders and
// that no upstream gets a key with a generation that another one had before. It returns
// what it found.
func (c *cluster) watchKeys() func() []string {
	stop, done := make(chan struct{}), make(chan struct{})
	var found []string
	go func() {
		defer close(done)
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		type holding struct {
			host       string
			generation uint64
		}
		last := map[uint16]holding{}
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			for key := 0; key <= keyrange.MaxKey; key += 257 {
				holders := 0
				for _, h := range c.hosts {
					for _, g := range h.upstream.currentGrants() {
						if int(g.From) > key || key > int(g.To) {
							continue
						}
						holders++
						before := last[uint16(key)]
						if h.settings.Host.Name != before.host && g.Generation <= before.generation {
							found = append(found, fmt.Sprintf("%s got key %d with generation %d after %s had it with %d", h.settings.Host.Name, key, g.Generation, before.host, before.generation))
						}
						last[uint16(key)] = holding{h.settings.Host.Name, g.Generation}
					}
				}
				if holders > 1 {
					found = append(found, fmt.Sprintf("key %d has the holders %v", key, c.holders(uint16(key))))
				}
			}
		}
	}()
	return func() []string {
		close(stop)
		<-done
		return found[:min(len(found), 5)]
	}
}

// loadKeys makes callers on all hosts send requests for all keys until the returned function
// is called. Each takes 20 ms, so that hosts without load are given keys.
func (c *cluster) loadKeys() func() {
	for _, h := range c.hosts {
		h.upstream.setHandler(func(http.ResponseWriter, *http.Request) bool {
			<-time.After(20 * time.Millisecond)
			return false
		})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, h := range c.hosts {
		for j := range 4 {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					key := fmt.Sprint((n*4 + j) * 2003 % (keyrange.MaxKey + 1))
					h.request(c.t, http.MethodGet, "/keys/x", fmt.Sprintf("load-%d-%d-%d", i, j, n), "", testHeaders.Key, key)
				}
			})
		}
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// checkKeysServed sends requests for keys from all hosts, each again until it is served, and
// fails if a key was refused at a host for longer than the limit. The keys are asked for at the
// same time: the time of the requests that are served does not count.
func (c *cluster) checkKeysServed(limit time.Duration) {
	c.t.Helper()
	var wg sync.WaitGroup
	for key := 0; key <= keyrange.MaxKey; key += 4369 {
		wg.Go(func() {
			for i, h := range c.hosts {
				begin, refused := time.Now(), time.Duration(0)
				var last response
				for n := 0; refused < 30*time.Second; n++ {
					id := fmt.Sprintf("check-%d-%d-%d-%d", key, i, n, begin.UnixNano())
					got := h.request(c.t, http.MethodGet, "/keys/x", id, "", testHeaders.Key, fmt.Sprint(key))
					if got.status == http.StatusOK {
						break
					}
					refused, last = time.Since(begin), got
					<-time.After(20 * time.Millisecond)
				}
				if refused > limit {
					c.t.Errorf("key %d was refused by %s for %v, at last with %d %s", key, h.settings.Host.Name, refused, last.status, last.body)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against keys with two holders, or with none for long, after the store was put back
// to a copy from before the keys moved.
func TestKeysAfterStoreIsPutBack(t *testing.T) {
	c := newCluster(t, "keyed", "keyed")
	c.waitReady()
	served := func() bool {
		for key := 0; key <= keyrange.MaxKey; key += 4369 {
			for i, h := range c.hosts {
				id := fmt.Sprintf("%d-%d-%d", key, i, time.Now().UnixNano())
				if h.request(t, http.MethodGet, "/keys/x", id, "", testHeaders.Key, fmt.Sprint(key)).status != http.StatusOK {
					return false
				}
			}
		}
		return true
	}
	c.eventually("all keys are served", served)
	defer c.loadKeys()()
	older := c.store.Copy()
	joined := c.add("h9", "keyed")
	stopWatching := c.watchKeys()
	c.eventually("the host that joined has keys", func() bool { return len(joined.upstream.heldGrants()) > 3 })
	c.store.Restore(older)
	putBack := time.Now()
	c.eventually("the leases from before have ended", func() bool { return time.Since(putBack) > leaseDuration+3*time.Second })
	c.checkKeysServed(2 * time.Second)
	c.eventually("all keys are served", served)
	for _, what := range stopWatching() {
		t.Error(what)
	}
}
