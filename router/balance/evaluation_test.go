package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

// The parameters of the evaluation model: rounds of decisions for hosts with
// closed-form loads, without messages, queues or failures.
const (
	modelSeeds         = 4
	modelHosts         = 60
	modelShardsPerHost = 100
	modelSlots         = 18.0
	modelLoad          = 9.0 // mean slot-seconds/s of a host
	modelRate          = 6000.0
	modelRound         = 5 * time.Second
	modelWarmUp        = 60  // rounds that are reported separately
	modelRounds        = 420 // 35 min
	modelHotKeys       = 36
	modelHotShare      = 0.1
	modelHotChange     = 24 // rounds; a sixth of the hot keys changes every 2 min
	modelLag           = 2  // rounds by which summaries are delayed
	modelNoise         = 0.1
	modelWait          = 30 * time.Millisecond
	modelFailedWait    = 100 * time.Millisecond // move.DrainLimit
	modelFailShare     = 0.05                   // share of moves that are aborted because of a long request
)

type modelShard struct {
	shard   keyspace.Shard
	base    int // index of the base shard that contains it
	arrived time.Time
	load    float64 // smoothed load
}

type modelHost struct {
	policy *Policy
	shards []modelShard
	hot    map[keyspace.Hash]float64 // smoothed load
	past   []float64                 // true loads of the last rounds, newest last
}

type model struct {
	rng     *rand.Rand
	now     time.Time
	bases   []keyspace.Shard
	density []float64 // slot-seconds/s of each base shard without hot keys
	hot     []keyspace.Hash
	hotLoad []float64
	hosts   []modelHost
	moved   float64 // share of the key space
	unavail time.Duration
	blocked float64 // request-seconds
}

func zipf(n int, s float64) []float64 {
	w := make([]float64, n)
	sum := 0.0
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}

func newModel(w Weights, seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_800_000_000, 0)}
	m.bases = keyspace.Divide(modelHosts * modelShardsPerHost)
	total := modelLoad * modelHosts
	for _, share := range zipf(len(m.bases), 0.6) {
		m.density = append(m.density, share*total*(1-modelHotShare))
	}
	m.rng.Shuffle(len(m.density), func(i, j int) { m.density[i], m.density[j] = m.density[j], m.density[i] })
	for _, share := range zipf(modelHotKeys, 1) {
		m.hot = append(m.hot, keyspace.Hash(m.rng.Uint64()))
		m.hotLoad = append(m.hotLoad, share*total*modelHotShare)
	}
	m.hosts = make([]modelHost, modelHosts)
	for i := range m.hosts {
		m.hosts[i].policy = NewPolicy(Options{Weights: w, Rand: rand.New(rand.NewPCG(seed, uint64(100+i)))})
		m.hosts[i].hot = map[keyspace.Hash]float64{}
	}
	for i, s := range m.bases {
		h := &m.hosts[i%modelHosts]
		h.shards = append(h.shards, modelShard{shard: s, base: i, arrived: m.now.Add(-time.Hour)})
	}
	return m
}

// loadOf returns the true load of a shard.
func (m *model) loadOf(s modelShard) float64 {
	load := m.density[s.base] * s.shard.Fraction() / m.bases[s.base].Fraction()
	for i, h := range m.hot {
		if s.shard.Contains(h) {
			load += m.hotLoad[i]
		}
	}
	return load
}

func (m *model) changeHotKeys() {
	for range modelHotKeys / 6 {
		m.hot[m.rng.IntN(modelHotKeys)] = keyspace.Hash(m.rng.Uint64())
	}
}

// observe updates the loads that the hosts measure. Shard loads are smoothed over
// 10 s, hot keys over SketchDecay.
func (m *model) observe() {
	shardDecay := math.Exp(-modelRound.Seconds() / 10)
	hotDecay := math.Exp(-modelRound.Seconds() / SketchDecay.Seconds())
	for i := range m.hosts {
		h := &m.hosts[i]
		sum := 0.0
		for j := range h.shards {
			load := m.loadOf(h.shards[j])
			sum += load
			h.shards[j].load = shardDecay*h.shards[j].load + (1-shardDecay)*load
		}
		h.past = append(h.past, sum)
		if len(h.past) > modelLag+1 {
			h.past = h.past[1:]
		}
		for k := range h.hot {
			h.hot[k] *= hotDecay
		}
		for k, key := range m.hot {
			if slices.ContainsFunc(h.shards, func(s modelShard) bool { return s.shard.Contains(key) }) {
				h.hot[key] += (1 - hotDecay) * m.hotLoad[k]
			}
		}
	}
}

