package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"burdockglade.dev/router/keyspace"
)

const (
	// sketchSize is the number of counters. Every key with more than 1/64 of the load
	// has one; splits require a higher share.
	sketchSize = 64
	// SketchDecay is the time in which a count decays to 1/e. It is short because the
	// hottest keys change within minutes.
	SketchDecay = 30 * time.Second
	// rescaleAt is the scale factor of new counts from which all counts are scaled
	// down.
	rescaleAt = 1e9
)

// HotKey is a key hash with its load.
type HotKey struct {
	Hash keyspace.Hash
	// Share is the estimated share of the load, between 0 and 1. The true share is at
	// most Share and at least Share minus Error.
	Share float64
	Error float64
}

// counter counts the load of one key hash. Its values are scaled, see Sketch.
type counter struct {
	hash  keyspace.Hash
	count float64
	// error is the count inherited from the previous hash of the counter.
	error float64
}

// Sketch finds the key hashes with the highest load in bounded memory, by the
// space-saving algorithm with exponential decay. It is not safe for concurrent use.
//
// Instead of decreasing all counts as time passes, new counts are scaled up by
// exp(age/decay). All counts are scaled down when the factor reaches rescaleAt.
type Sketch struct {
	counters []counter
	index    map[keyspace.Hash]int
	total    float64
	epoch    time.Time
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch {
	return &Sketch{
		counters: make([]counter, 0, sketchSize),
		index:    make(map[keyspace.Hash]int, sketchSize),
	}
}

// Add adds load of a key hash, such as 1 per request or the slot-seconds that it
// used. Load that is not positive and finite is ignored.
func (s *Sketch) Add(now time.Time, h keyspace.Hash, load float64) {
	if !(load > 0) || math.IsInf(load, 0) {
		return
	}
	scaled := load * s.factor(now)
	s.total += scaled
	if i, ok := s.index[h]; ok {
		s.counters[i].count += scaled
		return
	}
	if len(s.counters) < sketchSize {
		s.index[h] = len(s.counters)
		s.counters = append(s.counters, counter{hash: h, count: scaled})
		return
	}
	s.replaceLowest(h, scaled)
}

// replaceLowest assigns the counter with the lowest count to the hash. The hash may
// have had up to that count before, so it inherits it as its error.
func (s *Sketch) replaceLowest(h keyspace.Hash, scaled float64) {
	low := 0
	for i := range s.counters {
		if s.counters[i].count < s.counters[low].count {
			low = i
		}
	}
	c := &s.counters[low]
	delete(s.index, c.hash)
	s.index[h] = low
	*c = counter{hash: h, count: c.count + scaled, error: c.count}
}

// factor returns the scale factor of load added at now.
func (s *Sketch) factor(now time.Time) float64 {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	f := math.Exp(max(0, now.Sub(s.epoch).Seconds()) / SketchDecay.Seconds())
	if f < rescaleAt {
		return f
	}
	s.rescale(f)
	s.epoch = now
	return 1
}

// rescale divides all counts by f.
func (s *Sketch) rescale(f float64) {
	s.total /= f
	for i := range s.counters {
		s.counters[i].count /= f
		s.counters[i].error /= f
	}
}

// Above returns the hashes whose true share is certainly at least the given one, by
// descending share.
func (s *Sketch) Above(share float64) []HotKey {
	var hot []HotKey
	for _, c := range s.counters {
		if c.count-c.error >= share*s.total && s.total > 0 {
			hot = append(hot, HotKey{Hash: c.hash, Share: c.count / s.total, Error: c.error / s.total})
		}
	}
	slices.SortFunc(hot, func(a, b HotKey) int {
		if c := cmp.Compare(b.Share, a.Share); c != 0 {
			return c
		}
		return cmp.Compare(a.Hash, b.Hash)
	})
	return hot
}
