package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// runFor starts n hosts in the zones, lets them run for a while, and calls measure.
func (f *configFleet) runFor(t *testing.T, n, zones int, requests bool, measure func()) {
	f.zones = zones
	f.start(t, n)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.run(ctx, requests); close(done) }()
	time.Sleep(5 * time.Second)
	measure()
	cancel()
	<-done
}

// quietFleetChecks bounds the checks of a fleet without faults: those of the first host, and
// as many again by all others together.
const quietFleetChecks = 2 * 40 * 2

// Guards against checks of many hosts while one host could check for all.
func TestQuietFleetMakesFewChecks(t *testing.T) {
	for _, interval := range []time.Duration{0, time.Second, 60 * time.Millisecond} {
		t.Run(fmt.Sprintf("request every %v", interval), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &configFleet{requestInterval: interval}
				f.runFor(t, 78, 6, interval > 0, func() {
					checks, asks := f.checks.Load(), f.asks.Load()
					time.Sleep(40 * time.Second)
					checks, asks = f.checks.Load()-checks, f.asks.Load()-asks
					t.Logf("%d checks and %d comparisons in 40 s", checks, asks)
					if checks > quietFleetChecks {
						t.Errorf("%d checks in 40 s, want %d at most", checks, quietFleetChecks)
					}
				})
			})
		})
	}
}

// Guards against a fleet in which each change costs a call to the store for each host, or for
// each zone.
func TestChangesAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zones, changes = 6, 4
		f := &configFleet{feeds: true}
		f.runFor(t, 78, zones, false, func() {
			time.Sleep(30 * time.Second) // watches of the store that were sent at the start have ended
			watches := f.watches.Load()
			for version := range changes {
				if took := f.checkChange(t, version+2); took > configInForce {
					t.Errorf("in force after %v", took)
				}
				time.Sleep(10 * time.Second)
			}
			if watches = f.watches.Load() - watches; watches > 2*changes {
				t.Errorf("%d watches of the store for %d changes", watches, changes)
			}
			t.Logf("%d watches of the store for %d changes", watches, changes)
		})
	})
}

// Guards against a change that is late, or a configuration that is confirmed wrongly, because
// hosts rely on another one that is lost, cut off from the store, or unreachable for some.
func TestLostCheckersDoNotDelayChange(t *testing.T) {
	const hosts, zones = 18, 3
	host := func(lost ...int) func(int) bool { return func(h int) bool { return slices.Contains(lost, h) } }
	randomHalf := func(a, b int) bool { return (min(a, b)*7919+max(a, b)*104729)%14 < 7 }
	firstZone := func(h int) bool { return h%zones == 0 }
	odd := func(h int) bool { return h%2 == 1 }
	firstHalf := func(h int) bool { return h < hosts/2 }
	for name, fault := range map[string]*fleetFault{
		"none":                            {},
		"first host of the fleet lost":    {frozen: host(0)},
		"first host of a zone lost":       {frozen: host(1)},
		"first hosts of all zones lost":   {frozen: host(0, 1, 2)},
		"first three hosts of zones lost": {frozen: func(h int) bool { return h < 9 }},
		"first host cut off from store":   {noStore: host(0)},
		"first hosts cut off from store":  {noStore: host(0, 1, 2)},
		"half of the links lost":          {noLink: randomHalf},
		"zone of the first host cut off":  {noLink: func(a, b int) bool { return firstZone(a) != firstZone(b) }},
		// Hosts without a path to the store are bound by the limit once they have one again.
		"half of the hosts cut off from store":               {noStore: odd, unbound: true},
		"half of the hosts and of the links cut off":         {noStore: odd, noLink: randomHalf, unbound: true},
		"first half of the hosts cut off from store":         {noStore: firstHalf, unbound: true},
		"first half of the hosts, half of the links cut off": {noStore: firstHalf, noLink: randomHalf, unbound: true},
	} {
		for _, mode := range []struct{ requests, feeds bool }{{false, false}, {true, false}, {false, true}} {
			t.Run(fmt.Sprintf("%s, requests %v, feeds %v", name, mode.requests, mode.feeds), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &configFleet{feeds: mode.feeds}
					f.runFor(t, hosts, zones, mode.requests, func() { f.checkChanges(t, fault) })
				})
			})
		}
	}
}

