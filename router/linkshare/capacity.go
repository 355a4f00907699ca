package linkshare

import (
	"math"
	"time"
)

const (
	// SampleInterval is the time between samples while responses are sent.
	SampleInterval = 250 * time.Millisecond
	// maxSampleGap is the longest time between two samples that say something about the
	// time between them.
	maxSampleGap = time.Second
	// queueTime is the time of sending that may be unacknowledged while the link keeps up:
	// the round trip between regions takes 16 ms, and receivers may acknowledge 40 ms late.
	queueTime = 50 * time.Millisecond
	// busySamples is the number of consecutive samples after which the link counts as
	// busy. Connections that have just begun to send queue more for some round trips.
	busySamples = 2
	// carriedWeight is the weight of a sample of a busy link in the rate.
	carriedWeight = 0.5
	// minRateShare is the least rate as a share of the capacity.
	minRateShare = 0.05
	// The rate rises by cautiousRise in each SampleInterval after the link was busy, and by
	// quickRise once it has not been busy for probeTime. A link that stays narrow is then
	// overrun by a few percent before it is busy again.
	cautiousRise = 1.05
	quickRise    = 1.25
	probeTime    = 2 * time.Second
)

// Sample is what the kernel says about the connections on the link, without those whose
// receivers do not keep up.
type Sample struct {
	// Carried is the number of bytes that were acknowledged since the last sample.
	Carried int64
	// Queued is the number of bytes that are written and not acknowledged.
	Queued int64
}

// Observe adapts the rate to what the link carries.
func (l *Link) Observe(now time.Time, s Sample) {
	elapsed := now.Sub(l.sampledAt)
	l.sampledAt = now
	if elapsed <= 0 || elapsed > maxSampleGap {
		l.overruns = 0
		return
	}
	if float64(s.Queued) <= 2*ChunkBytes+queueTime.Seconds()*l.rate {
		l.overruns = 0
		rise := cautiousRise
		if now.Sub(l.busyAt) > probeTime {
			rise = quickRise
		}
		l.rate = min(l.rate*math.Pow(rise, elapsed.Seconds()/SampleInterval.Seconds()), l.capacity)
		return
	}
	if l.overruns++; l.overruns < busySamples {
		return
	}
	l.busyAt = now
	carried := float64(s.Carried) / elapsed.Seconds()
	l.rate = min(max(l.rate+carriedWeight*(carried-l.rate), minRateShare*l.capacity), l.capacity)
	// What is queued in the kernel delays short responses. It leaves before the next chunk.
	leaves := now.Add(min(duration(float64(s.Queued-ChunkBytes)/l.rate), SampleInterval))
	if leaves.After(l.busyUntil) {
		l.busyUntil = leaves
	}
}

// RateShare returns the rate as a share of the capacity.
func (l *Link) RateShare() float64 {
	return l.rate / l.capacity
}
