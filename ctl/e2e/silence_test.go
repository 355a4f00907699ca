package e2e

import (
	"net/http"
	"slices"
	"testing"

	"burdockglade.dev/stores/standin"
)

// Guards against requests that hang, get an answer of another request, or run
// twice when the connections between two routers go silent for good while new
// ones work: before the request is sent, and while it is at work.
func TestSilentHopConnection(t *testing.T) {
	c, entry, owner := pair(t)
	c.spread("orders", 40)
	c.pin()
	var paths []string
	eventually(t, "two keys of the other host", func() bool {
		paths = ownedBy(c.spread("orders", 40), owner.name)
		return len(paths) >= 2
	})
	c.settled(entry)
	tr := c.trial("silent")
	for _, kind := range []int{get, keyedPost, plainPost} {
		// The pooled connections go silent before the request is sent.
		u := tr.unitOf(kind, paths[0], entry, owner)
		owner.relays.hop.Blackhole()
		tr.send(u, entry, "8000")

		// The connection goes silent while the work is held at the upstream.
		u = tr.unitOf(kind, paths[1], entry, owner)
		c.upstreamFaults(owner, standin.UpstreamFaults{HoldWork: true})
		sent := make(chan answer, 1)
		go func() { sent <- tr.send(u, entry, "8000") }()
		c.runningUnless(owner, 1, sent)
		owner.relays.hop.Blackhole()
		c.upstreamFaults(owner, standin.UpstreamFaults{})
		<-sent
	}
	sum := tr.judge(false, false)
	// Reads and keyed work can be repeated or answered from the journal, so a
	// refusal of them would be true and still useless to the caller.
	for _, u := range tr.units {
		a := u.attempts[0]
		repeatable := a.method == http.MethodGet || a.key != ""
		if repeatable && a.answer.status != http.StatusOK {
			t.Errorf("%s %s key %q: status %d, %s", a.method, a.path, a.key, a.answer.status, a.answer.raw)
		}
	}
	t.Logf("%+v", sum)
}

// unitOf prepares a request whose key the owner holds, and so leaves a pooled
// connection to it.
func (tr *trial) unitOf(kind int, path string, entry, owner *host) *unit {
	tr.c.t.Helper()
	for {
		u := tr.newUnit(kind, path)
		if tr.c.served(entry, u.attempts[0].path) == owner.name {
			return u
		}
		tr.mu.Lock()
		tr.units = slices.DeleteFunc(tr.units, func(other *unit) bool { return other == u })
		tr.mu.Unlock()
	}
}

// runningUnless is running for a request whose answer, when it comes before its
// work begins, ends the wait.
func (c *cluster) runningUnless(h *host, n int, sent chan answer) {
	c.t.Helper()
	early := false
	eventually(c.t, "work is under way at "+h.name, func() bool {
		select {
		case a := <-sent:
			early = true
			sent <- a
			c.t.Errorf("answered before the work was under way: status %d, %s", a.status, a.raw)
		default:
		}
		return early || c.unitsRunning(h) >= n
	})
}

// running waits until a host's upstream has this many units at work.
func (c *cluster) running(h *host, n int) {
	c.t.Helper()
	eventually(c.t, "work is under way at "+h.name, func() bool { return c.unitsRunning(h) >= n })
}

// unitsRunning counts the units at work at a host's upstream.
func (c *cluster) unitsRunning(h *host) int {
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
