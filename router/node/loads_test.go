package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

func notPinned(string) bool { return false }

// Guards against load that is counted for the wrong shard or service, which would
// make the placement move the wrong keys.
func TestLoadIsCountedForShardOfKey(t *testing.T) {
	m := newLoadMeter()
	shards := keyspace.Divide(2)
	held := []ownership.Group{
		{Service: "orders", ID: "a", Shards: shards[:1]},
		{Service: "orders", ID: "b", Shards: shards[1:]},
		{Service: "board", ID: "c", Shards: shards},
	}
	m.update(time.Now(), held)
	m.recordRequest("orders", shards[1].First, time.Second)
	m.recordRegion("orders", shards[1].First, "r1")
	m.recordRegion("orders", shards[1].First, "r2")
	m.recordRegion("orders", shards[1].First, "r2")
	m.recordRegion("orders", shards[1].First, "r2")
	m.update(time.Now(), held)
	loads, _ := m.serviceLoads("orders", notPinned)
	if len(loads) != 2 {
		t.Fatalf("%d shards, want 2", len(loads))
	}
	if loads[0].RequestRate != 0 || loads[1].RequestRate != loadDecay || loads[1].Group != "b" {
		t.Errorf("rates %v and %v of group %q", loads[0].RequestRate, loads[1].RequestRate, loads[1].Group)
	}
	want := map[string]float64{"r1": 0.25, "r2": 0.75}
	if diff := cmp.Diff(want, loads[1].CallerRegions, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a shard that moves again immediately after it arrived by a move,
// and against one that arrived by a takeover and may not move.
func TestOnlyMovedShardsCountAsArrivals(t *testing.T) {
	m := newLoadMeter()
	shards := keyspace.Divide(2)
	now := time.Unix(1000, 0)
	m.recordArrivals(now, "orders", shards[:1])
	m.update(time.Now(), []ownership.Group{{Service: "orders", ID: "a", Shards: shards}})
	loads, _ := m.serviceLoads("orders", notPinned)
	if !loads[0].ArrivedAt.Equal(now) || !loads[1].ArrivedAt.IsZero() {
		t.Errorf("arrivals %v and %v", loads[0].ArrivedAt, loads[1].ArrivedAt)
	}
}

// Guards against unlimited memory for unknown regions.
func TestNumberOfCallerRegionsIsLimited(t *testing.T) {
	m := newLoadMeter()
	shards := keyspace.Divide(1)
	held := []ownership.Group{{Service: "orders", ID: "a", Shards: shards}}
	m.update(time.Now(), held)
	for i := range 100 {
		m.recordRegion("orders", 0, string(rune('a'+i)))
	}
	if n := len(m.shards[0].regions); n != maxCallerRegions {
		t.Errorf("%d regions, want %d", n, maxCallerRegions)
	}
	for range 100 {
		m.update(time.Now(), held)
	}
	if n := len(m.shards[0].regions); n != 0 {
		t.Errorf("%d regions remain without requests", n)
	}
}
