package e2e

import (
	"net/http"
	"slices"
	"testing"

	"burdockglade.dev/stores/standin"
)

// Guards against requests that hang, get the response of another request, or run
// twice when existing connections between two routers stop carrying data while new
// ones work: before the request is sent, and while it runs.
func TestSilentHopConnection(t *testing.T) {
	c, entry, owner := twoRelayedHosts(t)
	c.awaitSpread("orders", 40)
	c.disablePlacement()
	var paths []string
	eventually(t, "two keys of the other host", func() bool {
		paths = ownedBy(c.awaitSpread("orders", 40), owner.name)
		return len(paths) >= 2
	})
	c.awaitStandbys(entry)
	wl := c.newWorkload("silent")
	for _, kind := range []int{get, keyedPost, plainPost} {
		// The pooled connections stop carrying data before the request is sent.
		u := wl.unitOwnedBy(kind, paths[0], entry, owner)
		owner.relays.hop.Blackhole()
		wl.send(u, entry, "8000")

		// The connection stops carrying data while the upstream holds the work.
		u = wl.unitOwnedBy(kind, paths[1], entry, owner)
		c.upstreamFaults(owner, standin.UpstreamFaults{HoldWork: true})
		sent := make(chan response, 1)
		go func() { sent <- wl.send(u, entry, "8000") }()
		c.awaitRunningUnless(owner, 1, sent)
		owner.relays.hop.Blackhole()
		c.upstreamFaults(owner, standin.UpstreamFaults{})
		<-sent
	}
	sum := wl.check(false, false)
	// Reads can be retried, and keyed work can be retried or answered from the
	// journal, so neither may be refused, not even with a correct outcome.
	for _, u := range wl.units {
		a := u.attempts[0]
		repeatable := a.method == http.MethodGet || a.key != ""
		if repeatable && a.response.status != http.StatusOK {
			t.Errorf("%s %s key %q: status %d, %s", a.method, a.path, a.key, a.response.status, a.response.raw)
		}
	}
	t.Logf("%+v", sum)
}

// unitOwnedBy prepares a request whose key is owned by the given host. Its probe
// leaves a pooled connection to that host.
func (wl *workload) unitOwnedBy(kind int, path string, entry, owner *host) *unit {
	wl.c.t.Helper()
	for {
		u := wl.newUnit(kind, path)
		if wl.c.awaitServed(entry, u.attempts[0].path) == owner.name {
			return u
		}
		wl.mu.Lock()
		wl.units = slices.DeleteFunc(wl.units, func(other *unit) bool { return other == u })
		wl.mu.Unlock()
	}
}

// awaitRunningUnless waits like awaitRunning. A response that arrives before the
// work runs ends the wait and fails the test.
func (c *cluster) awaitRunningUnless(h *host, n int, sent chan response) {
	c.t.Helper()
	early := false
	eventually(c.t, "work is in progress at "+h.name, func() bool {
		select {
		case a := <-sent:
			early = true
			sent <- a
			c.t.Errorf("response before the work ran: status %d, %s", a.status, a.raw)
		default:
		}
		return early || c.runningUnits(h) >= n
	})
}

// awaitRunning waits until a host's upstream runs at least n units.
func (c *cluster) awaitRunning(h *host, n int) {
	c.t.Helper()
	eventually(c.t, "work is in progress at "+h.name, func() bool { return c.runningUnits(h) >= n })
}

// runningUnits returns the number of units that a host's upstream is running.
func (c *cluster) runningUnits(h *host) int {
	l, err := c.ledger(h)
	if err != nil {
		return 0
	}
	count := 0
	for _, u := range l.Units {
		if u.State == standin.UnitRunning {
			count++
		}
	}
	return count
}
