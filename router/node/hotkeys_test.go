package node

import (
	"testing"
	"time"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// decide feeds requests of one second to a meter and returns what the policy
// proposes. The clock of the policy is fixed, which moves do not depend on here.
func decide(m *loadMeter, held ownership.Group, requests map[keyspace.Hash]int, took time.Duration) balance.Output {
	for h, n := range requests {
		for range n {
			m.add(held.Service, h, took)
		}
	}
	m.follow(time.Now(), []ownership.Group{held})
	shards, hot := m.input(held.Service, func(string) bool { return false })
	self := balance.HostLoad{SlotLoad: m.total(), Capacity: 16}
	return balance.NewPolicy(balance.Options{}).Propose(time.Now(), balance.Input{Self: self, Shards: shards, Hot: hot})
}

// Guards against writes to the store without end on an idle service: a key with
// single requests must not become a shard of its own.
func TestSingleRequestsDoNotSplit(t *testing.T) {
	m := newLoadMeter()
	g := ownership.Group{Service: "orders", ID: "g", Shards: keyspace.Divide(4)}
	m.follow(time.Now(), []ownership.Group{g})
	for range 5 {
		if out := decide(m, g, map[keyspace.Hash]int{12345: 1}, time.Millisecond); len(out.Splits)+len(out.Merges) > 0 {
			t.Fatalf("proposed %+v", out)
		}
	}
}

// Guards against a hot key that is split off and merged again in turn.
func TestHotKeyStaysSplitOff(t *testing.T) {
	m := newLoadMeter()
	const key = keyspace.Hash(12345)
	g := ownership.Group{Service: "orders", ID: "g", Shards: keyspace.Divide(4)}
	m.follow(time.Now(), []ownership.Group{g})
	busy := map[keyspace.Hash]int{key: 400, 1 << 62: 100, 3 << 62: 100}
	var out balance.Output
	for range 5 {
		out = decide(m, g, busy, 10*time.Millisecond)
	}
	if len(out.Splits) == 0 || out.Splits[0].At != key {
		t.Fatalf("the hot key is not split off: %+v", out)
	}
	var shards []keyspace.Shard
	for _, s := range g.Shards {
		shards = append(shards, s.SplitAt(key)...)
	}
	g.Shards = shards
	for range 5 {
		if out := decide(m, g, busy, 10*time.Millisecond); len(out.Merges) > 0 {
			t.Fatalf("the hot key is merged again: %+v", out.Merges)
		}
	}
	// The shards of a split stay for some minutes in any case; the measurement
	// is made to look an hour old.
	for _, s := range m.shards {
		s.since = s.since.Add(-time.Hour)
	}
	for range 60 {
		out = decide(m, g, nil, 0)
	}
	if len(out.Merges) == 0 {
		t.Error("a key that went cold is not merged")
	}
}
