package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// newTestDriver returns the driver of host h1 in a service of three hosts. Their key map
// is in the store and in the index.
func newTestDriver(t *testing.T, store rowstore.Store) (*keyDriver, upstreamState) {
	t.Helper()
	d := &keyDriver{
		eras: &rowstore.Eras{},
		host: "h1", store: store, local: &localUpstream{host: "h1"}, index: newKeyIndex(),
		fleet:             fleet.NewDirectory("z1", "r1", newHopClient),
		maxHeartbeatHold:  time.Second,
		heartbeatInterval: 100 * time.Millisecond,
		keyed:             func(string) bool { return true },
		keysByCommand:     func(string) bool { return false },
		stoppingFor:       func() time.Duration { return 0 },
		load:              func() fleet.Load { return fleet.Load{Slots: 4} },
		connect:           func(context.Context) error { return nil },
		wakeCh:            make(chan struct{}, 1),
		grants:            keyrange.NewGrants(boottime.Now(), time.Second),
	}
	d.commands, d.wakeCommands = keyrange.NewCommands(d.grants), func() {}
	var members []keyrange.Member
	for i := range 3 {
		host := fmt.Sprintf("h%d", i)
		holder := keyrange.Holder{Host: host, Instance: "i-" + host, Started: 1}
		members = append(members, keyrange.Member{Holder: holder})
		d.fleet.Put(fleet.Member{Host: host, Instance: holder.Instance, Started: 1, Service: "s", Address: host + ":1", State: fleet.Ready})
	}
	m := keyrange.NewMap(members, 4)
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	version, err := store.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: rowstore.Key{Table: tableFleet, Part: "s", Name: partKeys}, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	d.index.put("s", version, m)
	d.local.recordHeartbeat(time.Now(), Heartbeat{Instance: "i-h1", Started: 1, Sequence: 1, Service: "s", Slots: 4})
	return d, d.local.get()
}

// lapseLease makes the driver observe that the lease of a host has lapsed while the
// others are renewed.
func lapseLease(d *keyDriver, now boottime.Time, host string) boottime.Time {
	leases := map[string]keyrange.Lease{"h0": {Version: 1}, "h1": {Version: 1}, "h2": {Version: 1}}
	for range int(leaseDuration/time.Second) + 4 {
		now = now.Add(time.Second)
		for other, lease := range leases {
			if other != host {
				lease.Version++
				leases[other] = lease
			}
		}
		d.leaseWatch.Observe(now, leases, time.Second)
	}
	return now
}

// Guards against two holders: while this host waits for its turn to free the ranges of a
// lapsed host, a change for another reason must not free them without the condition on
// the lease, which the other host may just have renewed.
func TestOtherChangesDoNotFreeLapsedHosts(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	now := lapseLease(d, boottime.Now(), "h2")
	m, _ := d.index.get("s")
	d.grants.Reset(s.holder)
	r := m.Ranges[m.RangesOf(s.holder)[0]]
	if !d.grants.RecordRelease(m, keyrange.Handover{From: r.From, To: r.To, Token: "x"}) {
		t.Fatal("no range was released")
	}
	c := d.plan(now, s, m)
	if c.next == nil {
		t.Fatal("the released range was not freed")
	}
	for i := range c.next.Ranges {
		before := m.Ranges[i].Holder.Host
		after := c.next.Ranges[i].Holder.Host
		if before == "h2" && after != "h2" && len(c.lapsed) == 0 {
			t.Errorf("range %d went from h2 to %q without a condition on the lease", i, after)
		}
	}
}

// Guards against ranges that stay with a failed host, and against taking them without a
// condition on its lease.
func TestLapsedHostLosesItsRanges(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	now := lapseLease(d, boottime.Now(), "h2")
	m, _ := d.index.get("s")
	d.plan(now, s, m)
	c := d.plan(now.Add(takeoverDelay(1)), s, m)
	if c.next == nil || c.next.HasHolder("h2") {
		t.Fatal("the ranges were not taken over")
	}
	if version, ok := c.lapsed["h2"]; !ok || version != 1 {
		t.Errorf("conditions %v, want version 1 of the lease of h2", c.lapsed)
	}
}

