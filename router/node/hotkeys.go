package node

import "burdockglade.dev/router/balance"

// hotKeys returns the hot keys with their shares of the total load of the host.
// The shares are scaled because the sketch has shares of the measured load only,
// of which a single request on an idle host is the whole. The caller holds mu.
func (m *loadMeter) hotKeys() []balance.HotKey {
	measured, total := 0.0, 0.0
	for _, s := range m.shards {
		measured += s.slotLoad
		total += s.slotLoad + idleLoad*s.shard.Fraction()
	}
	if total == 0 {
		return nil
	}
	hot := m.sketch.Above(balance.SplitShare)
	for i := range hot {
		hot[i].Share *= measured / total
		hot[i].Error *= measured / total
	}
	return hot
}

// seedHotKey sets the load of the shard of a single key that was just split off to
// the load that the sketch has for the key. Otherwise the shard would seem cold and
// the next decision would merge it again. Shards that arrived by a move have no
// entry in the sketch and are not changed. previous has the shards before the
// split. The caller holds mu.
func (m *loadMeter) seedHotKey(s *shardLoad, previous map[string]*shardLoad) {
	if s.shard.First != s.shard.Last || !s.arrivedAt.IsZero() {
		return
	}
	rate, load := 0.0, 0.0
	for _, other := range previous {
		rate += other.requestRate
		load += other.slotLoad
	}
	for _, h := range m.sketch.Above(balance.SplitShare) {
		if h.Hash == s.shard.First {
			s.requestRate, s.slotLoad = h.Share*rate, h.Share*load
		}
	}
}
