package sidecar

import (
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// recoveringFleet is the drivers of three hosts whose store is put back to a copy from
// before they had leases and the last key map.
type recoveringFleet struct {
	t       *testing.T
	store   *rowstore.Memory
	drivers []*keyDriver
	before  *keyrange.Map
}

func newRecoveringFleet(t *testing.T) *recoveringFleet {
	t.Helper()
	f := &recoveringFleet{t: t, store: rowstore.NewMemory()}
	template, _ := newTestDriver(t, rowstore.NewMemory())
	f.before, _ = template.index.get("s")
	value, err := f.before.Encode()
	if err != nil {
		t.Fatal(err)
	}
	older := f.store.Copy()
	version, err := f.store.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: mapKey("s", 0), Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, host := range []string{"h0", "h1", "h2"} {
		d, _ := newTestDriver(t, rowstore.NewMemory())
		d.host, d.local, d.index = host, &localUpstream{host: host}, newKeyIndex()
		d.store = &rowstore.EraStore{Store: f.store, Eras: d.eras}
		d.local.recordHeartbeat(time.Now(), Heartbeat{Instance: "i-" + host, Started: 1, Sequence: 1, Service: "s", Slots: 4})
		d.grants.Reset(d.local.get().holder)
		d.index.put("s", version, f.before)
		f.drivers = append(f.drivers, d)
	}
	f.step(0, 1, 2)
	for _, d := range f.drivers {
		if d.leaseEnd == 0 {
			t.Fatalf("%s has no lease", d.host)
		}
	}
	f.store.Restore(older)
	return f
}

// step lets the hosts act, one after another. Each knows the rows of the store before.
func (f *recoveringFleet) step(hosts ...int) {
	f.t.Helper()
	for _, i := range hosts {
		d := f.drivers[i]
		rows, _, err := f.store.List(f.t.Context(), tableFleet, "s")
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range rows {
			m, err := keyrange.DecodeMap(r.Value)
			if err != nil {
				f.t.Fatal(err)
			}
			d.index.put("s", r.Version, m)
		}
		d.lastRenewal, d.lastLeaseRead = 0, 0 // both are due
		d.step(f.t.Context(), d.local.get())
	}
}

// newMap returns the key map with ranges that the store has in its era, or nil.
func (f *recoveringFleet) newMap() *keyrange.Map {
	f.t.Helper()
	rows, _, err := f.store.List(f.t.Context(), tableFleet, "s")
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range rows {
		if m, err := keyrange.DecodeMap(r.Value); err == nil && r.Key == mapKey("s", f.store.Era()) && len(m.Ranges) > 0 {
			return m
		}
	}
	return nil
}

// grants returns the ranges that the host would grant now.
func (f *recoveringFleet) grants(host int) []keyrange.Grant {
	d := f.drivers[host]
	d.mu.Lock()
	defer d.mu.Unlock()
	m, _ := d.grantMap("s")
	granted, _ := d.grants.Renew(boottime.Now(), m, d.local.get().holder, false, d.leaseEnd, d.maxHeartbeatHold)
	return granted
}

// Guards against a key map that is made before all hosts that may hold keys have claimed
// them, and against holders that lose their keys, or go on with other generations, because
// the store has lost what it knew.
func TestKeyMapIsMadeFromAllClaims(t *testing.T) {
	f := newRecoveringFleet(t)
	f.step(0, 1, 0, 1, 0, 1)
	if m := f.newMap(); m != nil {
		t.Fatalf("a map was made without the claims of h2: %+v", m.Ranges)
	}
	if len(f.grants(0)) != 4 || len(f.grants(2)) != 4 {
		t.Errorf("h0 grants %d ranges and h2 %d, want the 4 that each holds", len(f.grants(0)), len(f.grants(2)))
	}
	f.step(2, 0, 0, 0)
	m := f.newMap()
	if m == nil {
		t.Fatal("no map was made from the claims of all hosts")
	}
	for i, r := range m.Ranges {
		if was := f.before.Ranges[i]; r.Holder != was.Holder || r.Generation != was.Generation || r.From != was.From || r.To != was.To {
			t.Errorf("range %d is %+v, was %+v", i, r, was)
		}
	}
	if m.Generation <= f.before.Generation+1000 {
		t.Errorf("generations count on from %d after %d", m.Generation, f.before.Generation)
	}
	f.step(0, 1, 2)
	if len(f.grants(2)) != 4 {
		t.Errorf("h2 grants %d ranges by the new map, want 4", len(f.grants(2)))
	}
}

// Guards against two holders: once all earlier leases have ended, other hosts get the keys of
// a host that has not claimed them. It must not grant them when it learns of the new era.
func TestHostThatClaimsTooLateLosesItsKeys(t *testing.T) {
	f := newRecoveringFleet(t)
	f.step(0, 1)
	late := f.drivers[2]
	for _, d := range f.drivers[:2] {
		d.era.entered -= boottime.Time(oldLeasesEnd) + 1
	}
	f.step(0, 1, 0, 0, 0, 0)
	m := f.newMap()
	if m == nil {
		t.Fatal("no map was made after the leases had ended")
	}
	if m.HasHolder("h2") {
		t.Error("h2 has keys that it has not claimed")
	}
	late.leaseEnd = boottime.Now() // as it has ended for the others
	f.step(2, 2)
	if granted := f.grants(2); len(granted) > 0 {
		t.Errorf("h2 grants %v", granted)
	}
	for _, r := range m.Ranges {
		if was := f.before.Find(r.From); was.Holder.Host == "h2" && r.Held() && r.Generation <= f.before.Generation {
			t.Errorf("keys from %d go to %s with generation %d, which is not above the earlier ones", r.From, r.Holder.Host, r.Generation)
		}
	}
}

// Guards against keys that nobody serves until the new map is made, up to 10 s, because they
// were to move when the store was put back: their next holder gets them by no map any more.
// Ranges that the upstream is already to release must not be granted again.
func TestNewMovesAreDroppedInNewEra(t *testing.T) {
	for name, want := range map[string]int{"upstream still holds the range": 4, "upstream is to release it": 3} {
		t.Run(name, func(t *testing.T) {
			f := newRecoveringFleet(t)
			f.grants(0)
			d := f.drivers[0]
			_, version := d.index.get("s")
			planned := f.before.Clone()
			planned.PlanMove(planned.RangesOf(d.local.get().holder)[0], "h2")
			d.index.put("s", version+1, planned)
			if want == 3 {
				f.grants(0)
			}
			f.step(0)
			if granted := f.grants(0); len(granted) != want {
				t.Errorf("h0 grants %d ranges before there is a new map, want %d of the 4 that it claims", len(granted), want)
			}
		})
	}
}
