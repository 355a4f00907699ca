package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"burdockglade.dev/router/keyspace"
)

const (
	// churnCost is the cost of moving one host's fair share of the key space,
	// at weight 1. A shard of average load then moves when the loads of source
	// and target differ by more than a tenth of the mean.
	churnCost = 0.2
	// waitCost is the cost of keeping all of a host's requests waiting for 1 s,
	// at weight 1. At the usual 30 ms it weighs about as much as churn.
	waitCost = 5.0
	// regionCost is the cost of serving all of a host's requests from another
	// region instead of the callers' own.
	regionCost = 0.2
	// defaultWait stands in for the parked wait until a move has been seen: two
	// delays to a store in another region and a short drain.
	defaultWait = 30 * time.Millisecond
	// minRatio is the load relative to the mean below which a host moves
	// nothing. A higher value lowers churn; this one is below 1.2, at which five
	// hosts stand when an empty sixth joins.
	minRatio = 1.15
	// minGain keeps the noise of the load figures from moving shards.
	minGain = 0.002
	// gainMargin is how much gain must exceed cost, as a factor.
	gainMargin = 1.1
	// minStay keeps a shard where it arrived, so that two hosts with late
	// summaries do not pass it back and forth.
	minStay = time.Minute
	// maxMoves and maxMoveShards bound one decision. Summaries of the effect
	// must arrive before much more is moved.
	maxMoves      = 2
	maxMoveShards = 8
	// spreadShards bounds a batch of a leaving host.
	spreadShards = 16
	// A refusal is remembered for refusalBase, doubled with each further one up
	// to refusalMax.
	refusalBase = 5 * time.Second
	refusalMax  = 2 * time.Minute
)

// Options configure a Policy.
type Options struct {
	Weights Weights
	// Rand chooses targets. It is required.
	Rand *rand.Rand
}

// Policy decides for one host and one service. It remembers what it sent and
// who refused. It is not safe for concurrent use.
type Policy struct {
	weights  Weights
	rand     *rand.Rand
	sent     []sentMove
	refusals map[string]refusal
}

// sentMove is a move that the target's summary may not show yet.
type sentMove struct {
	host string
	load float64 // slot-seconds/s
	at   time.Time
}

type refusal struct {
	count int
	until time.Time
}

// NewPolicy returns a policy without memory.
func NewPolicy(o Options) *Policy {
	return &Policy{weights: o.Weights, rand: o.Rand, refusals: map[string]refusal{}}
}

// SetWeights puts new weights in force.
func (p *Policy) SetWeights(w Weights) {
	p.weights = w
}

// RecordMove records that a move was committed. It clears the target's refusals.
func (p *Policy) RecordMove(now time.Time, m Move) {
	delete(p.refusals, m.Target.Name)
	p.sent = slices.DeleteFunc(p.sent, func(s sentMove) bool { return now.Sub(s.at) > sentMaxAge })
	p.sent = append(p.sent, sentMove{host: m.Target.Name, load: m.SlotLoad, at: now})
}

// RecordRefusal records that a host refused a move or could not be reached. It is no
// target for a while.
func (p *Policy) RecordRefusal(now time.Time, host string) {
	for name, r := range p.refusals {
		if now.Sub(r.until) > refusalMax {
			delete(p.refusals, name)
		}
	}
	r := p.refusals[host]
	r.count++
	pause := refusalBase
	for i := 1; i < r.count && pause < refusalMax; i++ {
		pause *= 2
	}
	r.until = now.Add(min(pause, refusalMax))
	p.refusals[host] = r
}

// sentTo returns the load that was moved to the host and that its summary
// cannot show yet.
func (p *Policy) sentTo(now time.Time, h HostLoad) float64 {
	sum := 0.0
	for _, s := range p.sent {
		recent := now.Sub(s.at) < sentMaxAge
		if s.host == h.Host.Name && recent && h.MeasuredAt.Before(s.at.Add(reportLag)) {
			sum += s.load
		}
	}
	return sum
}

// allowed reports whether a host may be a target.
func (p *Policy) allowed(now time.Time, h HostLoad) bool {
	return !h.Leaving && !now.Before(p.refusals[h.Host.Name].until)
}

