package balance

import (
	"math"
	"time"
)

const (
	// summaryDecay is the age at which a summary counts for 1/e; the rest of
	// the estimate is the mean.
	summaryDecay = 30 * time.Second
	// summaryMaxAge is the age at which a summary is ignored.
	summaryMaxAge = 2 * time.Minute
	// maxPlausibleRatio is the highest believable load per slot. An upstream
	// does not use more slots than it has; the rest allows for waiting
	// requests that it may count.
	maxPlausibleRatio = 4
	// lowRatio is the share of the mean below which the summary of a host that
	// joined long ago counts half at most: a wrong low summary would draw load
	// from every host.
	lowRatio = 0.05
	// rampTime is how long a host that joined is cold, and rampStart the share
	// of its capacity that it begins with.
	rampTime  = time.Minute
	rampStart = 0.2
	// reportLag is how old a summary may be and still miss a move.
	reportLag = 5 * time.Second
	// sentMaxAge is when a move is forgotten even if no newer summary came.
	sentMaxAge = time.Minute
)

// estimate is what the policy believes of one host.
type estimate struct {
	HostLoad
	// capacity is that of the summary, lowered while the host is cold.
	capacity float64
	// load is in slot-seconds/s, discounted by age and with moves that the
	// summary does not show yet.
	load float64
}

// ratio is the load per slot.
func (e estimate) ratio() float64 {
	return e.load / e.capacity
}

// fleet is what the policy believes of the service.
type fleet struct {
	self  estimate
	hosts []estimate
	// mean is the load per slot of the service.
	mean float64
}

// size is the number of hosts.
func (f fleet) size() float64 {
	return float64(len(f.hosts) + 1)
}

func plausible(h HostLoad) bool {
	if !(h.Capacity > 0) || math.IsInf(h.Capacity, 0) {
		return false
	}
	return h.SlotLoad >= 0 && h.SlotLoad <= maxPlausibleRatio*h.Capacity
}

// ramp returns the share of its capacity that a host has warmed up to.
func ramp(now time.Time, h HostLoad) float64 {
	if h.JoinedAt.IsZero() {
		return 1
	}
	age := now.Sub(h.JoinedAt)
	warm := rampStart + (1-rampStart)*age.Seconds()/rampTime.Seconds()
	return min(1, max(rampStart, warm))
}

// trust returns how much of a summary is believed, between 0 and 1.
func trust(now time.Time, h HostLoad, mean float64) float64 {
	age := max(0, now.Sub(h.MeasuredAt))
	t := math.Exp(-age.Seconds() / summaryDecay.Seconds())
	old := h.JoinedAt.IsZero() || now.Sub(h.JoinedAt) > 2*rampTime
	if old && h.SlotLoad < lowRatio*mean*h.Capacity {
		t = min(t, 0.5)
	}
	return t
}

// survey estimates the load of every host with a usable summary.
func (p *Policy) survey(now time.Time, in Input) (fleet, bool) {
	if !plausible(in.Self) {
		return fleet{}, false
	}
	hosts := p.usable(now, in.Hosts)
	mean := meanRatio(now, in.Self, hosts)
	f := fleet{self: estimate{HostLoad: in.Self, capacity: in.Self.Capacity * ramp(now, in.Self), load: in.Self.SlotLoad}}
	for _, h := range hosts {
		t := trust(now, h, mean)
		f.hosts = append(f.hosts, estimate{
			HostLoad: h,
			capacity: h.Capacity * ramp(now, h),
			load:     t*h.SlotLoad + (1-t)*mean*h.Capacity + p.sentTo(now, h),
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

func (p *Policy) usable(now time.Time, hosts []HostLoad) []HostLoad {
	var usable []HostLoad
	for _, h := range hosts {
		if plausible(h) && now.Sub(h.MeasuredAt) < summaryMaxAge {
			usable = append(usable, h)
		}
	}
	return usable
}

// meanRatio is the mean load per slot, with older summaries counting less.
func meanRatio(now time.Time, self HostLoad, hosts []HostLoad) float64 {
	load, capacity := self.SlotLoad, self.Capacity
	for _, h := range hosts {
		w := math.Exp(-max(0, now.Sub(h.MeasuredAt)).Seconds() / summaryDecay.Seconds())
		load += w * h.SlotLoad
		capacity += w * h.Capacity
	}
	return load / capacity
}
