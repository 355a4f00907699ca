package fleet

import (
	"sync"
	"time"

	"burdockglade.dev/router/hop"
)

const (
	// loadHalfLife is the age at which a reported load counts half: requests last
	// tens to hundreds of milliseconds.
	loadHalfLife = 300 * time.Millisecond
	// coldLoadHalfLife is that age while the upstream is cold: the bound on its requests
	// lets few more through for about a second.
	coldLoadHalfLife = time.Second
	// minPaceFactor and maxPaceFactor bound the effect of a reported pace.
	minPaceFactor = 0.2
	maxPaceFactor = 5
	// sampleWeight is the weight of a new sample in the moving averages of latency
	// and errors.
	sampleWeight = 0.1
	// reportWeight is the weight of a new report in the moving average of a host's
	// utilization. Each router receives a few reports per second.
	reportWeight = 0.2
	// minBackoff and maxBackoff bound the time for which an unreachable host gets
	// no requests.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// A host with requests in flight counts as silent after minSilence without a
	// response, or after silenceLatencyFactor times its mean latency if that is
	// longer.
	minSilence           = 300 * time.Millisecond
	silenceLatencyFactor = 4
	// probeInterval is the time between requests that are let through to a host
	// that does not respond.
	probeInterval = 300 * time.Millisecond
)

// Load is the load of its upstream that a host reports.
type Load struct {
	// Busy is the number of requests that hold a slot, Waiting that of requests
	// that wait for one.
	Busy    int
	Waiting int
	// Slots is the number of requests that may run concurrently.
	Slots int
	// Pace is the time that work takes at the upstream at the moment, in percent of the
	// usual time; 0 if it is as usual or not known.
	Pace int
	// Link is the share of the host's link that is taken, 0 if it is not reported. It
	// exceeds 1 if responses wait for the link.
	Link float64
}

// paceFactor returns the pace as a multiple of the usual time.
func (l Load) paceFactor() float64 {
	if l.Pace <= 0 {
		return 1
	}
	return min(max(float64(l.Pace)/100, minPaceFactor), maxPaceFactor)
}

// Utilization returns the busy and waiting requests as a share of the slots, or 1
// if the number of slots is 0, or Link if that is higher. It exceeds 1 if requests wait
// for slots.
func (l Load) Utilization() float64 {
	if l.Slots == 0 {
		return max(1, l.Link)
	}
	return max(float64(l.Busy+l.Waiting)/float64(l.Slots), l.Link)
}

// Host is another host as seen from this one. It is safe for concurrent use.
type Host struct {
	Client *hop.Client

	mu     sync.Mutex
	member Member
	// rowVersion is the version of the row from which member was read, or MaxInt64
	// if the host is known to exist without a row.
	rowVersion int64
	inFlight   int
	load       Load
	// loadReportedAt is the time at which load was reported.
	loadReportedAt time.Time
	// meanUtilization is the moving average of the reported utilization.
	meanUtilization float64
	// slowness is the moving average of latency divided by the latency objective, at the
	// usual pace.
	slowness float64
	// errorRate is the moving average of the share of requests that failed at the
	// upstream.
	errorRate float64
	// latency is the moving average of response latency.
	latency time.Duration
	// lastResponseAt is the time of the last response; busySince is the time since
	// which there has always been a request in flight.
	lastResponseAt time.Time
	busySince      time.Time
	// probedAt is the time of the last request that was let through while the host
	// did not respond.
	probedAt time.Time
	// failures is the number of consecutive requests that did not reach the host.
	failures     int
	backoffUntil time.Time
	// stoppingSince is the time since which the router of the host is known to stop, zero if
	// it does not.
	stoppingSince time.Time
	// notReaderUntil is the time until which the host is not used as reader of its
	// zone.
	notReaderUntil time.Time
	// notFleetReaderUntil is that time for the reader of the whole fleet. It is separate,
	// because the link to the host's zone may be lost while the host reads for its own zone.
	notFleetReaderUntil time.Time
	// fleetReaderFailures is the number of consecutive watches of its feed that failed.
	fleetReaderFailures int
}

// maxReaderBackoffDoublings bounds the backoff of a reader of the fleet. Each attempt at a
// host that does not respond keeps the changes from a zone until it times out.
const maxReaderBackoffDoublings = 3

// FleetReaderFailed keeps this host from reading the fleet through the host for the backoff,
// which is doubled with each consecutive failure.
func (h *Host) FleetReaderFailed(now time.Time, backoff time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notFleetReaderUntil = now.Add(backoff << min(h.fleetReaderFailures, maxReaderBackoffDoublings))
	h.fleetReaderFailures++
}

// FleetReaderResponded records that the host responded as the reader of the fleet.
func (h *Host) FleetReaderResponded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleetReaderFailures = 0
}

// fleetReadable reports whether readers of other zones may read the fleet from the host.
func (h *Host) fleetReadable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.backoffUntil) && !now.Before(h.notReaderUntil) && !now.Before(h.notFleetReaderUntil)
}

// AvoidAsReader keeps the host from being chosen as the reader of its zone before
// the time until.
func (h *Host) AvoidAsReader(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notReaderUntil = until
}

// readable reports whether other hosts may read the fleet from the host.
func (h *Host) readable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member.State != Stopping && !now.Before(h.backoffUntil) && !now.Before(h.notReaderUntil)
}

// Member returns the latest member data of the host.
func (h *Host) Member() Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member
}

// MeanUtilization returns the moving average of the utilization that the host
// reported.
func (h *Host) MeanUtilization() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.meanUtilization
}

