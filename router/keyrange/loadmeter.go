package keyrange

import (
	"maps"
	"slices"
	"sort"
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// rateWindow is the time over which the load of a key is averaged. Hot keys
	// change within seconds.
	rateWindow = 600 * time.Millisecond
	// forgottenRate is the load, in slots, below which a key is forgotten.
	forgottenRate = 0.002
)

// LoadMeter follows how many slots the requests for each key need, whether they get
// them or not: the load that an overloaded upstream serves does not tell how
// much has to go elsewhere. The zero value has seen nothing.
type LoadMeter struct {
	began boottime.Time
	busy  map[uint16]time.Duration
	mean  map[uint16]float64
}

// Add counts a request for a key with the time for which it needs a slot.
func (r *LoadMeter) Add(now boottime.Time, key uint16, took time.Duration) {
	r.roll(now)
	r.busy[key] += took
}

// roll ends the window when it is over. Each window counts as much as all
// earlier ones.
func (r *LoadMeter) roll(now boottime.Time) {
	if r.busy == nil {
		r.busy, r.mean, r.began = map[uint16]time.Duration{}, map[uint16]float64{}, now
	}
	length := now.Sub(r.began)
	if length < rateWindow {
		return
	}
	for key, mean := range r.mean {
		r.mean[key] = mean / 2
	}
	for key, busy := range r.busy {
		r.mean[key] += float64(busy) / float64(length) / 2
	}
	maps.DeleteFunc(r.mean, func(_ uint16, mean float64) bool { return mean < forgottenRate })
	clear(r.busy)
	r.began = now
}

// Snapshot returns the loads of the moment.
func (r *LoadMeter) Snapshot(now boottime.Time) Loads {
	r.roll(now)
	l := Loads{keys: slices.Sorted(maps.Keys(r.mean))}
	l.sums = make([]float64, len(l.keys)+1)
	for i, key := range l.keys {
		l.sums[i+1] = l.sums[i] + r.mean[key]
	}
	return l
}

// Loads are the loads of keys, in slots.
type Loads struct {
	// keys are ordered; sums[i] is the load of the keys before keys[i].
	keys []uint16
	sums []float64
}

// Sum returns the load of a range of keys.
func (l Loads) Sum(from, to uint16) float64 {
	i, j := l.span(from, to)
	if i == j {
		return 0
	}
	return l.sums[j] - l.sums[i]
}

// span returns the indexes of the keys in the range, the second exclusive.
func (l Loads) span(from, to uint16) (i, j int) {
	i = sort.Search(len(l.keys), func(k int) bool { return l.keys[k] >= from })
	j = sort.Search(len(l.keys), func(k int) bool { return l.keys[k] > to })
	return i, j
}

// Hottest returns the key of the range with the highest load, and that load; 0
// for a range without load.
func (l Loads) Hottest(from, to uint16) (key uint16, load float64) {
	i, j := l.span(from, to)
	for ; i < j; i++ {
		if own := l.sums[i+1] - l.sums[i]; own > load {
			key, load = l.keys[i], own
		}
	}
	return key, load
}

// SplitPoints divides a range into at most n parts of about the same load. It returns
// the last key of each part but the last one.
func (l Loads) SplitPoints(from, to uint16, n int) []uint16 {
	i, j := l.span(from, to)
	part := l.Sum(from, to) / float64(max(n, 1))
	var cuts []uint16
	done := 0.0
	for k := i; k < j && len(cuts) < n-1; k++ {
		done += l.sums[k+1] - l.sums[k]
		if done < part || l.keys[k] == to {
			continue
		}
		cuts = append(cuts, l.keys[k])
		done = 0
	}
	return cuts
}