// Propose returns moves, splits and merges. Shards that are to be split or
// merged are not moved in the same decision.
func (p *Policy) Propose(now time.Time, in Input) Output {
	var out Output
	out.Splits = proposeSplits(in)
	out.Merges = proposeMerges(now, in, out.Splits)
	f, ok := p.survey(now, in)
	if !ok || in.Self.Leaving {
		return out
	}
	shards := movable(now, in, out)
	rate := totalRate(in.Shards)
	pool := p.targetsBelowMean(now, f, preferredRegion(in))
	for range maxMoves {
		if f.self.ratio() < minRatio*f.mean {
			break
		}
		pool = slices.DeleteFunc(pool, func(e *estimate) bool { return e.ratio() >= f.mean })
		target := p.betterOfTwo(pool)
		if target == nil {
			break
		}
		var moves []Move
		moves, shards = p.fill(&f, target, shards, rate)
		out.Moves = append(out.Moves, moves...)
	}
	return out
}

// movable returns the shards that may move, heaviest first.
func movable(now time.Time, in Input, out Output) []ShardLoad {
	busy := map[keyspace.Shard]bool{}
	for _, s := range out.Splits {
		busy[s.Shard] = true
	}
	for _, m := range out.Merges {
		for _, s := range m.Shards {
			busy[s] = true
		}
	}
	var shards []ShardLoad
	for _, s := range in.Shards {
		if !s.Pinned && !busy[s.Shard] && now.Sub(s.ArrivedAt) >= minStay {
			shards = append(shards, s)
		}
	}
	slices.SortStableFunc(shards, func(a, b ShardLoad) int { return cmp.Compare(b.SlotLoad, a.SlotLoad) })
	return shards
}

func totalRate(shards []ShardLoad) float64 {
	sum := 0.0
	for _, s := range shards {
		sum += s.RequestRate
	}
	return sum
}

// preferredRegion is where most callers of the host's shards are, or the
// host's own region when that is not known.
func preferredRegion(in Input) string {
	callers := map[string]float64{}
	known := false
	for _, s := range in.Shards {
		for region, share := range s.CallerRegions {
			callers[region] += share * s.RequestRate
			known = true
		}
	}
	if !known {
		return in.Self.Region
	}
	best := in.Self.Region
	for region, rate := range callers {
		if rate > callers[best] || (rate == callers[best] && region < best && best != in.Self.Region) {
			best = region
		}
	}
	return best
}