// Guards against keys that are unavailable for the rest of a lease although the address
// of their holder now belongs to another host, and against taking them from a host that
// still renews.
func TestReplacedHostLosesItsRangesEarlier(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	old := d.fleet.Host("h2").Member()
	d.fleet.Remove("h2")
	d.fleet.PutRow(old, 98)
	d.fleet.PutRow(fleet.Member{Host: "h9", Instance: "i", Service: "other", Address: "h2:1", State: fleet.Ready}, 99)
	leases := map[string]keyrange.Lease{"h0": {Version: 1}, "h1": {Version: 1}, "h2": {Version: 1}}
	now := boottime.Now()
	observe := func(renews ...string) {
		now = now.Add(time.Second)
		for _, host := range renews {
			leases[host] = keyrange.Lease{Version: leases[host].Version + 1}
		}
		d.leaseWatch.Observe(now, leases, time.Second)
	}
	m, _ := d.index.get("s")
	for range 8 {
		observe("h0", "h1", "h2")
	}
	d.plan(now, s, m)
	if c := d.plan(now.Add(takeoverDelay(1)), s, m); c.next != nil && !c.next.HasHolder("h2") {
		t.Fatal("ranges were taken over from a host that renews its lease")
	}
	for range 5 {
		observe("h0", "h1")
	}
	d.plan(now, s, m)
	c := d.plan(now.Add(takeoverDelay(1)), s, m)
	if c.next == nil || c.next.HasHolder("h2") {
		t.Fatal("the ranges were not taken over")
	}
	if _, ok := c.lapsed["h2"]; !ok {
		t.Error("no condition on the lease of the replaced host")
	}
}

// committedDriver returns a driver whose first renewal has succeeded, with the state of
// its upstream and the version of the key map.
func committedDriver(t *testing.T, store rowstore.Store) (*keyDriver, upstreamState, int64) {
	t.Helper()
	d, s := newTestDriver(t, store)
	_, version := d.index.get("s")
	d.commit(t.Context(), "s", version, mapChange{})
	if d.leaseEnd == 0 {
		t.Fatal("the first renewal failed")
	}
	return d, s, version
}

// writeMap stores the key map as another host does, together with deletes.
func writeMap(t *testing.T, store rowstore.Store, m *keyrange.Map, version int64, deletes ...rowstore.Key) {
	t.Helper()
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	key := rowstore.Key{Table: tableFleet, Part: "s", Name: partKeys}
	if _, err := store.Commit(t.Context(), rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: key, Version: version}},
		Writes:     []rowstore.Write{{Key: key, Value: value}},
		Deletes:    deletes,
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against two holders: a host whose ranges another one has taken over must not
// renew its lease before it knows the new map.
func TestHostCannotRenewWithoutNewMapAfterTakeover(t *testing.T) {
	store := rowstore.NewMemory()
	d, s, version := committedDriver(t, store)
	m, _ := d.index.get("s")
	taken := m.Clone()
	taken.FreeRangesOf("h1")
	writeMap(t, store, taken, version, rowstore.Key{Table: tableLease, Part: "s", Name: "h1"})
	end := d.leaseEnd
	d.commit(t.Context(), "s", version, mapChange{})
	if d.leaseEnd != end {
		t.Error("the lease was renewed with the old map")
	}
	d.commit(t.Context(), "s", version, mapChange{})
	if d.leaseEnd != end {
		t.Error("the lease was renewed without the version of the new map")
	}
	m, version = d.index.get("s")
	d.commit(t.Context(), "s", version, mapChange{})
	if d.leaseEnd == end || len(m.RangesOf(s.holder)) != 0 {
		t.Error("the host does not renew its lease with the new map")
	}
}

// Guards against a newly started router that mistakes an old map, received from another
// host, for the newest one.
func TestFirstRenewalNeedsTheNewestMap(t *testing.T) {
	store := rowstore.NewMemory()
	d, _ := newTestDriver(t, store)
	m, version := d.index.get("s")
	changed := m.Clone()
	changed.PlanMove(0, "h1")
	writeMap(t, store, changed, version)
	d.commit(t.Context(), "s", version, mapChange{})
	if d.leaseEnd != 0 {
		t.Error("the lease was renewed with an old map")
	}
}

