package keyrange

import (
	"maps"
	"slices"
	"sort"
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// loadWindow is the time over which the load of a key is averaged. Hot keys
	// change within seconds.
	loadWindow = 600 * time.Millisecond
	// minTrackedLoad is the load, in slots, below which a key is no longer tracked.
	minTrackedLoad = 0.002
)

// LoadMeter measures how many slots the requests for each key need, whether they
// get them or not: the load that an overloaded upstream serves does not show how
// much has to move elsewhere. The zero value has no measurements. It is not safe
// for concurrent use.
type LoadMeter struct {
	windowStart boottime.Time
	busy        map[uint16]time.Duration
	mean        map[uint16]float64
}

// Add records a request for a key that needs a slot for the time slotTime.
func (m *LoadMeter) Add(now boottime.Time, key uint16, slotTime time.Duration) {
	m.roll(now)
	m.busy[key] += slotTime
}

// roll closes the window if it is over. Each window has as much weight as all
// earlier ones together.
func (m *LoadMeter) roll(now boottime.Time) {
	if m.busy == nil {
		m.busy, m.mean, m.windowStart = map[uint16]time.Duration{}, map[uint16]float64{}, now
	}
	length := now.Sub(m.windowStart)
	if length < loadWindow {
		return
	}
	for key, mean := range m.mean {
		m.mean[key] = mean / 2
	}
	for key, busy := range m.busy {
		m.mean[key] += float64(busy) / float64(length) / 2
	}
	maps.DeleteFunc(m.mean, func(_ uint16, mean float64) bool { return mean < minTrackedLoad })
	clear(m.busy)
	m.windowStart = now
}

// Snapshot returns the current loads.
func (m *LoadMeter) Snapshot(now boottime.Time) Loads {
	m.roll(now)
	l := Loads{keys: slices.Sorted(maps.Keys(m.mean))}
	l.sums = make([]float64, len(l.keys)+1)
	for i, key := range l.keys {
		l.sums[i+1] = l.sums[i] + m.mean[key]
	}
	return l
}

// Loads holds the loads of keys, in slots.
type Loads struct {
	// keys is sorted; sums[i] is the total load of the keys before keys[i].
	keys []uint16
	sums []float64
}

// Sum returns the total load of a range; from and to are inclusive.
func (l Loads) Sum(from, to uint16) float64 {
	i, j := l.indexes(from, to)
	if i == j {
		return 0
	}
	return l.sums[j] - l.sums[i]
}

// indexes returns the indexes in l.keys of the keys in the range; j is exclusive.
func (l Loads) indexes(from, to uint16) (i, j int) {
	i = sort.Search(len(l.keys), func(k int) bool { return l.keys[k] >= from })
	j = sort.Search(len(l.keys), func(k int) bool { return l.keys[k] > to })
	return i, j
}

// Hottest returns the key of the range with the highest load, and that load. It
// returns zeros if the range has no load.
func (l Loads) Hottest(from, to uint16) (key uint16, load float64) {
	i, j := l.indexes(from, to)
	for ; i < j; i++ {
		if own := l.sums[i+1] - l.sums[i]; own > load {
			key, load = l.keys[i], own
		}
	}
	return key, load
}

// SplitPoints divides a range into at most n parts of about equal load. It
// returns the last key of each part except the last part.
func (l Loads) SplitPoints(from, to uint16, n int) []uint16 {
	i, j := l.indexes(from, to)
	target := l.Sum(from, to) / float64(max(n, 1))
	var lastKeys []uint16
	load := 0.0
	for k := i; k < j && len(lastKeys) < n-1; k++ {
		load += l.sums[k+1] - l.sums[k]
		if load < target || l.keys[k] == to {
			continue
		}
		lastKeys = append(lastKeys, l.keys[k])
		load = 0
	}
	return lastKeys
}
