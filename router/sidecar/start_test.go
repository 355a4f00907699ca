package sidecar

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

// recordedStore records the calls of one host that read tables, and counts those of all
// kinds.
type recordedStore struct {
	rowstore.Store
	// delay is the time that a response takes.
	delay time.Duration

	mu    sync.Mutex
	calls []string
}

func (r *recordedStore) record(format string, args ...any) {
	time.Sleep(r.delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, fmt.Sprintf(format, args...))
}

func (r *recordedStore) reads() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *recordedStore) Parts(ctx context.Context, table string) ([]string, int64, error) {
	r.record("parts %s", table)
	return r.Store.Parts(ctx, table)
}

func (r *recordedStore) List(ctx context.Context, table, part string) ([]rowstore.Row, int64, error) {
	r.record("list %s/%s", table, part)
	return r.Store.List(ctx, table, part)
}

// readsAtStart returns the calls of a started host that read the fleet and the configuration.
func (c *cluster) readsAtStart(name, service string) (*testHost, []string) {
	c.t.Helper()
	store := &recordedStore{Store: c.store}
	h := c.addWithStore(name, service, store)
	c.eventually("the host is ready", h.Ready)
	c.eventually("the host knows the fleet", func() bool { return len(h.fleet.Members("keyed")) >= 2 })
	var reads []string
	for _, call := range store.reads() {
		if call != "list "+tableLease+"/keyed" {
			reads = append(reads, call)
		}
	}
	return h, reads
}

// Guards against starts that read all tables from the store although a host of the zone has
// them, and against a started host that lacks what the store has.
func TestStartThroughZone(t *testing.T) {
	t.Parallel()
	c := newZonedCluster(t, nil, "keyed", "keyed")
	c.waitReady()
	c.eventually("there is a key map", func() bool { m, _ := c.hosts[0].index.get("keyed"); return m != nil })
	c.publish("2")
	setEvacuated(t, c.store, "z9", true)
	c.eventually("the change is in force", func() bool { return c.hosts[0].config.version() == 2 && c.hosts[0].evacuation.evacuated("z9") })
	h, reads := c.readsAtStart("new", "plain")
	if len(reads) != 1 || reads[0] != "list fleet/members" {
		t.Errorf("the host read %q", reads)
	}
	if h.config.version() != 2 || !h.evacuation.evacuated("z9") {
		t.Errorf("version %d, evacuated %v", h.config.version(), h.evacuation.evacuated("z9"))
	}
	// The host that was asked may have made the map itself and not read it yet.
	c.eventually("the key map is known", func() bool { m, _ := h.index.get("keyed"); return m != nil })
	// What changes later arrives as on any other host.
	setEvacuated(t, c.store, "z9", false)
	c.publish("3")
	c.eventually("later changes arrive", func() bool { return h.config.version() == 3 && !h.evacuation.evacuated("z9") })
	// A host that refuses, or is silent, is replaced by the next one.
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for _, address := range []string{"127.0.0.1:1", silent.Addr().String()} {
		h.fleet.Put(fleet.Member{Host: "lost", Zone: "z1", Region: "r1", Service: "plain", Address: address, State: fleet.Ready, LinkMbps: 1000})
		if r, ok := h.askStartSources(t.Context(), tableFleet); !ok || r.host.Member().Host != "h0" {
			t.Errorf("with a lost host at %s: %v, %+v", address, ok, r.host)
		}
	}
}

// cuttableStore loses all calls while cut is set.
type cuttableStore struct {
	rowstore.Store
	cut *atomic.Bool
}

func (s cuttableStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	rows, version, err := s.Store.Watch(ctx, table, after, wait)
	if s.cut.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return rows, version, err
}

// Guards against a host that starts with what a host of another zone has read, or one that
// was cut off from the store and does not know that it is behind.
func TestStartReadsStoreIfZoneIsBehind(t *testing.T) {
	t.Parallel()
	c := newZonedCluster(t, map[string]string{"far": "z2"})
	var cut atomic.Bool
	for _, name := range []string{"h0", "h1"} {
		c.addWithStore(name, "keyed", cuttableStore{c.store, &cut})
	}
	c.waitReady()
	c.eventually("there is a key map", func() bool { m, _ := c.hosts[0].index.get("keyed"); return m != nil })
	_, reads := c.readsAtStart("far", "plain")
	if len(reads) < 4 {
		t.Errorf("a host of another zone read %q", reads)
	}
	t.Logf("alone in its zone: %q", reads)
	cut.Store(true)
	c.publish("2")
	c.eventually("the zone is behind", func() bool {
		_, configAge := c.hosts[0].config.confirmed(time.Now())
		fleetAge, _ := c.hosts[0].feeds[tableFleet].Age(time.Now())
		return configAge > configInForce && fleetAge > maxFleetFeedAge
	})
	h, reads := c.readsAtStart("new", "plain")
	if len(reads) < 4 || h.config.version() != 2 {
		t.Errorf("version %d, reads %q", h.config.version(), reads)
	}
}
