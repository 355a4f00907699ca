package balance

import (
	"math"
	"time"
)

const (
	// summaryDecay is the age at which a summary has the weight 1/e in the estimate
	// of a host's load; the rest of the estimate is the mean.
	summaryDecay = 30 * time.Second
	// summaryMaxAge is the age from which a summary is ignored.
	summaryMaxAge = 2 * time.Minute
	// maxPlausibleRatio is the highest plausible load per slot. An upstream does not
	// use more slots than it has, but may include waiting requests in its load.
	maxPlausibleRatio = 4
	// lowRatio is the share of the mean load below which the summary of a host that
	// joined more than 2*rampTime ago has a weight of at most 0.5: an incorrect low
	// summary would attract load from every host.
	lowRatio = 0.05
	// rampTime is how long a host is cold after joining; rampStart is the initial
	// share of its capacity.
	rampTime  = time.Minute
	rampStart = 0.2
	// reportLag is how long after a move a target's summary may not include it.
	reportLag = 5 * time.Second
	// sentMaxAge is when a move is discarded even without a newer summary.
	sentMaxAge = time.Minute
)

// estimate is the policy's estimate of the capacity and load of one host.
type estimate struct {
	HostLoad
	// capacity is in slots: that of the summary, reduced while the host is cold.
	capacity float64
	// load is in slot-seconds/s: that of the summary, weighted by its age, plus
	// the load of moves that the summary does not include yet.
	load float64
}

// loadPerSlot returns load / capacity, the mean number of busy slots per slot.
func (e estimate) loadPerSlot() float64 {
	return e.load / e.capacity
}

// fleet holds the estimates of all hosts of the service.
type fleet struct {
	self  estimate
	hosts []estimate
	// mean is the load per slot of the service.
	mean float64
}

// size is the number of hosts, including this one.
func (f fleet) size() float64 {
	return float64(len(f.hosts) + 1)
}

// plausible reports whether the load and capacity of a summary can be correct.
func plausible(h HostLoad) bool {
	if !(h.Capacity > 0) || math.IsInf(h.Capacity, 0) {
		return false
	}
	return h.SlotLoad >= 0 && h.SlotLoad <= maxPlausibleRatio*h.Capacity
}

// ramp returns the share of its capacity, from rampStart to 1, that a host has after
// warming up since it joined.
func ramp(now time.Time, h HostLoad) float64 {
	if h.JoinedAt.IsZero() {
		return 1
	}
	age := now.Sub(h.JoinedAt)
	warm := rampStart + (1-rampStart)*age.Seconds()/rampTime.Seconds()
	return min(1, max(rampStart, warm))
}

// summaryWeight returns the weight of a summary in the estimate, between 0 and 1.
func summaryWeight(now time.Time, h HostLoad, mean float64) float64 {
	age := max(0, now.Sub(h.MeasuredAt))
	t := math.Exp(-age.Seconds() / summaryDecay.Seconds())
	warm := h.JoinedAt.IsZero() || now.Sub(h.JoinedAt) > 2*rampTime
	if warm && h.SlotLoad < lowRatio*mean*h.Capacity {
		t = min(t, 0.5)
	}
	return t
}

// estimateFleet estimates the load of every host with a usable summary. It returns false
// if this host's summary is not plausible or the service has no load.
func (p *Policy) estimateFleet(now time.Time, in Input) (fleet, bool) {
	if !plausible(in.Self) {
		return fleet{}, false
	}
	hosts := p.usable(now, in.Hosts)
	mean := meanLoadPerSlot(now, in.Self, hosts)
	f := fleet{self: estimate{HostLoad: in.Self, capacity: in.Self.Capacity * ramp(now, in.Self), load: in.Self.SlotLoad}}
	for _, h := range hosts {
		t := summaryWeight(now, h, mean)
		f.hosts = append(f.hosts, estimate{
			HostLoad: h,
			capacity: h.Capacity * ramp(now, h),
			load:     t*h.SlotLoad + (1-t)*mean*h.Capacity + p.unreportedLoad(now, h),
		})
	}
	load, capacity := f.self.load, f.self.capacity
	for _, e := range f.hosts {
		load += e.load
		capacity += e.capacity
	}
	f.mean = load / capacity
	return f, f.mean > 0
}

// usable returns the summaries that are plausible and not too old.
func (p *Policy) usable(now time.Time, hosts []HostLoad) []HostLoad {
	var usable []HostLoad
	for _, h := range hosts {
		if plausible(h) && now.Sub(h.MeasuredAt) < summaryMaxAge {
			usable = append(usable, h)
		}
	}
	return usable
}

// meanLoadPerSlot returns the mean load per slot, with older summaries weighted less.
func meanLoadPerSlot(now time.Time, self HostLoad, hosts []HostLoad) float64 {
	load, capacity := self.SlotLoad, self.Capacity
	for _, h := range hosts {
		w := math.Exp(-max(0, now.Sub(h.MeasuredAt)).Seconds() / summaryDecay.Seconds())
		load += w * h.SlotLoad
		capacity += w * h.Capacity
	}
	return load / capacity
}
