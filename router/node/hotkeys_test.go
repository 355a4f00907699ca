package node

import (
	"testing"
	"time"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// propose records the requests of one second in a meter and returns the proposals
// of a new policy.
func propose(m *loadMeter, held ownership.Group, requests map[keyspace.Hash]int, slotTime time.Duration) balance.Output {
	for h, n := range requests {
		for range n {
			m.recordRequest(held.Service, h, slotTime)
		}
	}
	m.update(time.Now(), []ownership.Group{held})
	shards, hot := m.serviceLoads(held.Service, func(string) bool { return false })
	self := balance.HostLoad{SlotLoad: m.totalLoad(), Capacity: 16}
	return balance.NewPolicy(balance.Options{}).Propose(time.Now(), balance.Input{Self: self, Shards: shards, HotKeys: hot})
}

// Guards against endless store writes on an idle service: a key with single
// requests must not become a shard of its own.
func TestSingleRequestsDoNotSplit(t *testing.T) {
	m := newLoadMeter()
	g := ownership.Group{Service: "orders", ID: "g", Shards: keyspace.Divide(4)}
	m.update(time.Now(), []ownership.Group{g})
	for range 5 {
		if out := propose(m, g, map[keyspace.Hash]int{12345: 1}, time.Millisecond); len(out.Splits)+len(out.Merges) > 0 {
			t.Fatalf("proposed %+v", out)
		}
	}
}

// Guards against a hot key that is alternately split off and merged again.
func TestHotKeyStaysSplitOff(t *testing.T) {
	m := newLoadMeter()
	const key = keyspace.Hash(12345)
	g := ownership.Group{Service: "orders", ID: "g", Shards: keyspace.Divide(4)}
	m.update(time.Now(), []ownership.Group{g})
	busy := map[keyspace.Hash]int{key: 400, 1 << 62: 100, 3 << 62: 100}
	var out balance.Output
	for range 5 {
		out = propose(m, g, busy, 10*time.Millisecond)
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
		if out := propose(m, g, busy, 10*time.Millisecond); len(out.Merges) > 0 {
			t.Fatalf("the hot key is merged again: %+v", out.Merges)
		}
	}
	// The shards of a split are not merged for some minutes, so the start of the
	// measurement is set back by an hour.
	for _, s := range m.shards {
		s.measuredSince = s.measuredSince.Add(-time.Hour)
	}
	for range 60 {
		out = propose(m, g, nil, 0)
	}
	if len(out.Merges) == 0 {
		t.Error("a key that went cold is not merged")
	}
}
