package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

var t0 = time.Unix(1_800_000_000, 0)

func policy(w Weights) *Policy {
	return NewPolicy(Options{Weights: w, Rand: rand.New(rand.NewPCG(1, 2))})
}

func host(name string, load float64) HostLoad {
	return HostLoad{Host: ownership.Host{Name: name}, Region: "r1", SlotLoad: load, Capacity: 10, MeasuredAt: t0}
}

// evenShards returns n shards of one group with equal shares of the load.
func evenShards(n int, load float64) []ShardLoad {
	var shards []ShardLoad
	for _, s := range keyspace.Divide(8 * n)[:n] {
		shards = append(shards, ShardLoad{Group: "g", Shard: s, SlotLoad: load / float64(n), RequestRate: 100})
	}
	return shards
}

// imbalanced returns the input of a host with twice the load of seven others.
func imbalanced() Input {
	in := Input{Self: host("self", 8), Shards: evenShards(32, 8)}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		in.Hosts = append(in.Hosts, host(name, 4))
	}
	return in
}

var even = Weights{Imbalance: 1, Churn: 1, Unavailable: 1}

func movedLoad(moves []Move) float64 {
	sum := 0.0
	for _, m := range moves {
		sum += m.SlotLoad
	}
	return sum
}

// Guards against a policy that never moves, and against one that moves so much
// that the target becomes the hot host.
func TestProposeMovesSomeOfTheExcess(t *testing.T) {
	load := movedLoad(policy(even).Propose(t0, imbalanced()).Moves)
	if load <= 0 || load > 3.5 {
		t.Fatalf("moved %v slot-seconds/s, want some of the excess of 3.5", load)
	}
}

// Guards against weights without effect: a high weight of either cost must prevent
// moves.
func TestCostsOutweighGain(t *testing.T) {
	for name, w := range map[string]Weights{
		"churn":       {Imbalance: 1, Churn: 100, Unavailable: 0},
		"unavailable": {Imbalance: 1, Churn: 0, Unavailable: 100},
	} {
		if moves := policy(w).Propose(t0, imbalanced()).Moves; len(moves) != 0 {
			t.Errorf("weight of %s: moved %v", name, moves)
		}
	}
}

// Guards against the use of incorrect summaries: no move may go to a host whose
// summary is implausible or too old, nor to one that is leaving.
func TestUnusableTargets(t *testing.T) {
	invalidate := map[string]func(*HostLoad){
		"old":           func(h *HostLoad) { h.MeasuredAt = t0.Add(-summaryMaxAge) },
		"NaN":           func(h *HostLoad) { h.SlotLoad = math.NaN() },
		"negative":      func(h *HostLoad) { h.SlotLoad = -1 },
		"infinite":      func(h *HostLoad) { h.Capacity = math.Inf(1) },
		"no capacity":   func(h *HostLoad) { h.Capacity = 0 },
		"beyond limits": func(h *HostLoad) { h.SlotLoad = 1e9 },
		"leaving":       func(h *HostLoad) { h.Leaving = true },
	}
	for name, f := range invalidate {
		in := imbalanced()
		for i := range in.Hosts {
			f(&in.Hosts[i])
		}
		if moves := policy(even).Propose(t0, in).Moves; len(moves) != 0 {
			t.Errorf("%s: moved %v", name, moves)
		}
	}
}

// Guards against repeated moves to a host that refused, and against excluding it
// permanently.
func TestRefusalExcludesHostTemporarily(t *testing.T) {
	p := policy(even)
	in := imbalanced()
	in.Hosts = in.Hosts[:1]
	p.RecordRefusal(t0, "a")
	if moves := p.Propose(t0.Add(refusalBase-1), in).Moves; len(moves) != 0 {
		t.Fatalf("moved to a host that refused: %v", moves)
	}
	if moves := p.Propose(t0.Add(refusalBase), in).Moves; len(moves) == 0 {
		t.Fatal("host excluded after the backoff")
	}
	p.RecordRefusal(t0, "a")
	if moves := p.Propose(t0.Add(refusalBase), in).Moves; len(moves) != 0 {
		t.Fatal("the second refusal did not double the backoff")
	}
}

// Guards against a shard that two hosts move back and forth.
func TestArrivedShardStays(t *testing.T) {
	in := imbalanced()
	for i := range in.Shards {
		in.Shards[i].ArrivedAt = t0.Add(-minResidence + 1)
	}
	if moves := policy(even).Propose(t0, in).Moves; len(moves) != 0 {
		t.Fatalf("moved %v", moves)
	}
}

// Guards against moves that reverse the imbalance of two hosts: after them, the
// target must not propose moves back.
func TestNoMoveBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "shards")
		in := imbalanced()
		in.Hosts = in.Hosts[:1]
		in.Self.SlotLoad = rapid.Float64Range(4, 20).Draw(t, "load")
		in.Shards = evenShards(n, in.Self.SlotLoad)
		moves := policy(even).Propose(t0, in).Moves
		moved := movedLoad(moves)
		back := Input{Self: host("a", 4+moved), Hosts: []HostLoad{host("self", in.Self.SlotLoad-moved)}}
		back.Shards = evenShards(n, in.Self.SlotLoad)
		if again := policy(even).Propose(t0, back).Moves; len(moves) > 0 && len(again) > 0 {
			t.Fatalf("moved %v, then back %v", moves, again)
		}
	})
}

