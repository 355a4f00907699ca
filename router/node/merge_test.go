package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// Guards against a hot key that is merged again right after it was split off,
// because its shard has no measured load yet: each split and merge writes a row
// that is sent to all routers, and the key could never move.
func TestNewlySplitShardsAreNotMerged(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := newLoadMeter()
	whole := keyspace.Divide(1)
	m.update(now, []ownership.Group{{Service: "s", ID: "g", Shards: whole}})
	const hot = keyspace.Hash(1 << 40)
	m.update(now.Add(time.Second), []ownership.Group{{Service: "s", ID: "g", Shards: whole[0].SplitAt(hot)}})
	policy := balance.NewPolicy(balance.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	merges := func(at time.Duration) int {
		shards, _ := m.serviceLoads("s", func(string) bool { return false })
		self := balance.HostLoad{Host: ownership.Host{Name: "h"}, SlotLoad: 5, Capacity: 16}
		return len(policy.Propose(now.Add(at), balance.Input{Self: self, Shards: shards}).Merges)
	}
	if n := merges(2 * time.Second); n != 0 {
		t.Errorf("%d merges a second after the split", n)
	}
	if n := merges(time.Hour); n != 1 {
		t.Errorf("%d merges of a cold shard after an hour", n)
	}
}
