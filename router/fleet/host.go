package fleet

import (
	"sync"
	"time"

	"burdockglade.dev/router/hop"
)

const (
	// loadHalfLife is the time in which a reported load loses half its weight:
	// requests last tens to hundreds of milliseconds.
	loadHalfLife = 300 * time.Millisecond
	// sampleWeight is the weight of a new sample in means of latency and errors.
	sampleWeight = 0.1
	// reportWeight is the weight of a new report in the mean load of a host. Each
	// router gets a few reports a second.
	reportWeight = 0.2
	// firstPause and longestPause bound the time for which a host that cannot
	// be reached gets no requests.
	firstPause   = 300 * time.Millisecond
	longestPause = 3 * time.Second
	// shortestSilence is the shortest time without an answer after which a host
	// with requests under way counts as silent; silentLatencies is that time in
	// mean latencies.
	shortestSilence = 300 * time.Millisecond
	silentLatencies = 4
	// probeInterval is the time between requests that are let through to a host
	// that does not answer.
	probeInterval = 300 * time.Millisecond
)

// Load is what a host reports of its upstream.
type Load struct {
	// Busy requests hold a slot, Waiting ones wait for one.
	Busy    int
	Waiting int
	// Slots is the number of requests that the host lets run at once.
	Slots int
}

// Utilization is the used share of the slots; above 1 when requests wait.
func (l Load) Utilization() float64 {
	if l.Slots == 0 {
		return 1
	}
	return float64(l.Busy+l.Waiting) / float64(l.Slots)
}

// Host is another host as seen from this one. It is safe for concurrent use.
type Host struct {
	Client *hop.Client

	mu     sync.Mutex
	member Member
	// row is the version of the row that member was read from, or MaxInt64 when the
	// host is known to be there without one.
	row     int64
	sending int
	load    Load
	loadAt  time.Time
	// meanUsed is the mean of the reported used shares.
	meanUsed float64
	// slowness is the mean of latency in units of the latency objective.
	slowness float64
	// errors is the mean share of requests that failed at the upstream.
	errors float64
	// latency is the mean time of answers.
	latency time.Duration
	// heardAt is the time of the last answer, busySince that of the first request
	// that was sent when none was under way.
	heardAt   time.Time
	busySince time.Time
	// probedAt is the time of the last request that was let through to a host
	// that does not answer.
	probedAt time.Time
	// failures counts attempts in a row that did not reach the host.
	failures int
	pausedTo time.Time
	// notReaderTo is the time until which the host is not asked for the fleet.
	notReaderTo time.Time
}

// AvoidAsReader keeps the host from being chosen as the reader of its zone.
func (h *Host) AvoidAsReader(to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notReaderTo = to
}

// readable reports whether other hosts may ask the host for the fleet.
func (h *Host) readable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member.State != Stopping && !now.Before(h.pausedTo) && !now.Before(h.notReaderTo)
}

// Member returns what the host told last.
func (h *Host) Member() Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member
}

// MeanUtilization is the mean used share of the host's slots over its last reports.
func (h *Host) MeanUtilization() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.meanUsed
}

// RequestStarted counts a request that is being sent to the host.
func (h *Host) RequestStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sending == 0 {
		h.busySince = time.Now()
	}
	h.sending++
}

// Result is what became of a request that was sent to a host.
type Result struct {
	// Reached tells that the host answered.
	Reached bool
	// Failed tells that the upstream failed or lost the request.
	Failed bool
	// Latency is the latency, and Objective what it is compared with. They are 0
	// when nothing ran.
	Latency   time.Duration
	Objective time.Duration
	// Load is what the host reported, if HasLoad.
	Load    Load
	HasLoad bool
}

// RequestDone takes the result of a request that RequestStarted counted.
func (h *Host) RequestDone(now time.Time, r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sending--
	if r.HasLoad {
		h.load, h.loadAt = r.Load, now
		h.meanUsed += reportWeight * (r.Load.Utilization() - h.meanUsed)
	}
	if !r.Reached {
		h.failures++
		pause := min(firstPause<<min(h.failures-1, 8), longestPause)
		h.pausedTo = now.Add(pause)
		return
	}
	h.failures = 0
	h.heardAt = now
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	h.errors += sampleWeight * (failed - h.errors)
	if r.Latency > 0 && r.Objective > 0 {
		if h.latency == 0 {
			h.latency = r.Latency
		}
		h.latency += time.Duration(sampleWeight * float64(r.Latency-h.latency))
		h.slowness += sampleWeight * (float64(r.Latency)/float64(r.Objective) - h.slowness)
	}
}

// RequestCancelled takes back a request that RequestStarted counted and whose caller left.
func (h *Host) RequestCancelled() {
	h.mu.Lock()
	h.sending--
	h.mu.Unlock()
}

// silent reports whether the host has not answered for long although requests
// are under way. The caller holds the lock.
func (h *Host) silent(now time.Time) bool {
	since := h.heardAt
	if h.busySince.After(since) {
		since = h.busySince
	}
	return h.sending > 0 && now.Sub(since) > max(shortestSilence, silentLatencies*h.latency)
}

// AllowRequest reports whether a request should be sent to a host that has no
// substitute: it is not known to be unreachable or silent, or it is time to try
// again.
func (h *Host) AllowRequest(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.pausedTo) && !h.silent(now) {
		return true
	}
	if now.Sub(h.probedAt) < probeInterval {
		return false
	}
	h.probedAt = now
	return true
}

// Reachable reports whether the last request to the host reached it, and it is not
// silent. A host that was not asked counts as reached.
func (h *Host) Reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures == 0 && !h.silent(now)
}

// view is a snapshot for the choice of a host.
type view struct {
	host     *Host
	member   Member
	used     float64
	slowness float64
	errors   float64
	paused   bool
}

func (h *Host) view(now time.Time) view {
	h.mu.Lock()
	defer h.mu.Unlock()
	slots := max(h.load.Slots, h.member.Slots, 1)
	age := float64(now.Sub(h.loadAt)) / float64(loadHalfLife)
	reported := h.load.Utilization() / (1 + age)
	return view{
		host:     h,
		member:   h.member,
		used:     max(reported, float64(h.sending)/float64(slots)),
		slowness: h.slowness,
		errors:   h.errors,
		paused:   now.Before(h.pausedTo) || h.silent(now),
	}
}
