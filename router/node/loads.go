package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/ownership"
)

// Constants of the load measurement.
const (
	// loadDecay is the weight of the newest second in the smoothed rates.
	loadDecay = 0.2
	// idleLoad is the load, in slot-seconds/s, that a whole idle service is
	// taken to have. It spreads the shards of a service over its hosts before
	// the first requests arrive.
	idleLoad = 1.0
)

// shardLoad is the measured load of one shard.
type shardLoad struct {
	service  string
	group    string
	shard    keyspace.Shard
	arrived  time.Time
	since    time.Time          // when the measurement began
	count    float64            // requests in the present second
	busy     float64            // slot-seconds in the present second
	rate     float64            // smoothed requests/s
	slotLoad float64            // smoothed slot-seconds/s
	regions  map[string]float64 // smoothed requests by the region of their entry
}

// Limits of the count by region.
const (
	maxCallerRegions = 8
	// forgetRegion is the smoothed count below which a region is dropped.
	forgetRegion = 0.01
)

// loadMeter measures the load of the shards that this host holds.
type loadMeter struct {
	mu     sync.Mutex
	shards []*shardLoad // sorted by service and first position
	sketch *balance.Sketch
	seq    uint64
	parked time.Duration // smoothed time that moves kept shards closed
	// arrivals has the shards that moves brought, with the time of the move.
	// Shards of a group that was created or taken over here are not in it, so
	// they may move on at once.
	arrivals map[string]time.Time
}

func loadKey(service string, shard keyspace.Shard) string {
	return service + "/" + shard.String()
}

// arrivalMemory is how long an arrival is remembered. It is above the time for
// which the policy keeps a shard where it arrived.
const arrivalMemory = 10 * time.Minute

// expect notes that a move is about to bring shards.
func (m *loadMeter) expect(now time.Time, service string, shards []keyspace.Shard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, at := range m.arrivals {
		if now.Sub(at) > arrivalMemory {
			delete(m.arrivals, key)
		}
	}
	for _, s := range shards {
		m.arrivals[loadKey(service, s)] = now
	}
}

func newLoadMeter() *loadMeter {
	return &loadMeter{sketch: balance.NewSketch(), arrivals: map[string]time.Time{}}
}

func compareLoads(s *shardLoad, service string, h keyspace.Hash) int {
	if c := strings.Compare(s.service, service); c != 0 {
		return c
	}
	if s.shard.Last < h {
		return -1
	}
	if s.shard.First > h {
		return 1
	}
	return 0
}

// add counts one request that took a slot for a while.
func (m *loadMeter) add(service string, h keyspace.Hash, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sketch.Add(time.Now(), h, took.Seconds())
	i, ok := slices.BinarySearchFunc(m.shards, h, func(s *shardLoad, h keyspace.Hash) int {
		return compareLoads(s, service, h)
	})
	if ok {
		m.shards[i].count++
		m.shards[i].busy += took.Seconds()
	}
}

// addCaller counts the region through which a request entered.
func (m *loadMeter) addCaller(service string, h keyspace.Hash, region string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := slices.BinarySearchFunc(m.shards, h, func(s *shardLoad, h keyspace.Hash) int {
		return compareLoads(s, service, h)
	})
	if !ok {
		return
	}
	s := m.shards[i]
	if s.regions == nil {
		s.regions = map[string]float64{}
	}
	if _, known := s.regions[region]; known || len(s.regions) < maxCallerRegions {
		s.regions[region] += loadDecay
	}
}

// decayRegions ages the counts by region by one second.
func (s *shardLoad) decayRegions() {
	for region, count := range s.regions {
		count *= 1 - loadDecay
		if count < forgetRegion {
			delete(s.regions, region)
			continue
		}
		s.regions[region] = count
	}
}

// callerRegions returns the share of each region, or nil when it is not known.
func (s *shardLoad) callerRegions() map[string]float64 {
	total := 0.0
	for _, count := range s.regions {
		total += count
	}
	if total == 0 {
		return nil
	}
	shares := make(map[string]float64, len(s.regions))
	for region, count := range s.regions {
		shares[region] = count / total
	}
	return shares
}

// follow brings the measured shards in line with the held groups and closes
// the present second.
func (m *loadMeter) follow(now time.Time, held []ownership.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[string]*shardLoad{}
	for _, s := range m.shards {
		s.rate += loadDecay * (s.count - s.rate)
		s.slotLoad += loadDecay * (s.busy - s.slotLoad)
		s.count, s.busy = 0, 0
		s.decayRegions()
		known[loadKey(s.service, s.shard)] = s
	}
	m.shards = m.shards[:0]
	for _, g := range held {
		for _, shard := range g.Shards {
			key := loadKey(g.Service, shard)
			s := known[key]
			if s == nil {
				s = &shardLoad{service: g.Service, shard: shard, arrived: m.arrivals[key], since: now}
				m.seed(s, known)
			}
			s.group = g.ID
			m.shards = append(m.shards, s)
		}
	}
	slices.SortFunc(m.shards, func(a, b *shardLoad) int { return compareLoads(a, b.service, b.shard.First) })
}

// sawParked takes in how long a move kept its shards closed.
func (m *loadMeter) sawParked(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parked += (d - m.parked) / 4
}

// total returns the load of all shards in slot-seconds/s.
func (m *loadMeter) total() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for _, s := range m.shards {
		sum += s.slotLoad + idleLoad*s.shard.Fraction()
	}
	return sum
}

// input returns the loads of the shards of one service and the hot keys.
func (m *loadMeter) input(service string, pinned func(group string) bool) ([]balance.ShardLoad, []balance.HotKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var loads []balance.ShardLoad
	for _, s := range m.shards {
		if s.service != service {
			continue
		}
		loads = append(loads, balance.ShardLoad{
			Group:         s.group,
			Shard:         s.shard,
			RequestRate:   s.rate,
			SlotLoad:      s.slotLoad + idleLoad*s.shard.Fraction(),
			ClosedTime:    m.parked,
			ArrivedAt:     s.arrived,
			MeasuredSince: s.since,
			Pinned:        pinned(s.group),
			CallerRegions: s.callerRegions(),
		})
	}
	return loads, m.hot()
}

// ownLoad returns this host's load summary.
func (n *Node) ownLoad() member.Load {
	status := n.agent.Status()
	n.loads.mu.Lock()
	n.loads.seq++
	seq := n.loads.seq
	n.loads.mu.Unlock()
	return member.Load{
		Host:        n.self.Name,
		Incarnation: n.self.Incarnation,
		Seq:         seq,
		InUse:       n.loads.total(),
		Slots:       status.Announcement.Slots,
		NoteVersion: n.noteVersion(),
		Healthy:     serving(status) && !n.leaving.Load(),
	}
}
