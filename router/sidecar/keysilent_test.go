package sidecar

import (
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// Guards against keys that are not served, and a change of the key map in each step, while the
// heartbeats of an upstream are late: what it no longer holds must not be assigned to it again.
func TestKeysOfSilentUpstreamGoToOtherHosts(t *testing.T) {
	for _, host := range []string{"h0", "h1"} { // h0 is the first to assign free ranges
		d, _ := newTestDriver(t, rowstore.NewMemory())
		d.host, d.local = host, &localUpstream{host: host}
		d.local.recordHeartbeat(time.Now().Add(-2*d.maxHeartbeatHold), Heartbeat{Instance: "i-" + host, Started: 1, Sequence: 1, Service: "s", Slots: 4})
		s := d.local.get()
		d.recordReleases(s, Heartbeat{})
		m, _ := d.index.get("s")
		changes, now := 0, boottime.Now().Add(2*d.maxHeartbeatHold)
		for since := time.Duration(0); since < 3*time.Second; since += checkInterval {
			if c := d.plan(now.Add(since), s, m); c.next != nil {
				m = c.next
				changes++
			}
		}
		if held := m.CountByHost(); held[host] != 0 || len(held) != 2 || changes != 1 {
			t.Errorf("%s is silent: ranges by host %v after %d changes, want none there after one", host, held, changes)
		}
	}
}

// Guards against changes of the key map that help nobody while the only upstream is silent.
func TestKeysOfOnlyUpstreamStayWhileItIsSilent(t *testing.T) {
	d, _ := newTestDriver(t, rowstore.NewMemory())
	d.fleet.Remove("h0")
	d.fleet.Remove("h2")
	d.local = &localUpstream{host: "h1"}
	d.local.recordHeartbeat(time.Now().Add(-2*d.maxHeartbeatHold), Heartbeat{Instance: "i-h1", Started: 1, Sequence: 1, Service: "s", Slots: 4})
	s := d.local.get()
	d.recordReleases(s, Heartbeat{})
	m := keyrange.NewMap([]keyrange.Member{{Holder: s.holder}}, 4)
	now := boottime.Now().Add(2 * d.maxHeartbeatHold)
	for since := time.Duration(0); since < 3*time.Second; since += checkInterval {
		if c := d.plan(now.Add(since), s, m); c.next != nil {
			t.Fatalf("the map was changed (%s)", c.reason)
		}
	}
}
