package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/residency"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// newRegionCluster returns a cluster whose hosts serve the services in the regions, each
// given as "service region".
func newRegionCluster(t *testing.T, hosts ...string) (*cluster, *refusalCount) {
	t.Helper()
	refusals := &refusalCount{}
	c := newUnconfiguredCluster(t, nil)
	c.log = event.NewLogger(refusals, log.InfoLevel)
	c.addFirst(hosts...)
	c.waitReady()
	return c, refusals
}

// restrict publishes a configuration and waits until it is in force at the hosts.
func (c *cluster) restrict(version uint64, restrictions string, hosts ...*testHost) {
	c.t.Helper()
	c.publish(fmt.Sprint(version, " ", restrictions))
	c.eventually("configuration in force", func() bool {
		for _, h := range hosts {
			if h.config.version() != version {
				return false
			}
		}
		return true
	})
}

// refusalCount counts the log lines of calls that a gate refused because of its region.
type refusalCount struct{ atomic.Int64 }

// Write implements io.Writer.
func (n *refusalCount) Write(line []byte) (int, error) {
	if bytes.Contains(line, fmt.Appendf(nil, `"event":%d`, eventRegionRefused.Number)) {
		n.Add(1)
	}
	return len(line), nil
}

// Guards against requests that run in, or bodies that are sent to, a region that is not
// allowed, also when the request begins there, when no host is allowed, and when the only
// allowed region is lost.
func TestRequestsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	c, refusals := newRegionCluster(t, "plain r1", "plain r2", "plain r1", "plain r3")
	c.restrict(2, "look=r2 pay=r8 new=r9", c.hosts...)
	for i := range 10 {
		if got := c.hosts[0].request(t, "POST", "/look/x", fmt.Sprint("l", i), "body"); got.status != 200 || !strings.HasPrefix(got.body, "i-h1 ") {
			t.Errorf("got %d %q, want a response of h1", got.status, got.body)
		}
	}
	closed := ports{}
	address := closed.address(t)
	_ = closed[address].Close()
	c.hosts[0].fleet.Put(fleet.Member{Host: "lost", Service: "plain", Region: "r9", Address: address, Slots: 4, State: fleet.Ready})
	for i, path := range []string{"/pay/x", "/new/x", "/new/x"} {
		got := c.hosts[0].request(t, "POST", path, fmt.Sprint("p", i), "body")
		if got.status != 503 || !strings.Contains(got.body, string(errkind.RegionUnavailable)) || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got %d %q, want a refusal because of the region", path, got.status, got.body)
		}
	}
	if n := refusals.Load(); n != 0 {
		t.Errorf("%d calls were sent to hosts that must not run them", n)
	}
}

// Guards against requests that run in a region that is not allowed because their sender has
// an older configuration, and against a body that reaches a second host there.
func TestGateChecksRegionByItsOwnConfiguration(t *testing.T) {
	t.Parallel()
	c, refusals := newRegionCluster(t, "plain r1", "plain r1", "plain r2")
	c.decode = func(data []byte) (vhost.Config, error) {
		if string(data) != "1" {
			return vhost.Config{}, errors.New("stays with the older configuration")
		}
		return decodeTestConfig(data)
	}
	c.region = "r1"
	sender := c.add("h3", "caller")
	c.waitReady()
	c.restrict(2, "look=r2 pay=r2", c.hosts[:3]...)
	for i := range 20 {
		path := []string{"/look/x?q", "/pay/%78"}[i%2]
		if got := sender.request(t, "POST", path, fmt.Sprint("r", i), "body"); got.status != 200 || !strings.HasPrefix(got.body, "i-h2 ") {
			t.Errorf("%s: got %d %q, want a response of h2", path, got.status, got.body)
		}
	}
	if n := refusals.Load(); n == 0 || n > 20 {
		t.Errorf("%d refusals of 20 requests in the region, want 1 to 20", n)
	}
}

