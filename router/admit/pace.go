package admit

import (
	"math"
	"time"
)

const (
	// paceTime is the time constant of the moving average: it has followed a change for 86%
	// after 200 ms.
	paceTime = 100 * time.Millisecond
	// paceMemory is the time after which a reported pace says nothing: the load of the
	// machine changes many times a second.
	paceMemory = 2 * time.Second
	// minPace and maxPace bound the factor, so that one odd report cannot stop a host.
	minPace, maxPace = 0.1, 20
)

// Pace is the moving average of how long work takes at the upstream compared with the
// usual time, as the upstream reports it. The zero value has no reports. It has no clock;
// times are passed in and must not decrease.
type Pace struct {
	// average is the average at the time of the last report, and last that report.
	average, last float64
	reportedAt    time.Time
}

// Observe records a report: work takes the given multiple of the usual time.
func (p *Pace) Observe(now time.Time, factor float64) {
	factor = min(max(factor, minPace), maxPace)
	if !p.Known(now) {
		*p = Pace{average: factor, last: factor, reportedAt: now}
		return
	}
	*p = Pace{average: p.Factor(now), last: factor, reportedAt: now}
}

// Known reports whether there is a report that is not too old.
func (p *Pace) Known(now time.Time) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) <= paceMemory
}

// Factor returns the average. It is 1 if there is no report.
func (p *Pace) Factor(now time.Time) float64 {
	if !p.Known(now) {
		return 1
	}
	if p.average == p.last {
		return p.last
	}
	return p.last + (p.average-p.last)*math.Exp(-float64(now.Sub(p.reportedAt))/float64(paceTime))
}

// ObservePace records that the upstream reports that work takes the given multiple of the
// usual time.
func (l *PriorityLimiter) ObservePace(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.pace.Observe(now, factor)
	l.paceFactor = l.pace.Factor(now)
}

// Pace returns the multiple of the usual time that work takes at the upstream, 1 if the
// upstream does not report it.
func (l *PriorityLimiter) Pace() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pace.Factor(l.now())
}

// atPace returns the time that work takes now if it usually takes d. The caller holds l.mu.
func (l *PriorityLimiter) atPace(d time.Duration) time.Duration {
	if l.paceFactor == 1 {
		return d
	}
	return time.Duration(float64(d) * l.paceFactor)
}

// usual returns the time that work usually takes if it took d now. The caller holds l.mu.
func (l *PriorityLimiter) usual(d time.Duration) time.Duration {
	if l.paceFactor == 1 {
		return d
	}
	return time.Duration(float64(d) / l.paceFactor)
}