func (m *model) imbalance() float64 {
	highest, sum := 0.0, 0.0
	for _, h := range m.hosts {
		now := h.past[len(h.past)-1]
		highest = max(highest, now)
		sum += now
	}
	return highest * modelHosts / sum
}

func hostName(i int) string { return strconv.Itoa(i) }

func (m *model) input(i int) Input {
	var in Input
	for j, h := range m.hosts {
		load := h.past[0] * (1 + modelNoise*(2*m.rng.Float64()-1))
		age := time.Duration(modelLag) * modelRound
		if j == i {
			load, age = h.past[len(h.past)-1], 0
		}
		summary := HostLoad{
			Host:       ownership.Host{Name: hostName(j)},
			Region:     hostName(j % 2),
			SlotLoad:   load,
			Capacity:   modelSlots,
			MeasuredAt: m.now.Add(-age),
		}
		if j == i {
			in.Self = summary
			continue
		}
		in.Hosts = append(in.Hosts, summary)
	}
	h := m.hosts[i]
	for _, s := range h.shards {
		in.Shards = append(in.Shards, ShardLoad{
			Group:       "g",
			Shard:       s.shard,
			SlotLoad:    s.load,
			RequestRate: s.load * modelRate / modelLoad,
			ArrivedAt:   s.arrived,
		})
	}
	for key, load := range h.hot {
		if load >= SplitShare*in.Self.SlotLoad {
			in.HotKeys = append(in.HotKeys, HotKey{Hash: key, Share: load / in.Self.SlotLoad})
		}
	}
	slices.SortFunc(in.HotKeys, func(a, b HotKey) int { return int(math.Copysign(1, b.Share-a.Share)) })
	return in
}

func (m *model) split(i int, s Split) {
	h := &m.hosts[i]
	j := slices.IndexFunc(h.shards, func(x modelShard) bool { return x.shard == s.Shard })
	old := h.shards[j]
	h.shards = slices.Delete(h.shards, j, j+1)
	for _, part := range s.Shard.SplitAt(s.At) {
		p := modelShard{shard: part, base: old.base, arrived: old.arrived}
		p.load = m.loadOf(p)
		h.shards = append(h.shards, p)
	}
}

func (m *model) merge(i int, g Merge) {
	h := &m.hosts[i]
	base, load := -1, 0.0
	for _, s := range g.Shards {
		j := slices.IndexFunc(h.shards, func(x modelShard) bool { return x.shard == s })
		base, load = h.shards[j].base, load+h.shards[j].load
		h.shards = slices.Delete(h.shards, j, j+1)
	}
	h.shards = append(h.shards, modelShard{shard: g.Into, base: base, load: load, arrived: m.now})
}

// move executes a move. A move that fails closes the shards without moving them.
func (m *model) move(from, to int, shards []keyspace.Shard) bool {
	failed := m.rng.Float64() < modelFailShare
	wait := modelWait
	if failed {
		wait = modelFailedWait
	}
	src, dst := &m.hosts[from], &m.hosts[to]
	for _, s := range shards {
		j := slices.IndexFunc(src.shards, func(x modelShard) bool { return x.shard == s })
		m.unavail += wait
		m.blocked += wait.Seconds() * m.loadOf(src.shards[j]) * modelRate / modelLoad
		if failed {
			continue
		}
		x := src.shards[j]
		x.arrived = m.now
		src.shards = slices.Delete(src.shards, j, j+1)
		dst.shards = append(dst.shards, x)
		m.moved += s.Fraction()
	}
	return !failed
}