// Guards against keys that stay outside the allowed regions after a change, and against
// unheld keys or requests that run when no host is allowed.
func TestKeysMoveWithRegions(t *testing.T) {
	t.Parallel()
	c, refusals := newRegionCluster(t, "keyed r1", "keyed r2")
	held := func(i int) int { return len(c.hosts[i].upstream.heldGrants()) }
	c.waitKeysHeld()
	for version, to := range []int{2: 1, 3: 0} {
		if version < 2 {
			continue
		}
		c.restrict(uint64(version), fmt.Sprintf("keys=r%d", to+1), c.hosts...)
		c.eventually("keys are in the region", func() bool { return held(1-to) == 0 && held(to) == 2*maxInitialRangesPerMember })
		if got := c.hosts[1-to].request(t, "GET", "/keys/x", "k", "", "Key", "7"); got.status != 200 {
			t.Errorf("region r%d: got %d %s", to+1, got.status, got.body)
		}
	}
	c.restrict(4, "keys=r9", c.hosts...)
	got := c.hosts[0].request(t, "GET", "/keys/x", "none", "", "Key", "7")
	if got.status != 503 || !strings.Contains(got.body, string(errkind.RegionUnavailable)) {
		t.Errorf("no region: got %d %s", got.status, got.body)
	}
	c.restrict(5, "keys=r1,r2", c.hosts...)
	if got := c.hosts[1].request(t, "GET", "/keys/x", "again", "", "Key", "7"); got.status != 200 {
		t.Errorf("region added: got %d %s", got.status, got.body)
	}
	if n := refusals.Load(); n != 0 {
		t.Errorf("%d requests were sent to a holder that must not run them", n)
	}
}

// Guards against keys without a holder after the loss of the only region in which they may
// be held.
func TestKeysOfLostRegionGoToOtherHosts(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	only := d.fleet.Host("h2").Member()
	only.Region = "r2"
	d.fleet.Put(only)
	routes := []vhost.Route{{Clusters: []vhost.Cluster{{Service: "s", Weight: 1}}, Regions: []string{"r2"}}}
	d.keyRegions = func(service string) residency.Regions { return residency.KeyRegions(routes, service) }
	m, _ := d.index.get("s")
	c := d.plan(boottime.Now(), s, m)
	for _, i := range c.next.RangesOf(s.holder) {
		if c.next.Ranges[i].Next != "h2" {
			t.Errorf("range %d is to move to %q, want h2", i, c.next.Ranges[i].Next)
		}
	}
	now := lapseLease(d, boottime.Now(), "h2")
	d.plan(now, s, m)
	c = d.plan(now.Add(takeoverDelay(1)), s, m)
	if held := c.next.CountByHost(); held["h2"] != 0 || held["h0"]+held["h1"] != len(m.Ranges) {
		t.Errorf("ranges by host: %v", held)
	}
}

// Guards against requests that each wait for a time-out after the loss of their only region.
func TestLostRegionGetsOnlyProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &entry{fleet: fleet.NewDirectory("z1", "r1", newHopClient)}
		e.fleet.Put(fleet.Member{Host: "lost", Service: "s", Region: "r2", Address: "lost:1", State: fleet.Ready})
		lost := e.fleet.Host("lost")
		lost.RequestStarted()
		lost.RequestDone(time.Now(), fleet.Result{})
		for i, want := range []*fleet.Host{lost, nil, nil} {
			h, r := e.chooseAllowed(&Call{Service: "s"}, nil, func(fleet.Member) bool { return true })
			if h != want || (h == nil && r.Err.Kind != errkind.RegionUnavailable) {
				t.Errorf("choice %d: %v, %+v", i, h, r)
			}
		}
	})
}

// Guards against a refusal that routers of earlier versions take for an unknown outcome.
func TestRegionRefusalIsKnownToEarlierVersions(t *testing.T) {
	h := &hopHandler{config: &currentConfig{}}
	head := h.responseHead(errorResult(errkind.RegionUnavailable, "detail"))
	if head.Kind != string(errkind.NoOwner) {
		t.Errorf("kind %q", head.Kind)
	}
	r := hopResult(&hop.Response{ResponseHead: head, Body: http.NoBody}, testHeaders, &Call{})
	if r.Err.Kind != errkind.RegionUnavailable || !r.notRun() {
		t.Errorf("decoded as %v", r.Err)
	}
}

// Guards against a gate that looks up another path than the entry.
func TestRequestPathIsThatOfTheEntry(t *testing.T) {
	for _, line := range []string{"GET /a%2fb/../c?x=/y", "GET //a/b", "GET /a?b=%41", "GET /a#b?c", "GET /é", "GET http://h/a?b", "OPTIONS *", "CONNECT h:1", "CONNECT /a", "GET /a;b%20"} {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		if got := requestPath(req.Method, req.RequestURI); got != req.URL.Path {
			t.Errorf("%s: path %q, want %q", line, got, req.URL.Path)
		}
	}
}
