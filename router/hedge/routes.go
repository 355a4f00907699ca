package hedge

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// minDelay is the shortest delay: a hop between regions takes 8 ms each way, so that
	// an earlier second request would seldom win.
	minDelay = 10 * time.Millisecond
	// window is the number of recent response times of a route that are kept.
	window = 256
	// minResponses is the number of response times from which a delay is computed. The
	// 95th percentile of fewer is little more than their maximum.
	minResponses = 50
	// percentile is the share of response times below the delay.
	percentile = 95
	// maxAge is the age of the last response time behind which all are dropped, because
	// they describe another load.
	maxAge = time.Minute
	// maxRoutes bounds the routes; the one that responded least recently is dropped.
	maxRoutes = 512
	// maxOutlived is the number of the last 32 requests that may have outlived the delay.
	// 1 to 2 are expected; a single slow host among three causes 11.
	maxOutlived = 11
)

// Routes holds the recent response times of each route. It is safe for concurrent use.
type Routes struct {
	mu     sync.Mutex
	byName map[string]*route
}

// route holds the recent response times of one route.
type route struct {
	// recent holds the times in the order in which they arrived; next is the index of the
	// oldest one if there are window of them.
	recent []time.Duration
	next   int
	sorted []time.Duration
	lastAt time.Time
	// outlived has a bit for each of the last 32 requests; 1 means that the request
	// outlived the delay.
	outlived uint32
}

// NewRoutes returns an empty set.
func NewRoutes() *Routes {
	return &Routes{byName: map[string]*route{}}
}

// Responded records the time that an attempt took until its usable response.
func (r *Routes) Responded(now time.Time, name string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.byName[name]
	if rt == nil {
		r.makeRoom()
		rt = &route{}
		r.byName[name] = rt
	}
	if now.Sub(rt.lastAt) > maxAge {
		*rt = route{}
	}
	rt.lastAt = now
	rt.add(took)
}

// makeRoom drops the route that responded least recently if there are maxRoutes. r.mu must
// be held.
func (r *Routes) makeRoom() {
	if len(r.byName) < maxRoutes {
		return
	}
	oldest := ""
	for name, rt := range r.byName {
		if oldest == "" || rt.lastAt.Before(r.byName[oldest].lastAt) {
			oldest = name
		}
	}
	delete(r.byName, oldest)
}

func (rt *route) add(took time.Duration) {
	if len(rt.recent) < window {
		rt.recent = append(rt.recent, took)
	} else {
		at, _ := slices.BinarySearch(rt.sorted, rt.recent[rt.next])
		rt.sorted = slices.Delete(rt.sorted, at, at+1)
		rt.recent[rt.next] = took
		rt.next = (rt.next + 1) % window
	}
	at, _ := slices.BinarySearch(rt.sorted, took)
	rt.sorted = slices.Insert(rt.sorted, at, took)
}

// Delay returns the time after which a request of the route counts as slow, and false if
// there are too few recent response times.
func (r *Routes) Delay(now time.Time, name string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.byName[name]
	if rt == nil || len(rt.sorted) < minResponses || now.Sub(rt.lastAt) > maxAge {
		return 0, false
	}
	rank := (len(rt.sorted)*percentile + 99) / 100
	return max(rt.sorted[rank-1], minDelay), true
}

// RecordDelay records whether a request of the route outlived its delay.
func (r *Routes) RecordDelay(name string, outlived bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.byName[name]
	if rt == nil {
		return
	}
	rt.outlived <<= 1
	if outlived {
		rt.outlived |= 1
	}
}

// Slow reports whether so many of the last requests of the route outlived the delay that
// the cause is not a single host.
func (r *Routes) Slow(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt := r.byName[name]
	return rt != nil && bits.OnesCount32(rt.outlived) > maxOutlived
}
