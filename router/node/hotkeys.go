package node

import "burdockglade.dev/router/balance"

// hot returns the hot keys with their shares of the load of the host. The
// sketch knows shares of the measured load only, and a single request on an
// idle host is all of that. The caller holds mu.
func (m *loadMeter) hot() []balance.Hot {
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

// seed gives the shard of a key that was just split off the load that the
// sketch knows of it. Without it the shard would seem cold and be merged again
// in the next decision. Shards that a move brought have no entry in the sketch
// and are left alone. The caller holds mu.
func (m *loadMeter) seed(s *shardLoad, known map[string]*shardLoad) {
	if s.shard.First != s.shard.Last || !s.arrived.IsZero() {
		return
	}
	rate, load := 0.0, 0.0
	for _, other := range known {
		rate += other.rate
		load += other.slotLoad
	}
	for _, h := range m.sketch.Above(balance.SplitShare) {
		if h.Hash == s.shard.First {
			s.rate, s.slotLoad = h.Share*rate, h.Share*load
		}
	}
}