// decidePolicy runs one round of the policy. A target accepts one move per round.
func (m *model) decidePolicy() {
	busyTargets := map[string]bool{}
	for _, i := range m.rng.Perm(modelHosts) {
		p := m.hosts[i].policy
		out := p.Propose(m.now, m.input(i))
		for _, s := range out.Splits {
			m.split(i, s)
		}
		for _, g := range out.Merges {
			m.merge(i, g)
		}
		for _, mv := range out.Moves {
			if busyTargets[mv.Target.Name] {
				p.RecordRefusal(m.now, mv.Target.Name)
				continue
			}
			busyTargets[mv.Target.Name] = true
			to, _ := strconv.Atoi(mv.Target.Name)
			if m.move(i, to, mv.Shards) {
				p.RecordMove(m.now, mv)
			}
		}
	}
}

// decideRandom is the baseline "random placement": a host above the mean moves
// random shards to random hosts, up to the limits of the policy.
func (m *model) decideRandom() {
	for _, i := range m.rng.Perm(modelHosts) {
		load := m.hosts[i].past[len(m.hosts[i].past)-1]
		for range maxMoves * maxMoveShards {
			if load < minRatio*modelLoad {
				break
			}
			shards := m.hosts[i].shards
			s := shards[m.rng.IntN(len(shards))]
			to := m.rng.IntN(modelHosts)
			if to != i && m.move(i, to, []keyspace.Shard{s.shard}) {
				load -= m.loadOf(s)
			}
		}
	}
}

type evaluation struct {
	imbalance  float64 // mean of max/mean after the warm-up
	startChurn float64 // share of the key space during the warm-up
	churn      float64 // share of the key space per hour after it
	unavail    float64 // shard-seconds per hour after it
	blocked    float64 // blocked request-seconds per million requests after it
}

func evaluate(w Weights, seed uint64, decide func(*model)) evaluation {
	m := newModel(w, seed)
	var e evaluation
	for round := range modelRounds {
		if round == modelWarmUp {
			e.startChurn = m.moved
			m.moved, m.unavail, m.blocked = 0, 0, 0
		}
		if round > 0 && round%modelHotChange == 0 {
			m.changeHotKeys()
		}
		m.observe()
		if round >= modelWarmUp {
			e.imbalance += m.imbalance() / (modelRounds - modelWarmUp)
		}
		decide(m)
		m.now = m.now.Add(modelRound)
	}
	seconds := modelRound.Seconds() * (modelRounds - modelWarmUp)
	e.churn = m.moved * 3600 / seconds
	e.unavail = m.unavail.Seconds() * 3600 / seconds
	e.blocked = m.blocked / (seconds * modelRate * modelHosts) * 1e6
	return e
}

// add adds the results of one seed, weighted for the mean over all seeds.
func (e *evaluation) add(o evaluation) {
	e.imbalance += o.imbalance / modelSeeds
	e.startChurn += o.startChurn / modelSeeds
	e.churn += o.churn / modelSeeds
	e.unavail += o.unavail / modelSeeds
	e.blocked += o.blocked / modelSeeds
}

// Weights of the two users of the project. The first gives priority to availability,
// the second to low churn.
var (
	firstUser  = Weights{Imbalance: 1, Churn: 1, Unavailable: 4}
	secondUser = Weights{Imbalance: 1, Churn: 4, Unavailable: 1}
)

func BenchmarkPlacement(b *testing.B) {
	cases := []struct {
		name    string
		weights Weights
		decide  func(*model)
	}{
		{"static_hashing", Weights{}, func(*model) {}},
		{"random_placement", Weights{}, (*model).decideRandom},
		{"equal_weights", Weights{Imbalance: 1, Churn: 1, Unavailable: 1}, (*model).decidePolicy},
		{"first_user", firstUser, (*model).decidePolicy},
		{"second_user", secondUser, (*model).decidePolicy},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var e evaluation
			for range b.N {
				e = evaluation{}
				for seed := range uint64(modelSeeds) {
					e.add(evaluate(c.weights, seed, c.decide))
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(e.imbalance, "max/mean")
			b.ReportMetric(100*e.startChurn, "start_churn_%")
			b.ReportMetric(100*e.churn, "churn_%/h")
			b.ReportMetric(e.unavail, "unavailable_shard_s/h")
			b.ReportMetric(e.blocked, "parked_s/Mreq")
		})
	}
}
