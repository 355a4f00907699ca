package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"burdockglade.dev/stores/verify"
)

const twoServices = `[note]
title = two services
base = 0
[add service orders]
kind = fenced
[add service designs]
kind = fenced
`

// threeHosts starts a service on three hosts in two availability zones.
func threeHosts(t testing.TB, service string) *cluster {
	t.Helper()
	c := newCluster(t)
	c.publish("first-note", twoServices)
	for i := range 3 {
		c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("z%d", i%2+1), service)
	}
	return c
}

// probedKeys is the number of keys that awaitSpread requests, four per shard. If
// only some shards had keys with load, placement would move just these away from
// the host that joined first, which would then own none of the keys.
const probedKeys = 256

// awaitSpread waits until every host owns some of the probed keys. It returns the
// owners by path for up to the given number of keys, equally many per host.
func (c *cluster) awaitSpread(service string, keys int) map[string]string {
	c.t.Helper()
	byOwner := map[string][]string{}
	problem := ""
	defer func() {
		if c.t.Failed() {
			c.t.Logf("last pass over the keys: %s", problem)
		}
	}()
	eventually(c.t, "all hosts own keys", func() bool {
		clear(byOwner)
		for i := range probedKeys {
			path := fmt.Sprintf("/%s/key-%d", service, i)
			a, err := c.request(http.MethodGet, c.hosts[0], path, "")
			if err != nil || a.status != http.StatusOK {
				problem = fmt.Sprintf("%s: status %d, error %v, %s", path, a.status, err, a.raw)
				return false
			}
			owner := a.header.Get("Burdock-Owner")
			byOwner[owner] = append(byOwner[owner], path)
		}
		problem = fmt.Sprintf("%d owners", len(byOwner))
		return len(byOwner) == len(c.hosts)
	})
	owners := map[string]string{}
	for owner, paths := range byOwner {
		for _, path := range paths[:min(len(paths), keys/len(c.hosts))] {
			owners[path] = owner
		}
	}
	return owners
}

// checkLedgers verifies the ledgers of the upstreams.
func (c *cluster) checkLedgers() {
	c.t.Helper()
	// A change of standby raises the generation while requests are in progress.
	for _, f := range verify.Exclude(verify.All(c.ledgers()), verify.OverlappingGenerations) {
		c.t.Error(f)
	}
}

// Guards against misrouted or mixed-up responses: with concurrent requests for
// many keys of two services through every router, each request must get its own
// complete response from the only owner of its key.
func TestEveryCallerGetsItsOwnResponseFromTheOwner(t *testing.T) {
	c := threeHosts(t, "orders")
	c.addHost("d1", "z1", "designs")
	for _, h := range c.hosts {
		c.awaitServed(h, "/orders/first")
		c.awaitServed(h, "/designs/first")
	}
	const callers, requests = 16, 40
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range requests {
				service := [2]string{"orders", "designs"}[n%2]
				key := fmt.Sprintf("key-%d", (i*7+n)%50)
				body := fmt.Sprintf("caller %d request %d", i, n)
				a, err := c.request(http.MethodPost, c.hosts[(i+n)%len(c.hosts)], "/"+service+"/"+key, body)
				if err != nil {
					t.Errorf("%s/%s: %v", service, key, err)
					continue
				}
				sum := sha256.Sum256([]byte(body))
				if a.status != http.StatusOK || a.echo.Key != key || a.echo.Service != service || a.echo.BodySHA256 != hex.EncodeToString(sum[:]) {
					t.Errorf("%s/%s: status %d, response %+v %s", service, key, a.status, a.echo, a.raw)
					continue
				}
				if a.echo.Upstream != a.header.Get("Burdock-Owner") {
					t.Errorf("%s/%s: response from %s, owner %s", service, key, a.echo.Upstream, a.header.Get("Burdock-Owner"))
				}
			}
		})
	}
	wg.Wait()
	// Paths with empty and dot segments must reach the upstream unchanged; a
	// listener that cleans paths would respond with a redirect.
	const odd = "/orders/key-1//a/./../b"
	for _, h := range c.hosts {
		if a, err := c.request(http.MethodGet, h, odd, ""); err != nil || a.status != http.StatusOK || a.echo.URI != odd {
			t.Errorf("%s through %s: status %d, URI %q, error %v", odd, h.name, a.status, a.echo.URI, err)
		}
	}
	c.checkLedgers()
}

// Guards against oversized input that makes the router fail or that is refused
// without the proper status.
func TestOversizedInputIsRefused(t *testing.T) {
	c := newCluster(t)
	c.publish("first-note", twoServices)
	h := c.addHost("h1", "z1", "orders")
	c.awaitServed(h, "/orders/key")
	big := strings.Repeat("x", 64<<10)
	if a, err := c.request(http.MethodGet, h, "/orders/key", "", "X-Big", big); err != nil || a.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header of 64 KiB: status %d, error %v", a.status, err)
	}
	body := strings.Repeat("x", 9<<20)
	a, err := c.request(http.MethodPost, h, "/orders/key", body)
	if err != nil || a.status != http.StatusRequestEntityTooLarge || a.header.Get("Burdock-Outcome") != "not-run" {
		t.Errorf("body of 9 MiB: status %d, outcome %q, error %v", a.status, a.header.Get("Burdock-Outcome"), err)
	}
	c.awaitServed(h, "/orders/key")
}
