package sidecar

import (
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// Guards against keys that no upstream holds because the initial key map is put off whenever
// the set of members changes: one upstream is ready in every other second only.
func TestInitialKeyMapWhileMemberFlaps(t *testing.T) {
	t.Parallel()
	d, s := newTestDriver(t, rowstore.NewMemory())
	flapping, now := d.fleet.Host("h2").Member(), boottime.Now()
	const limit = 10 * time.Second
	for since := time.Duration(0); since < limit; since += checkInterval {
		flapping.State = fleet.Ready
		if since/time.Second%2 == 1 {
			flapping.State = fleet.Draining
		}
		d.fleet.Put(flapping)
		if c := d.plan(now.Add(since), s, &keyrange.Map{}); c.next != nil {
			held := c.next.CountByHost()
			if held["h0"] == 0 || held["h1"] == 0 || held["h2"] != 0 || c.next.Find(keyrange.MaxKey) == nil {
				t.Errorf("ranges by host: %v, want them at the two steady ones", held)
			}
			return
		}
	}
	t.Errorf("no key map within %v", limit)
}
