package sidecar

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

// Guards against member rows that accumulate as hosts are replaced, and against the
// removal of a host that responds intermittently or is in another zone.
func TestSweeperRemovesFailedHostsOfItsZone(t *testing.T) {
	d := fleet.NewDirectory("z1", "r1", newHopClient)
	for host, zone := range map[string]string{"self": "z1", "lost": "z1", "alive": "z1", "shaky": "z1", "far": "z2"} {
		d.Put(fleet.Member{Host: host, Zone: zone, Service: "s", Address: host + ":1", State: fleet.Ready})
	}
	round := 0
	var removed []string
	s := &sweeper{
		host: "self", zone: "z1", fleet: d,
		probe: func(_ context.Context, h *fleet.Host) error {
			name := h.Member().Host
			if name == "alive" || (name == "shaky" && round == 2) {
				return nil
			}
			return errors.New("no response")
		},
		remove: func(_ context.Context, host string) error {
			removed = append(removed, host)
			return nil
		},
	}
	for ; round < maxFailedProbes; round++ {
		s.sweep(t.Context())
	}
	if !slices.Equal(removed, []string{"lost"}) {
		t.Errorf("removed %v, want only the failed host", removed)
	}
}

// Guards against notices of leaving that accumulate as hosts are replaced, and against the loss
// of those of a host whose router is just being started again.
func TestSweeperRemovesNoticesOfGoneHosts(t *testing.T) {
	t.Parallel()
	store := rowstore.NewMemory()
	h := newEvacuationHost(store)
	keep := func(host string) {
		r := &leaveRecord{host: host, store: store, eras: h.eras}
		if !r.keep(t.Context(), time.Now(), Withdrawal{Instance: "a", Started: 1}) {
			t.Fatal("the notice is not written")
		}
	}
	for _, host := range []string{"gone", "known", "back"} {
		keep(host)
	}
	know := func(host string) {
		h.fleet.Put(fleet.Member{Host: host, Zone: "z1", Service: "s", Address: host + ":1", State: fleet.Ready})
	}
	know("known")
	h.sweeper.sweepNotices(t.Context())
	know("back")
	h.sweeper.sweepNotices(t.Context())
	hosts, _, err := store.Parts(t.Context(), tableLeave)
	if err != nil || !slices.Equal(hosts, []string{"back", "known"}) {
		t.Errorf("notices of %v, %v; want only the gone host's removed", hosts, err)
	}
}

// Guards against a running host that others no longer find after its row was removed.
func TestRemovedHostRejoins(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "plain", "plain")
	c.waitReady()
	rows, _, err := c.store.List(t.Context(), tableFleet, partMembers)
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(rows, func(r rowstore.Row) bool { return r.Name == "h1" })
	if i < 0 {
		t.Fatal("h1 has no row")
	}
	if err := removeMember(t.Context(), c.store, "h1", rows[i].Version); err != nil {
		t.Fatal(err)
	}
	c.eventually("h1 has written its row again", func() bool {
		rows, _, err := c.store.List(t.Context(), tableFleet, partMembers)
		return err == nil && slices.ContainsFunc(rows, func(r rowstore.Row) bool { return r.Name == "h1" })
	})
}
