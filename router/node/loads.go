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

// Parameters of the load measurement.
const (
	// loadDecay is the weight of the latest second in the smoothed rates.
	loadDecay = 0.2
	// idleLoad is the load, in slot-seconds/s, attributed to the whole key space
	// of an idle service. It makes the placement spread the shards of a service
	// over its hosts before the first requests arrive.
	idleLoad = 1.0
)

// shardLoad is the measured load of one shard.
type shardLoad struct {
	service       string
	group         string
	shard         keyspace.Shard
	arrivedAt     time.Time          // when a move brought the shard; zero if none did
	measuredSince time.Time          // when the measurement began
	requests      float64            // requests in the current second
	slotSeconds   float64            // slot-seconds in the current second
	requestRate   float64            // smoothed requests/s
	slotLoad      float64            // smoothed slot-seconds/s
	regions       map[string]float64 // smoothed requests/s by the region of their entry
}

// Limits of the requests by region.
const (
	maxCallerRegions = 8
	// minRegionRate is the smoothed rate in requests/s below which a region is
	// removed.
	minRegionRate = 0.01
)

// loadMeter measures the load of the shards that this host holds.
type loadMeter struct {
	mu         sync.Mutex
	shards     []*shardLoad // sorted by service and first key hash
	sketch     *balance.Sketch
	seq        uint64
	closedTime time.Duration // smoothed time for which moves kept shards closed
	// arrivals has the times at which shards arrived by a move, by loadKey.
	// Shards of groups that were created or taken over here are not included, so
	// they may move again immediately.
	arrivals map[string]time.Time
}

func loadKey(service string, shard keyspace.Shard) string {
	return service + "/" + shard.String()
}

// arrivalRetention is how long the time of an arrival is kept. It is longer than
// the time for which the policy keeps a shard on the host where it arrived.
const arrivalRetention = 10 * time.Minute

// recordArrivals records that a move is about to bring shards.
func (m *loadMeter) recordArrivals(now time.Time, service string, shards []keyspace.Shard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, at := range m.arrivals {
		if now.Sub(at) > arrivalRetention {
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

// compareLoads compares the key range of s with a key hash of a service. It returns
// 0 if the range contains the key hash.
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

// recordRequest counts a request that occupied a slot for the given time.
func (m *loadMeter) recordRequest(service string, h keyspace.Hash, slotTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sketch.Add(time.Now(), h, slotTime.Seconds())
	i, ok := slices.BinarySearchFunc(m.shards, h, func(s *shardLoad, h keyspace.Hash) int {
		return compareLoads(s, service, h)
	})
	if ok {
		m.shards[i].requests++
		m.shards[i].slotSeconds += slotTime.Seconds()
	}
}

// recordRegion counts a request by the region of the router that received it.
func (m *loadMeter) recordRegion(service string, h keyspace.Hash, region string) {
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

// decayRegions advances the smoothed rates by region by one second.
func (s *shardLoad) decayRegions() {
	for region, rate := range s.regions {
		rate *= 1 - loadDecay
		if rate < minRegionRate {
			delete(s.regions, region)
			continue
		}
		s.regions[region] = rate
	}
}

// callerRegions returns the share of the requests that each region has, or nil if
// there were none.
func (s *shardLoad) callerRegions() map[string]float64 {
	total := 0.0
	for _, rate := range s.regions {
		total += rate
	}
	if total == 0 {
		return nil
	}
	shares := make(map[string]float64, len(s.regions))
	for region, rate := range s.regions {
		shares[region] = rate / total
	}
	return shares
}

// update ends the current second of the measurement and sets the measured shards
// to those of the held groups.
func (m *loadMeter) update(now time.Time, held []ownership.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := map[string]*shardLoad{}
	for _, s := range m.shards {
		s.requestRate += loadDecay * (s.requests - s.requestRate)
		s.slotLoad += loadDecay * (s.slotSeconds - s.slotLoad)
		s.requests, s.slotSeconds = 0, 0
		s.decayRegions()
		previous[loadKey(s.service, s.shard)] = s
	}
	m.shards = m.shards[:0]
	for _, g := range held {
		for _, shard := range g.Shards {
			key := loadKey(g.Service, shard)
			s := previous[key]
			if s == nil {
				s = &shardLoad{service: g.Service, shard: shard, arrivedAt: m.arrivals[key], measuredSince: now}
				m.seedHotKey(s, previous)
			}
			s.group = g.ID
			m.shards = append(m.shards, s)
		}
	}
	slices.SortFunc(m.shards, func(a, b *shardLoad) int { return compareLoads(a, b.service, b.shard.First) })
}

// recordClosedTime records how long a move kept its shards closed.
func (m *loadMeter) recordClosedTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closedTime += (d - m.closedTime) / 4
}

// totalLoad returns the load of all shards in slot-seconds/s.
func (m *loadMeter) totalLoad() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for _, s := range m.shards {
		sum += s.slotLoad + idleLoad*s.shard.Fraction()
	}
	return sum
}

// serviceLoads returns the loads of the shards of one service and the hot keys of
// the host.
func (m *loadMeter) serviceLoads(service string, pinned func(group string) bool) ([]balance.ShardLoad, []balance.HotKey) {
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
			RequestRate:   s.requestRate,
			SlotLoad:      s.slotLoad + idleLoad*s.shard.Fraction(),
			ClosedTime:    m.closedTime,
			ArrivedAt:     s.arrivedAt,
			MeasuredSince: s.measuredSince,
			Pinned:        pinned(s.group),
			CallerRegions: s.callerRegions(),
		})
	}
	return loads, m.hotKeys()
}

// loadSummary returns the load of this host for gossip.
func (n *Node) loadSummary() member.Load {
	status := n.agent.Status()
	n.loads.mu.Lock()
	n.loads.seq++
	seq := n.loads.seq
	n.loads.mu.Unlock()
	return member.Load{
		Host:        n.self.Name,
		Incarnation: n.self.Incarnation,
		Seq:         seq,
		InUse:       n.loads.totalLoad(),
		Slots:       status.Announcement.Slots,
		NoteVersion: n.noteVersion(),
		Healthy:     serving(status) && !n.leaving.Load(),
	}
}