// Guards against moving too much to a host whose summary does not include the last
// move yet.
func TestSentLoadIsCounted(t *testing.T) {
	p := policy(even)
	in := imbalanced()
	in.Hosts = in.Hosts[:1]
	p.RecordMove(t0, Move{Target: in.Hosts[0].Host, SlotLoad: 6})
	if moves := p.Propose(t0, in).Moves; len(moves) != 0 {
		t.Fatalf("moved %v", moves)
	}
	in.Hosts[0].MeasuredAt = t0.Add(reportLag)
	if moves := p.Propose(t0.Add(reportLag), in).Moves; len(moves) == 0 {
		t.Fatal("a newer summary without the load is not used")
	}
}

// Guards against overloading a host that has just joined and is cold.
func TestColdHostReceivesLess(t *testing.T) {
	in := imbalanced()
	in.Hosts = in.Hosts[:1]
	in.Hosts[0].SlotLoad = 0.1
	warm := movedLoad(policy(even).Propose(t0, in).Moves)
	in.Hosts[0].JoinedAt = t0
	cold := movedLoad(policy(even).Propose(t0, in).Moves)
	if cold == 0 || cold >= warm {
		t.Fatalf("cold host receives %v, warm host %v", cold, warm)
	}
}

// Guards against avoidable traffic between regions, which is billed.
func TestSameRegionPreferred(t *testing.T) {
	in := imbalanced()
	for i := range in.Hosts {
		in.Hosts[i].Region = "r2"
	}
	in.Hosts[3].Region = "r1"
	for _, m := range policy(even).Propose(t0, in).Moves {
		if m.Target.Name != "d" {
			t.Fatalf("moved to %s in another region", m.Target.Name)
		}
	}
	for i := range in.Shards {
		in.Shards[i].CallerRegions = map[string]float64{"r2": 1}
	}
	for _, m := range policy(even).Propose(t0, in).Moves {
		if m.Target.Name == "d" {
			t.Fatal("callers of r2 served from r1")
		}
	}
}

// Guards against a hot key that keeps the other keys of its shard on an overloaded
// host, against repeated splits of a shard, and against a split key that is never
// merged back.
func TestSplitAndMerge(t *testing.T) {
	in := imbalanced()
	at := in.Shards[3].Shard.First + 5
	in.HotKeys = []HotKey{{Hash: at, Share: 0.3}, {Hash: at + 1, Share: 0.2}, {Hash: in.Shards[4].Shard.First, Share: 0.15, Error: 0.1}}
	splits := policy(even).Propose(t0, in).Splits
	if len(splits) != 1 || splits[0] != (Split{Group: "g", Shard: in.Shards[3].Shard, At: at}) {
		t.Fatalf("splits %v", splits)
	}
	var parts []ShardLoad
	for _, s := range in.Shards[3].Shard.SplitAt(at) {
		parts = append(parts, ShardLoad{Group: "g", Shard: s, ArrivedAt: t0.Add(-mergeAge)})
	}
	whole := in.Shards[3].Shard
	in.Shards = append(parts, in.Shards[4:]...)
	in.HotKeys = in.HotKeys[:1]
	if out := policy(even).Propose(t0, in); len(out.Splits) != 0 {
		t.Fatalf("split a single-hash shard: %v", out.Splits)
	}
	merges := policy(even).Propose(t0, in).Merges
	if len(merges) != 1 || merges[0].Into != whole || len(merges[0].Shards) != 3 {
		t.Fatalf("merges %v", merges)
	}
	fresh := in
	fresh.Shards = slices.Clone(in.Shards)
	fresh.Shards[1].MeasuredSince = t0.Add(-mergeAge + 1)
	if merges := policy(even).Propose(t0, fresh).Merges; len(merges) != 0 {
		t.Fatalf("merged a shard that was just split off: %v", merges)
	}
	beside := in
	beside.HotKeys = []HotKey{{Hash: parts[0].Shard.First + 1, Share: 0.3}}
	if out := policy(even).Propose(t0, beside); len(out.Splits) != 1 || len(out.Merges) != 0 {
		t.Fatalf("splits %v, merges %v", out.Splits, out.Merges)
	}
	parts[1].SlotLoad = 1
	if merges := policy(even).Propose(t0, in).Merges; len(merges) != 1 {
		t.Fatal("the input must not be shared with the policy")
	}
	in.Shards[1].SlotLoad = 1
	if merges := policy(even).Propose(t0, in).Merges; len(merges) != 0 {
		t.Fatalf("merged a hot key: %v", merges)
	}
}