// Guards against a change that is late in a large fleet because the host that reads the
// configuration for all zones is lost or gets nothing from the store.
func TestLostFleetReaderDoesNotDelayConfig(t *testing.T) {
	const hosts, zones = maxDirectFleet + 8, 4
	isReader := func(h int) bool { return h == 0 }
	for name, fault := range map[string]*fleetFault{
		"lost":                {frozen: isReader},
		"cut off from store":  {noStore: isReader},
		"links to zones lost": {noLink: func(a, b int) bool { return a%zones == 0 != (b%zones == 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &configFleet{feeds: true}
				f.runFor(t, hosts, zones, false, func() { f.checkChanges(t, fault) })
			})
		})
	}
}

// checkChanges publishes changes just after a fault, while it lasts, while it comes and goes,
// and after it.
func (f *configFleet) checkChanges(t *testing.T, fault *fleetFault) {
	t.Helper()
	var slowest time.Duration
	version := 1
	change := func() {
		version++
		slowest = max(slowest, f.checkChange(t, version))
	}
	for range 2 {
		time.Sleep(rand.N(3 * time.Second))
		f.fault.Store(fault)
		time.Sleep(rand.N(500 * time.Millisecond))
		change()
		time.Sleep(rand.N(5 * time.Second))
		change()
		for range 3 { // paused for less time than it takes to avoid a host for long
			f.fault.Store(nil)
			time.Sleep(rand.N(time.Second))
			f.fault.Store(fault)
			time.Sleep(rand.N(time.Second))
		}
		change()
		if fault.unbound {
			slowest = max(slowest, f.checkPathsBack(t, fault, change, &version))
		}
		f.fault.Store(nil)
		time.Sleep(3 * time.Second) // a call that was sent during the fault may take 2 s to fail
		change()
	}
	if slowest > configInForce {
		t.Errorf("a version was in force after %v, want %v at most", slowest, configInForce)
	}
	f.fault.Store(fault)
	time.Sleep(20 * time.Second)
	before := f.checks.Load()
	time.Sleep(20 * time.Second)
	t.Logf("slowest %v; %d checks in 20 s of the fault without changes", slowest, f.checks.Load()-before)
}

// checkPathsBack checks that hosts that were cut off from the store have a change that was
// published meanwhile in time after they have a path to the store again, also while links
// between hosts stay lost.
func (f *configFleet) checkPathsBack(t *testing.T, fault *fleetFault, change func(), version *int) (slowest time.Duration) {
	t.Helper()
	for range 8 {
		time.Sleep(rand.N(5 * time.Second))
		published := time.Now()
		change()
		time.Sleep(rand.N(2 * time.Second))
		f.fault.Store(&fleetFault{noLink: fault.noLink})
		slowest = max(slowest, f.awaitVersion(t, *version, published))
		f.fault.Store(fault)
	}
	return slowest
}

// Guards against a host whose configuration is confirmed by another one, so that it does not
// check with the store, and which does not learn of an evacuated zone from that host.
func TestConfirmationBringsEvacuatedZones(t *testing.T) {
	t.Parallel()
	c := newZonedCluster(t, map[string]string{"h0": "z1", "silent": "z2"}, "plain")
	h := c.addWithStore("silent", "plain", hangingConfigStore{c.store})
	c.waitReady()
	c.eventually("the host is confirmed by another one", func() bool { return time.Since(h.config.lastConfirmed()) < configInForce })
	setEvacuated(t, c.store, "z1", true)
	evacuatedAt := time.Now()
	c.eventually("the configuration is confirmed again", func() bool {
		confirmed := h.config.lastConfirmed().After(evacuatedAt)
		if confirmed && !h.evacuation.evacuated("z1") {
			t.Fatal("confirmed without the evacuated zone")
		}
		return confirmed
	})
}