// Slots returns the number of slots that the host reported last, or those of its member
// row if it has reported none. While its upstream is cold, it is at most the number that
// the upstream can use.
func (h *Host) Slots() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	slots := h.member.Slots
	if h.load.Slots > 0 {
		slots = h.load.Slots
	}
	return h.member.coldSlots(time.Now(), slots, h.latency)
}

// RequestStarted records that a request is being sent to the host.
func (h *Host) RequestStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight == 0 {
		h.busySince = time.Now()
	}
	h.inFlight++
}

// Result is the result of a request to a host.
type Result struct {
	// Reached is true if the host responded.
	Reached bool
	// Failed is true if the request failed at the upstream or its outcome is
	// unknown.
	Failed bool
	// Latency is compared with Objective, the latency objective of the request.
	// Both are 0 if nothing ran.
	Latency   time.Duration
	Objective time.Duration
	// Load is the load that the host reported; it is valid if HasLoad is true.
	Load    Load
	HasLoad bool
}

// RequestDone records the result of a request. It must be called once after
// RequestStarted, unless RequestCancelled is.
func (h *Host) RequestDone(now time.Time, r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if r.HasLoad {
		h.load, h.loadReportedAt = r.Load, now
		h.meanUtilization += reportWeight * (r.Load.Utilization() - h.meanUtilization)
	}
	if !r.Reached {
		h.failures++
		backoff := min(minBackoff<<min(h.failures-1, 8), maxBackoff)
		h.backoffUntil = now.Add(backoff)
		return
	}
	h.failures = 0
	h.lastResponseAt = now
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	h.errorRate += sampleWeight * (failed - h.errorRate)
	if r.Latency > 0 && r.Objective > 0 {
		if h.latency == 0 {
			h.latency = r.Latency
		}
		h.latency += time.Duration(sampleWeight * float64(r.Latency-h.latency))
		atUsualPace := float64(r.Latency) / float64(r.Objective) / h.load.paceFactor()
		h.slowness += sampleWeight * (atUsualPace - h.slowness)
	}
}

// ExpectedLatency returns the latency to expect of a request with the latency objective,
// or 0 if none is known.
func (h *Host) ExpectedLatency(objective time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.slowness * h.load.paceFactor() * float64(objective))
}

// RequestCancelled records that a request ended without a result because its
// caller disconnected.
func (h *Host) RequestCancelled() {
	h.mu.Lock()
	h.inFlight--
	h.mu.Unlock()
}

// silent reports whether the host has requests in flight and has not responded
// for too long. h.mu must be held.
func (h *Host) silent(now time.Time) bool {
	since := h.lastResponseAt
	if h.busySince.After(since) {
		since = h.busySince
	}
	return h.inFlight > 0 && now.Sub(since) > max(minSilence, silenceLatencyFactor*h.latency)
}

// AllowRequest reports whether to send a request that only this host can serve:
// the host is not known to be unreachable or silent, or a probe is due. If it
// returns true for a probe, the next one is due after probeInterval.
func (h *Host) AllowRequest(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	allowed, probe := h.allows(now)
	if probe {
		h.probedAt = now
	}
	return allowed
}

// WouldAllowRequest returns what AllowRequest would, and whether that would be a probe.
func (h *Host) WouldAllowRequest(now time.Time) (allowed, probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.allows(now)
}

// allows is WouldAllowRequest with h.mu held.
func (h *Host) allows(now time.Time) (allowed, probe bool) {
	if !now.Before(h.backoffUntil) && !h.silent(now) {
		return true, false
	}
	due := now.Sub(h.probedAt) >= probeInterval
	return due, due
}

// Reachable reports whether the last request reached the host and the host is not
// silent. A host to which no request was sent counts as reachable.
func (h *Host) Reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures == 0 && !h.silent(now)
}

// view is a snapshot of a host from which its cost is computed.
type view struct {
	host        *Host
	member      Member
	utilization float64
	// largeUtilization is the utilization that counts for requests with large responses.
	largeUtilization float64
	slowness         float64
	errorRate        float64
	// unavailable is true if the host is in backoff or silent.
	unavailable bool
	// stoppingSince is that of the host.
	stoppingSince time.Time
}

func (h *Host) view(now time.Time) view {
	h.mu.Lock()
	defer h.mu.Unlock()
	slots := max(h.load.Slots, h.member.Slots, 1)
	halfLife := loadHalfLife
	if h.member.Cold(now) {
		slots, halfLife = h.member.coldSlots(now, slots, h.latency), coldLoadHalfLife
	}
	age := float64(now.Sub(h.loadReportedAt)) / float64(halfLife)
	paceAge := float64(now.Sub(h.loadReportedAt)) / float64(loadHalfLife)
	largeAge := float64(now.Sub(h.loadReportedAt)) / float64(largeLoadHalfLife)
	inFlight := float64(h.inFlight) / float64(slots)
	return view{
		host:             h,
		member:           h.member,
		utilization:      max(h.load.Utilization()/(1+age), inFlight),
		largeUtilization: max(h.load.Utilization()/(1+largeAge), inFlight),
		slowness:         h.slowness * (1 + (h.load.paceFactor()-1)/(1+paceAge)),
		errorRate:        h.errorRate,
		unavailable:      now.Before(h.backoffUntil) || h.silent(now),
		stoppingSince:    h.stoppingSince,
	}
}

// Overtaken records that a request ended because another host responded first, after it had
// run for the time. Without it, a slow host whose requests are always overtaken would never
// count as slow. RequestCancelled must be called as well.
func (h *Host) Overtaken(ran, objective time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if objective <= 0 {
		return
	}
	// The request would have taken longer still, so that the time may only raise the mean.
	if sample := float64(ran) / float64(objective) / h.load.paceFactor(); sample > h.slowness {
		h.slowness += sampleWeight * (sample - h.slowness)
	}
}