// targetsBelowMean returns the hosts below the mean, of the region alone when
// it has any.
func (p *Policy) targetsBelowMean(now time.Time, f fleet, region string) []*estimate {
	var near, all []*estimate
	for i := range f.hosts {
		e := &f.hosts[i]
		if !p.allowed(now, e.HostLoad) || e.ratio() >= f.mean {
			continue
		}
		all = append(all, e)
		if e.Region == region {
			near = append(near, e)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// betterOfTwo draws two hosts and returns the one with the lower ratio, so
// that holders with the same view do not all choose the same host.
func (p *Policy) betterOfTwo(pool []*estimate) *estimate {
	if len(pool) == 0 {
		return nil
	}
	a := pool[p.rand.IntN(len(pool))]
	b := pool[p.rand.IntN(len(pool))]
	if b.ratio() < a.ratio() {
		return b
	}
	return a
}

// fill chooses shards for the target, one move for each group, and returns the
// shards that are left. It updates the estimates.
func (p *Policy) fill(f *fleet, target *estimate, shards []ShardLoad, rate float64) ([]Move, []ShardLoad) {
	byGroup := map[string]*Move{}
	var order []string
	var left []ShardLoad
	chosen := 0
	for _, s := range shards {
		gain, cost := p.judge(f, target, s, rate)
		if chosen == maxMoveShards || gain < minGain || gain <= gainMargin*cost {
			left = append(left, s)
			continue
		}
		chosen++
		f.self.load -= s.SlotLoad
		target.load += s.SlotLoad
		m := byGroup[s.Group]
		if m == nil {
			m = &Move{Group: s.Group, Target: target.Host}
			byGroup[s.Group] = m
			order = append(order, s.Group)
		}
		m.add(s)
		m.Gain += gain
		m.Cost += cost
	}
	moves := make([]Move, 0, len(order))
	for _, group := range order {
		moves = append(moves, *byGroup[group])
	}
	return moves, left
}

func (m *Move) add(s ShardLoad) {
	m.Shards = append(m.Shards, s.Shard)
	m.RequestRate += s.RequestRate
	m.SlotLoad += s.SlotLoad
	m.Busy = m.Busy || s.InFlight > 0
	m.LongestRemaining = max(m.LongestRemaining, s.LongestRemaining)
}

// judge returns the weighted gain and cost of moving a shard. The gain is the
// decrease of the squared distances of both hosts from the mean, so the last
// tenth above the mean is worth less than the first, and a move that only
// swaps the roles of the two hosts gains nothing.
func (p *Policy) judge(f *fleet, target *estimate, s ShardLoad, rate float64) (gain, cost float64) {
	before := distance(f.self.load, f.self.capacity, f.mean) + distance(target.load, target.capacity, f.mean)
	after := distance(f.self.load-s.SlotLoad, f.self.capacity, f.mean) + distance(target.load+s.SlotLoad, target.capacity, f.mean)
	gain = p.weights.Imbalance * (before - after)

	cost = p.weights.Churn * churnCost * s.Shard.Fraction() * f.size()
	if rate > 0 {
		share := s.RequestRate / rate
		cost += p.weights.Unavailable * waitCost * wait(s).Seconds() * share
		cost += regionCost * share * (s.CallerRegions[f.self.Region] - s.CallerRegions[target.Region])
	}
	return gain, cost
}

func distance(load, capacity, mean float64) float64 {
	d := load/capacity/mean - 1
	return d * d
}

func wait(s ShardLoad) time.Duration {
	if s.ClosedTime > 0 {
		return s.ClosedTime
	}
	return defaultWait
}

// Evacuate returns moves that take every shard of a leaving host away: idle
// shards first, those with the longest requests last, in batches of one group
// each over several targets. It returns nothing when there is no target.
func (p *Policy) Evacuate(now time.Time, in Input) []Move {
	hosts := p.spreadTargets(now, in)
	if len(hosts) == 0 {
		return nil
	}
	shards := slices.Clone(in.Shards)
	slices.SortStableFunc(shards, compareForSpread)
	var moves []Move
	last := ""
	for _, batch := range batches(shards) {
		target := p.pickForBatch(hosts, in.Self.Region, last)
		last = target.Host.Name
		m := Move{Group: batch[0].Group, Target: target.Host}
		for _, s := range batch {
			m.add(s)
		}
		target.load += m.SlotLoad
		moves = append(moves, m)
	}
	return moves
}

// spreadTargets returns the hosts that may receive shards. Summaries that are
// too old for balancing will do, because the host leaves in any case.
func (p *Policy) spreadTargets(now time.Time, in Input) []*estimate {
	var hosts []*estimate
	for _, h := range in.Hosts {
		if !p.allowed(now, h) {
			continue
		}
		if !plausible(h) {
			h.SlotLoad, h.Capacity = 1, 1
		}
		hosts = append(hosts, &estimate{HostLoad: h, capacity: h.Capacity * ramp(now, h), load: h.SlotLoad + p.sentTo(now, h)})
	}
	return hosts
}

func compareForSpread(a, b ShardLoad) int {
	if c := cmp.Compare(min(a.InFlight, 1), min(b.InFlight, 1)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.LongestRemaining, b.LongestRemaining); c != 0 {
		return c
	}
	return cmp.Compare(a.Group, b.Group)
}

// batches cuts sorted shards where the group changes, where idle shards end
// and where a batch is full. A shard with requests in flight is a batch of its
// own: all shards of a move stay closed until the last of their requests ends,
// so one long request would keep the keys of the others waiting.
func batches(shards []ShardLoad) [][]ShardLoad {
	open := map[string]int{}
	var all [][]ShardLoad
	for _, s := range shards {
		if s.InFlight > 0 {
			all = append(all, []ShardLoad{s})
			continue
		}
		i, ok := open[s.Group]
		if !ok || len(all[i]) == spreadShards {
			i = len(all)
			open[s.Group] = i
			all = append(all, nil)
		}
		all[i] = append(all[i], s)
	}
	return all
}

// pickForBatch prefers hosts of the region, and another host than the last
// batch went to: a target takes one move at a time.
func (p *Policy) pickForBatch(hosts []*estimate, region, last string) *estimate {
	pool := keep(hosts, func(e *estimate) bool { return e.Region == region })
	others := keep(pool, func(e *estimate) bool { return e.Host.Name != last })
	return p.betterOfTwo(others)
}

// keep returns the hosts for which f holds, or all of them when there are none.
func keep(hosts []*estimate, f func(*estimate) bool) []*estimate {
	var kept []*estimate
	for _, h := range hosts {
		if f(h) {
			kept = append(kept, h)
		}
	}
	if len(kept) == 0 {
		return hosts
	}
	return kept
}
