package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"burdockglade.dev/router/keyspace"
)

const (
	// churnCost is the cost of moving one host's fair share of the key space, at
	// weight 1. With it, a shard of average load moves if the loads of source and
	// target differ by more than a tenth of the mean.
	churnCost = 0.2
	// blockedCost is the cost of blocking all of a host's requests for 1 s, at weight 1.
	// At the usual 30 ms it is about as high as the cost of churn.
	blockedCost = 5.0
	// regionCost is the cost of serving all of a host's requests from a region other
	// than the callers'.
	regionCost = 0.2
	// defaultClosedTime is the assumed ClosedTime of a shard before the first move: two
	// round trips to a store in another region and a short drain.
	defaultClosedTime = 30 * time.Millisecond
	// minRatio is the load relative to the mean below which a host moves nothing. A
	// higher value reduces churn, but it must be below 1.2, the relative load of
	// five hosts when an empty sixth joins.
	minRatio = 1.15
	// minGain is the gain below which a shard is not moved, so that noise in the
	// loads does not move shards.
	minGain = 0.002
	// gainMargin is the factor by which the gain of a move must exceed its cost.
	gainMargin = 1.1
	// minResidence is how long a shard stays on a host at least, so that two hosts with
	// outdated summaries do not move it back and forth.
	minResidence = time.Minute
	// maxMoves is the maximum number of targets of one decision, maxMoveShards that of
	// the shards for each. Summaries that show the effect of the moves must arrive
	// before much more is moved.
	maxMoves      = 2
	maxMoveShards = 8
	// maxBatchShards is the maximum number of shards in one move of a leaving host.
	maxBatchShards = 16
	// A host that refused a move is not a target for refusalBase, doubled with each
	// further refusal up to refusalMax.
	refusalBase = 5 * time.Second
	refusalMax  = 2 * time.Minute
)

// Options configure a Policy.
type Options struct {
	Weights Weights
	// Rand is the random source of target selection. It is required.
	Rand *rand.Rand
}

// Policy decides for one host and one service. It keeps recent moves and refusals.
// It is not safe for concurrent use.
type Policy struct {
	weights  Weights
	rand     *rand.Rand
	sent     []sentMove
	refusals map[string]refusal
}

// sentMove is a move that the target's summary may not include yet.
type sentMove struct {
	host string
	load float64 // slot-seconds/s
	at   time.Time
}

// refusal holds the number of consecutive refusals of a host and the end of its
// exclusion.
type refusal struct {
	count int
	until time.Time
}

// NewPolicy returns a policy without recorded moves or refusals.
func NewPolicy(o Options) *Policy {
	return &Policy{weights: o.Weights, rand: o.Rand, refusals: map[string]refusal{}}
}

// SetWeights replaces the weights.
func (p *Policy) SetWeights(w Weights) {
	p.weights = w
}

// RecordMove records that a move was committed. It clears the target's refusals.
func (p *Policy) RecordMove(now time.Time, m Move) {
	delete(p.refusals, m.Target.Name)
	p.sent = slices.DeleteFunc(p.sent, func(s sentMove) bool { return now.Sub(s.at) > sentMaxAge })
	p.sent = append(p.sent, sentMove{host: m.Target.Name, load: m.SlotLoad, at: now})
}

// RecordRefusal records that a host refused a move or could not be reached. The host is
// not a target for a while.
func (p *Policy) RecordRefusal(now time.Time, host string) {
	for name, r := range p.refusals {
		if now.Sub(r.until) > refusalMax {
			delete(p.refusals, name)
		}
	}
	r := p.refusals[host]
	r.count++
	backoff := refusalBase
	for i := 1; i < r.count && backoff < refusalMax; i++ {
		backoff *= 2
	}
	r.until = now.Add(min(backoff, refusalMax))
	p.refusals[host] = r
}

// unreportedLoad returns the load that was moved to the host and that its summary does not
// include yet.
func (p *Policy) unreportedLoad(now time.Time, h HostLoad) float64 {
	sum := 0.0
	for _, s := range p.sent {
		recent := now.Sub(s.at) < sentMaxAge
		if s.host == h.Host.Name && recent && h.MeasuredAt.Before(s.at.Add(reportLag)) {
			sum += s.load
		}
	}
	return sum
}

