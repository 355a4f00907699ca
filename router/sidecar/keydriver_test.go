package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyown"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/steady"
)

// newTestDriver returns the driver of host h1 in a service of three hosts whose
// key map is in the store and in the index.
func newTestDriver(t *testing.T, store rowstore.Store) (*keyDriver, upstreamState) {
	t.Helper()
	d := &keyDriver{
		host: "h1", store: store, local: &localUpstream{host: "h1"}, index: newKeyIndex(),
		fleet:        fleet.NewDirectory("z1", "r1", newHopClient),
		maxHold:      time.Second,
		beatInterval: 100 * time.Millisecond,
		keyed:        func(string) bool { return true },
		ordered:      func(string) bool { return false },
		stopping:     func() time.Duration { return 0 },
		load:         func() fleet.Load { return fleet.Load{Slots: 4} },
		connect:      func(context.Context) error { return nil },
		kick:         make(chan struct{}, 1),
		grants:       keyown.NewGrants(steady.Now(), time.Second),
	}
	d.orders, d.wakeOrders = keyown.NewOrders(d.grants), func() {}
	var members []keyown.Member
	for i := range 3 {
		host := fmt.Sprintf("h%d", i)
		holder := keyown.Holder{Host: host, Instance: "i-" + host, Started: 1}
		members = append(members, keyown.Member{Holder: holder})
		d.fleet.Put(fleet.Member{Host: host, Instance: holder.Instance, Started: 1, Service: "s", Address: host + ":1", State: fleet.Ready})
	}
	m := keyown.New(members, 4)
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	version, err := store.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: rowstore.Key{Table: tableFleet, Part: "s", Name: partKeys}, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	d.index.put("s", version, m)
	d.local.heartbeat(time.Now(), Report{Instance: "i-h1", Started: 1, Sequence: 1, Service: "s", Slots: 4})
	return d, d.local.get()
}

// lapse makes the driver see that the lease of a host has lapsed, and renews
// those of the others.
func lapse(d *keyDriver, now steady.Time, host string) steady.Time {
	leases := map[string]keyown.Lease{"h0": {Version: 1}, "h1": {Version: 1}, "h2": {Version: 1}}
	for range int(leaseTime/time.Second) + 4 {
		now = now.Add(time.Second)
		for other, lease := range leases {
			if other != host {
				lease.Version++
				leases[other] = lease
			}
		}
		d.watch.Observe(now, leases, time.Second)
	}
	return now
}

// Guards against two holders: while this host waits for its turn to free the
// ranges of a lapsed host, a change for another reason must not free them
// without the condition on the lease, which the other host may just have renewed.
func TestOtherChangesDoNotFreeLapsedHosts(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	now := lapse(d, steady.Now(), "h2")
	m, _ := d.index.get("s")
	d.grants.Reset(s.holder)
	r := m.Ranges[m.Of(s.holder)[0]]
	if !d.grants.GiveUp(m, keyown.Handover{From: r.From, To: r.To, Token: "x"}) {
		t.Fatal("nothing was given up")
	}
	c := d.plan(now, s, m)
	if c.next == nil {
		t.Fatal("the released range was not taken care of")
	}
	for i := range c.next.Ranges {
		before := m.Ranges[i].Holder.Host
		after := c.next.Ranges[i].Holder.Host
		if before == "h2" && after != "h2" && len(c.lapsed) == 0 {
			t.Errorf("range %d went from h2 to %q without a condition on the lease", i, after)
		}
	}
}

// Guards against ranges that stay with a lost host, and against taking them
// without a condition on its lease.
func TestLapsedHostLosesItsRanges(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	now := lapse(d, steady.Now(), "h2")
	m, _ := d.index.get("s")
	d.plan(now, s, m)
	c := d.plan(now.Add(turn(1)), s, m)
	if c.next == nil || c.next.HeldBy("h2") {
		t.Fatal("the ranges were not taken")
	}
	if version, ok := c.lapsed["h2"]; !ok || version != 1 {
		t.Errorf("conditions %v, want version 1 of the lease of h2", c.lapsed)
	}
}

// Guards against keys that nobody serves for the rest of a lease although the
// address of their holder has gone to another host, and against taking them from a
// host that still renews.
func TestReplacedHostLosesItsRangesSooner(t *testing.T) {
	d, s := newTestDriver(t, rowstore.NewMemory())
	old := d.fleet.Host("h2").Member()
	d.fleet.Remove("h2")
	d.fleet.PutRow(old, 98)
	d.fleet.PutRow(fleet.Member{Host: "h9", Instance: "i", Service: "other", Address: "h2:1", State: fleet.Ready}, 99)
	leases := map[string]keyown.Lease{"h0": {Version: 1}, "h1": {Version: 1}, "h2": {Version: 1}}
	now := steady.Now()
	observe := func(renews ...string) {
		now = now.Add(time.Second)
		for _, host := range renews {
			leases[host] = keyown.Lease{Version: leases[host].Version + 1}
		}
		d.watch.Observe(now, leases, time.Second)
	}
	m, _ := d.index.get("s")
	for range 8 {
		observe("h0", "h1", "h2")
	}
	d.plan(now, s, m)
	if c := d.plan(now.Add(turn(1)), s, m); c.next != nil && !c.next.HeldBy("h2") {
		t.Fatal("taken from a host that renews its lease")
	}
	for range 5 {
		observe("h0", "h1")
	}
	d.plan(now, s, m)
	c := d.plan(now.Add(turn(1)), s, m)
	if c.next == nil || c.next.HeldBy("h2") {
		t.Fatal("the ranges were not taken")
	}
	if _, ok := c.lapsed["h2"]; !ok {
		t.Error("no condition on the lease of the replaced host")
	}
}