// Guards against a leaving host that omits a shard, moves one twice, mixes groups in
// a batch, uses a single target, or moves busy shards before idle ones.
func TestEvacuateCoversEveryShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := imbalanced()
		n := rapid.IntRange(1, 120).Draw(t, "shards")
		in.Shards = evenShards(n, 8)
		for i := range in.Shards {
			in.Shards[i].Group = rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group")
			in.Shards[i].InFlight = rapid.IntRange(0, 1).Draw(t, "in flight")
			in.Shards[i].Pinned = true
		}
		group := map[keyspace.Shard]string{}
		for _, s := range in.Shards {
			group[s.Shard] = s.Group
		}
		busy := false
		targets := map[string]bool{}
		moves := policy(even).Evacuate(t0, in)
		for _, m := range moves {
			if busy && !m.Busy {
				t.Fatal("idle batch after a busy one")
			}
			busy = m.Busy
			targets[m.Target.Name] = true
			if len(m.Shards) > maxBatchShards {
				t.Fatalf("batch of %d", len(m.Shards))
			}
			for _, s := range m.Shards {
				if group[s] != m.Group {
					t.Fatalf("shard %v moved twice or with group %s", s, m.Group)
				}
				delete(group, s)
			}
		}
		if len(group) != 0 {
			t.Fatalf("%d shards not moved", len(group))
		}
		if len(moves) > 1 && len(targets) < 2 {
			t.Fatal("one target for several batches")
		}
	})
}

// Guards against a sketch that misses a hot key, reports one that is not hot, or
// still reports a key that was hot minutes ago.
func TestSketch(t *testing.T) {
	s := NewSketch()
	rng := rand.New(rand.NewPCG(5, 6))
	now := t0
	feed := func(hot keyspace.Hash) {
		for i := range 60_000 {
			now = now.Add(time.Millisecond)
			h := keyspace.Hash(rng.Uint64())
			if i%5 == 0 {
				h = hot
			}
			s.Add(now, h, 1)
		}
	}
	feed(1)
	hot := s.Above(SplitShare)
	if len(hot) != 1 || hot[0].Hash != 1 || math.Abs(hot[0].Share-0.2) > 0.03 {
		t.Fatalf("hot keys %v, want hash 1 with a share of 0.2", hot)
	}
	feed(2)
	feed(2)
	hot = s.Above(SplitShare)
	if len(hot) != 1 || hot[0].Hash != 2 {
		t.Fatalf("hot keys %v, want hash 2 after two minutes", hot)
	}
}

// Guards against counts that overflow or become NaN after a long time without load,
// which would hide every hot key.
func TestSketchAfterIdleTime(t *testing.T) {
	for _, idle := range []time.Duration{0, time.Hour, 30 * 24 * time.Hour} {
		s := NewSketch()
		s.Add(t0, 1, 1)
		s.Add(t0, 2, math.NaN())
		s.Add(t0, 3, -1)
		s.Add(t0.Add(idle), 4, 3)
		hot := s.Above(0.5)
		if len(hot) != 1 || hot[0].Hash != 4 || !(hot[0].Share <= 1) {
			t.Errorf("after %v without load: hot keys %v", idle, hot)
		}
	}
}

// Guards against shares whose error bounds do not include the true share.
func TestSketchErrorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSketch()
		exact := map[keyspace.Hash]float64{}
		total := 0.0
		keys := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 400).Draw(t, "keys")
		for _, k := range keys {
			// Small numbers are drawn more often.
			h := keyspace.Hash(k * k / 200)
			s.Add(t0, h, 1)
			exact[h]++
			total++
		}
		for _, hot := range s.Above(0.05) {
			share := exact[hot.Hash] / total
			if share > hot.Share+1e-9 || share < hot.Share-hot.Error-1e-9 {
				t.Fatalf("hash %v: share %v outside %v-%v", hot.Hash, share, hot.Share-hot.Error, hot.Share)
			}
		}
	})
}

func BenchmarkSketchAdd(b *testing.B) {
	s := NewSketch()
	rng := rand.New(rand.NewPCG(5, 6))
	hashes := make([]keyspace.Hash, 1<<12)
	for i := range hashes {
		hashes[i] = keyspace.Hash(rng.Uint64())
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Add(t0, hashes[i%len(hashes)], 1)
		i++
	}
}

// Guards against keys that are blocked by a long request on another key because both
// shards are in the same move.
func TestEvacuateMovesEachBusyShardAlone(t *testing.T) {
	in := Input{Self: HostLoad{Capacity: 16, SlotLoad: 1}}
	for i, shard := range keyspace.Divide(6) {
		in.Shards = append(in.Shards, ShardLoad{Group: "g", Shard: shard, InFlight: i % 2})
	}
	in.Hosts = []HostLoad{{Host: ownership.Host{Name: "target"}, Capacity: 16, MeasuredAt: time.Unix(1, 0)}}
	p := NewPolicy(Options{Rand: rand.New(rand.NewPCG(1, 2))})
	for _, m := range p.Evacuate(time.Unix(2, 0), in) {
		if m.Busy && len(m.Shards) != 1 {
			t.Errorf("%d shards in one move although one of them is busy", len(m.Shards))
		}
	}
}