// isCandidate reports whether a host may be a target.
func (p *Policy) isCandidate(now time.Time, h HostLoad) bool {
	return !h.Leaving && !now.Before(p.refusals[h.Host.Name].until)
}

// Propose returns moves, splits and merges. Shards that are split or merged are not
// moved in the same decision.
func (p *Policy) Propose(now time.Time, in Input) Output {
	var out Output
	out.Splits = proposeSplits(in)
	out.Merges = proposeMerges(now, in, out.Splits)
	f, ok := p.estimateFleet(now, in)
	if !ok || in.Self.Leaving {
		return out
	}
	shards := movable(now, in, out)
	rate := totalRate(in.Shards)
	pool := p.targetsBelowMean(now, f, preferredRegion(in))
	for range maxMoves {
		if f.self.loadPerSlot() < minRatio*f.mean {
			break
		}
		pool = slices.DeleteFunc(pool, func(e *estimate) bool { return e.loadPerSlot() >= f.mean })
		target := p.betterOfTwo(pool)
		if target == nil {
			break
		}
		var moves []Move
		moves, shards = p.planMoves(&f, target, shards, rate)
		out.Moves = append(out.Moves, moves...)
	}
	return out
}

// movable returns the shards that may be moved, by descending load.
func movable(now time.Time, in Input, out Output) []ShardLoad {
	changing := map[keyspace.Shard]bool{}
	for _, s := range out.Splits {
		changing[s.Shard] = true
	}
	for _, m := range out.Merges {
		for _, s := range m.Shards {
			changing[s] = true
		}
	}
	var shards []ShardLoad
	for _, s := range in.Shards {
		if !s.Pinned && !changing[s.Shard] && now.Sub(s.ArrivedAt) >= minResidence {
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

// preferredRegion returns the region of most requests to the host's shards, or the
// host's region if that is unknown.
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

// targetsBelowMean returns the hosts with a load below the mean: those of the region
// if there are any, otherwise all.
func (p *Policy) targetsBelowMean(now time.Time, f fleet, region string) []*estimate {
	var near, all []*estimate
	for i := range f.hosts {
		e := &f.hosts[i]
		if !p.isCandidate(now, e.HostLoad) || e.loadPerSlot() >= f.mean {
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

// betterOfTwo draws two random hosts and returns the one with the lower load per
// slot, so that holders with the same information do not all choose the same host.
func (p *Policy) betterOfTwo(pool []*estimate) *estimate {
	if len(pool) == 0 {
		return nil
	}
	a := pool[p.rand.IntN(len(pool))]
	b := pool[p.rand.IntN(len(pool))]
	if b.loadPerSlot() < a.loadPerSlot() {
		return b
	}
	return a
}

// planMoves chooses shards for the target, and returns one move per group and the
// remaining shards. It updates the load estimates of both hosts.
func (p *Policy) planMoves(f *fleet, target *estimate, shards []ShardLoad, rate float64) ([]Move, []ShardLoad) {
	byGroup := map[string]*Move{}
	var order []string
	var remaining []ShardLoad
	chosen := 0
	for _, s := range shards {
		gain, cost := p.evaluateMove(f, target, s, rate)
		if chosen == maxMoveShards || gain < minGain || gain <= gainMargin*cost {
			remaining = append(remaining, s)
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
	return moves, remaining
}

// add adds a shard to the move.
func (m *Move) add(s ShardLoad) {
	m.Shards = append(m.Shards, s.Shard)
	m.RequestRate += s.RequestRate
	m.SlotLoad += s.SlotLoad
	m.Busy = m.Busy || s.InFlight > 0
	m.LongestRemaining = max(m.LongestRemaining, s.LongestRemaining)
}

// evaluateMove returns the weighted gain and cost of moving a shard. The gain is the
// decrease of the squared deviations of both hosts from the mean. The last tenth
// above the mean is therefore worth less than the first, and a move that only swaps
// the loads of the two hosts gains nothing.
func (p *Policy) evaluateMove(f *fleet, target *estimate, s ShardLoad, rate float64) (gain, cost float64) {
	before := deviation(f.self.load, f.self.capacity, f.mean) + deviation(target.load, target.capacity, f.mean)
	after := deviation(f.self.load-s.SlotLoad, f.self.capacity, f.mean) + deviation(target.load+s.SlotLoad, target.capacity, f.mean)
	gain = p.weights.Imbalance * (before - after)

	cost = p.weights.Churn * churnCost * s.Shard.Fraction() * f.size()
	if rate > 0 {
		share := s.RequestRate / rate
		cost += p.weights.Unavailable * blockedCost * expectedClosedTime(s).Seconds() * share
		cost += regionCost * share * (s.CallerRegions[f.self.Region] - s.CallerRegions[target.Region])
	}
	return gain, cost
}

// deviation returns the squared relative deviation of the load per slot from the mean.
func deviation(load, capacity, mean float64) float64 {
	d := load/capacity/mean - 1
	return d * d
}

// expectedClosedTime returns the expected time for which a move closes the shard.
func expectedClosedTime(s ShardLoad) time.Duration {
	if s.ClosedTime > 0 {
		return s.ClosedTime
	}
	return defaultClosedTime
}

// Evacuate returns moves of all shards of a leaving host, distributed over
// the targets: idle shards first, in batches of one group each, then busy shards,
// those with the longest requests last. It returns nil if there is no target.
func (p *Policy) Evacuate(now time.Time, in Input) []Move {
	hosts := p.evacuationTargets(now, in)
	if len(hosts) == 0 {
		return nil
	}
	shards := slices.Clone(in.Shards)
	slices.SortStableFunc(shards, compareForEvacuation)
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

// evacuationTargets returns the hosts that may receive shards of a leaving host. It
// accepts summaries that are too old for balancing, because the host leaves in any
// case.
func (p *Policy) evacuationTargets(now time.Time, in Input) []*estimate {
	var hosts []*estimate
	for _, h := range in.Hosts {
		if !p.isCandidate(now, h) {
			continue
		}
		if !plausible(h) {
			h.SlotLoad, h.Capacity = 1, 1
		}
		hosts = append(hosts, &estimate{HostLoad: h, capacity: h.Capacity * ramp(now, h), load: h.SlotLoad + p.unreportedLoad(now, h)})
	}
	return hosts
}

// compareForEvacuation orders idle shards before busy ones, and shards with shorter
// requests before those with longer ones.
func compareForEvacuation(a, b ShardLoad) int {
	if c := cmp.Compare(min(a.InFlight, 1), min(b.InFlight, 1)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.LongestRemaining, b.LongestRemaining); c != 0 {
		return c
	}
	return cmp.Compare(a.Group, b.Group)
}

// batches divides sorted shards into batches of idle shards of one group. A shard with
// requests in flight is a batch of its own: all shards of a move stay closed until
// the last of their requests ends, so one long request would block the keys of the
// others.
func batches(shards []ShardLoad) [][]ShardLoad {
	open := map[string]int{}
	var all [][]ShardLoad
	for _, s := range shards {
		if s.InFlight > 0 {
			all = append(all, []ShardLoad{s})
			continue
		}
		i, ok := open[s.Group]
		if !ok || len(all[i]) == maxBatchShards {
			i = len(all)
			open[s.Group] = i
			all = append(all, nil)
		}
		all[i] = append(all[i], s)
	}
	return all
}

// pickForBatch prefers hosts of the region, and hosts other than the target of the
// last batch, because a target accepts one move at a time.
func (p *Policy) pickForBatch(hosts []*estimate, region, last string) *estimate {
	pool := prefer(hosts, func(e *estimate) bool { return e.Region == region })
	others := prefer(pool, func(e *estimate) bool { return e.Host.Name != last })
	return p.betterOfTwo(others)
}

// prefer returns the hosts that match, or all hosts if none match.
func prefer(hosts []*estimate, match func(*estimate) bool) []*estimate {
	var preferred []*estimate
	for _, h := range hosts {
		if match(h) {
			preferred = append(preferred, h)
		}
	}
	if len(preferred) == 0 {
		return hosts
	}
	return preferred
}
