package sidecar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

// followFleets starts n hosts that follow the fleet, and calls measure. If oneReader is false,
// the reader of each zone reads the store, as in small fleets.
func (f *configFleet) followFleets(t *testing.T, n, zones int, oneReader bool, measure func()) {
	f.feeds, f.zones = true, zones
	f.start(t, n)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	for i, s := range f.hosts {
		s.fleetFed.Store = s.directStore
		s.fleetFed.Source = func() (rowstore.WatchFunc, func(error)) { return f.feedSource(i) }
		s.fleetFed.StoreReader = func() (rowstore.WatchFunc, func(error)) {
			if !oneReader {
				return nil, nil
			}
			return f.storeReader(i)
		}
		tasks.Go(func() { s.followFleet(ctx) })
	}
	defer tasks.Wait()
	defer cancel()
	time.Sleep(10 * time.Second)
	measure()
}

// changedHost is the host whose member row the tests of this file change.
const changedHost = 5

// changeMember changes the slots in a member row.
func (f *configFleet) changeMember(t *testing.T, slots int) {
	t.Helper()
	m := fleet.Member{Host: fmt.Sprintf("h%03d", changedHost), Zone: f.zone(changedHost), Region: "r1", Service: "plain", Address: fmt.Sprintf("127.0.0.1:%d", changedHost+1), State: fleet.Ready, Instance: "i", Started: 1, Slots: slots}
	value, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.memory.Commit(t.Context(), rowstore.Txn{Writes: []rowstore.Write{{Key: memberKey(m.Host), Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// fleetChange changes the member row and returns the time until the hosts that count know it.
func (f *configFleet) fleetChange(t *testing.T, slots int, counts func(host int) bool) time.Duration {
	t.Helper()
	f.changeMember(t, slots)
	changedAt := time.Now()
	for i, s := range f.hosts {
		for counts(i) && s.fleet.Host(fmt.Sprintf("h%03d", changedHost)).Member().Slots < slots {
			if time.Since(changedAt) > time.Minute {
				t.Fatalf("host %d does not know the change after a minute", i)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(changedAt)
}

// Guards against a fleet in which each change costs a call to the store for each zone, and
// against changes that arrive late because they take one step more.
func TestOneHostReadsFleet(t *testing.T) {
	const zones, changes = 6, 100
	for _, hosts := range []int{78, 40} {
		watches, slowest := map[bool]int64{}, map[bool]time.Duration{}
		for _, oneReader := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f := &configFleet{}
				f.followFleets(t, hosts, zones, oneReader, func() {
					before := f.watches.Load()
					for change := range changes {
						took := f.fleetChange(t, change+1, func(int) bool { return true })
						slowest[oneReader] = max(slowest[oneReader], took)
						time.Sleep(time.Duration(change) * 7 * time.Millisecond)
					}
					watches[oneReader] = f.watches.Load() - before
				})
			})
		}
		t.Logf("%d hosts: %d watches, slowest change %v with one reader for each zone; %d and %v with one reader", hosts, watches[false], slowest[false], watches[true], slowest[true])
		if hosts <= maxDirectFleet {
			if watches[true] < zones*changes/2 {
				t.Errorf("%d hosts do not read as before: %d watches", hosts, watches[true])
			}
			continue
		}
		if 4*watches[true] > watches[false] {
			t.Errorf("%d watches with one reader, %d with one for each zone", watches[true], watches[false])
		}
		if slowest[true] > slowest[false]+100*time.Millisecond {
			t.Errorf("a change took %v, %v with one reader for each zone", slowest[true], slowest[false])
		}
	}
}

// Guards against a fleet that does not learn of changes because its reader is lost, cut off
// from the store, or not reachable for other zones.
func TestLostFleetReader(t *testing.T) {
	const hosts, zones = 78, 6
	isReader := func(h int) bool { return h == 0 }
	inZone := func(h int) bool { return h%zones == 0 }
	for name, c := range map[string]struct {
		fault *fleetFault
		// counts are the hosts that must learn of the change, and limit the time for which
		// the reader's loss may delay it.
		counts func(host int) bool
		limit  time.Duration
	}{
		// A zone that lost its reader waits for a watch of its feed that times out.
		"lost":                {&fleetFault{frozen: isReader}, func(h int) bool { return h != 0 }, relayedCallTimeout + time.Second},
		"lost, other zones":   {&fleetFault{frozen: isReader}, func(h int) bool { return !inZone(h) }, maxFleetReaderWatch + storeCallTimeout + time.Second},
		"cut off from store":  {&fleetFault{noStore: isReader}, func(h int) bool { return !inZone(h) }, maxFleetFeedAge + maxFleetReaderWatch + time.Second},
		"links to zones lost": {&fleetFault{noLink: func(a, b int) bool { return inZone(a) != inZone(b) }}, func(int) bool { return true }, maxFleetReaderWatch + storeCallTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &configFleet{}
				f.followFleets(t, hosts, zones, true, func() {
					slots := 0
					change := func() time.Duration { slots++; return f.fleetChange(t, slots, c.counts) }
					change()
					var slowest time.Duration
					for range 4 {
						f.fault.Store(c.fault)
						slowest = max(slowest, change())
						time.Sleep(3 * time.Second)
						slowest = max(slowest, change())
						f.fault.Store(nil)
						// The longest backoff, and a watch that was sent during the fault.
						time.Sleep(failedReaderBackoff<<3 + 30*time.Second)
						change()
						time.Sleep(time.Second)
						before := f.watches.Load()
						change()
						time.Sleep(time.Second)
						if made := f.watches.Load() - before; made > 2 {
							t.Errorf("%d watches for a change after the end of the fault", made)
						}
					}
					if slowest > c.limit {
						t.Errorf("a change took %v, want %v at most", slowest, c.limit)
					}
					t.Logf("slowest %v", slowest)
				})
			})
		})
	}
}

// Guards against a feed call whose requirement is lost in the message between routers.
func TestFeedFromStoreOverConnection(t *testing.T) {
	t.Parallel()
	c := newZonedCluster(t, map[string]string{"h0": "z1", "h1": "z2"}, "plain", "plain")
	c.waitReady()
	c.eventually("the host reads the store", c.hosts[0].fleetFed.Direct)
	remote := &remoteStore{client: c.hosts[1].fleet.Host("h0").Client}
	rows, version, err := remote.watchFeedFromStore(t.Context(), tableFleet, 0, time.Second)
	if err != nil || len(rows) == 0 || version == 0 {
		t.Errorf("got %d rows, version %d, %v", len(rows), version, err)
	}
	// A host that relays feeds only its own zone.
	h := &hopHandler{feeds: map[string]*rowstore.Feed{tableFleet: rowstore.NewFeed(func() rowstore.Reading { return rowstore.Relays })}}
	if r := h.callStore(t.Context(), storeCall{Call: storeFeed, Table: tableFleet, FromStore: true}); !r.NotFed {
		t.Errorf("got %+v, want NotFed", r)
	}
}