// Guards against renewals that fail more often the more hosts a service has, because each
// change of the map by one host fails the renewals of all others that are in progress.
func TestMapChangesOfOtherHostsDoNotFailRenewals(t *testing.T) {
	store := rowstore.NewMemory()
	d, _, version := committedDriver(t, store)
	m, _ := d.index.get("s")
	changed := m.Clone()
	changed.PlanMove(0, "h2")
	writeMap(t, store, changed, version)
	end := d.leaseEnd
	d.commit(t.Context(), "s", version, mapChange{})
	if d.leaseEnd == end {
		t.Error("the renewal failed after a change of another host's ranges")
	}
}

// Guards against a host that loses its lease, and thereby all keys, because a change of
// the map does not fit into a row.
func TestOversizeMapDoesNotStopLeaseRenewal(t *testing.T) {
	store := rowstore.NewMemory()
	d, _, version := committedDriver(t, store)
	var members []keyrange.Member
	for i := range 124 {
		members = append(members, keyrange.Member{Holder: keyrange.Holder{Host: fmt.Sprintf("sidecar-host-%d", i), Instance: "i", Started: 1}})
	}
	end := d.leaseEnd
	d.commit(t.Context(), "s", version, mapChange{next: keyrange.NewMap(members, 60), reason: "test"})
	if _, now := d.index.get("s"); now != version || d.leaseEnd == end {
		t.Error("want the old map and a renewed lease")
	}
}

// Guards against keys that move to a failed host, which has no load and few ranges until
// its lease lapses.
func TestKeysMoveOnlyToReachableHosts(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	failed := d.fleet.Host("h2")
	failed.RequestStarted()
	failed.RequestDone(time.Now(), fleet.Result{})
	for _, m := range d.reachable(d.eligibleMembers(s.service, boottime.Now())) {
		if m.Host == "h2" {
			t.Error("the unreachable host may be assigned keys")
		}
	}
	failed.RequestStarted()
	failed.RequestDone(time.Now(), fleet.Result{Reached: true})
	if n := len(d.reachable(d.eligibleMembers(s.service, boottime.Now()))); n != 3 {
		t.Errorf("%d hosts may be assigned keys, want all 3 when all are reachable", n)
	}
}

// Guards against keys that nobody serves when an upstream leaves within 4 s of the start of
// its router. Keys granted by heartbeats must move with their release; those granted by
// commands cannot move yet, so that they must stay held while the gate passes requests on.
func TestKeysOfLeavingUpstreamAreServedAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		byCommand      bool
		router, notice time.Duration // times since the start and since the notice
		released       int           // ranges of 4 that are released
	}{
		"heartbeats":                 {false, time.Second, 0, 4},
		"commands, router new":       {true, time.Second, 0, 0},
		"commands, notice expired":   {true, time.Second, 2 * time.Second, 4},
		"commands, router not new":   {true, time.Minute, 0, 4},
		"heartbeats, router not new": {false, time.Minute, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			d, s := newTestDriver(t, rowstore.NewMemory())
			now := boottime.Now()
			d.drainLimit, d.maxHold, d.leaseEnd = time.Second, commandHold, now.Add(leaseDuration)
			d.keysByCommand = func(string) bool { return c.byCommand }
			d.grants = keyrange.NewGrants(now.Add(-c.router), commandHold)
			d.commands = keyrange.NewCommands(d.grants)
			m, _ := d.index.get("s")
			d.recordReleases(s, Heartbeat{})
			d.local.withdraw(time.Now().Add(-c.notice), Withdrawal{Instance: "i-h1", Started: 1})
			s = d.local.get()
			released := 0
			if c.byCommand {
				for _, command := range d.dueCommands(s) {
					if command.Release {
						released++
					}
				}
			} else {
				d.recordReleases(s, Heartbeat{Released: []keyrange.Handover{{To: keyrange.MaxKey, Token: "x"}}})
				if next := d.plan(now, s, m).next; next != nil {
					released = 4 - len(next.RangesOf(s.holder))
				}
			}
			if released != c.released {
				t.Errorf("%d ranges are released, want %d", released, c.released)
			}
			if next := d.plan(now, s, m).next; c.released == 0 && next != nil {
				t.Errorf("a move is planned that cannot take place: %+v", next.Ranges)
			}
		})
	}
}
