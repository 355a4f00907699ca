// Package linkshare schedules the responses that a host sends on its link. Small
// responses are sent at once. Large ones are sent in chunks, in round robin and at a rate
// below that of the link, so that a small response waits behind one chunk at most.
// Admission refuses large responses that could not be sent in time. The package has no
// clock, network or goroutine: times are passed in, and must not decrease.
package linkshare

import (
	"math"
	"slices"
	"time"
)

const (
	// ChunkBytes is the size up to which a response is small, and that of a chunk of a
	// large one.
	ChunkBytes = 16 << 10
	// largeShare is the share of the rate that large responses may take. The rest covers
	// the headers of packets (4%) and small responses that arrive in bursts.
	largeShare = 0.85
	// catchUp bounds the unused time of the link that may be made up for: timers fire
	// late by some milliseconds on hosts with a part of a core.
	catchUp = 5 * time.Millisecond
	// meterTime is the time constant of the moving averages of traffic.
	meterTime = time.Second
	// minLargeShare is the least share of the rate that large responses get, however many
	// small ones there are: the settings may be wrong, or the link wider.
	minLargeShare = 0.1
	// maxSmallLead bounds the time by which a burst of small responses delays large ones.
	maxSmallLead = 250 * time.Millisecond
)

// Link is the outgoing direction of a host's link. It is not safe for concurrent use.
type Link struct {
	// capacity is the bandwidth of the settings, rate what the link carries at present, in
	// bytes per second.
	capacity, rate float64
	// busyUntil is when everything that was sent so far has left at the scheduled rate.
	busyUntil time.Time
	small     meter
	large     meter
	// transfers are all that are admitted and not ended.
	transfers []*Transfer
	// queue holds the transfers whose next chunk waits, the next one first.
	queue []*Transfer
	// sampledAt is the time of the last sample, busyAt that of the last one of a busy link.
	// overruns counts the consecutive samples in which the link did not keep up.
	sampledAt, busyAt time.Time
	overruns          int
	// refusals are the last ones, without and with Request.Last.
	refusals [2]refusal
}

// Transfer is one large response.
type Transfer struct {
	// remaining is the number of bytes that are not sent yet. It is an estimate until the
	// length of the response is known.
	remaining int64
	// readyAt is when the response is expected from the upstream.
	readyAt time.Time
	// limit is when the response should have been sent.
	limit time.Time
	// deadline is when the caller leaves.
	deadline time.Time
	// next is the size of the chunk that waits, 0 if none does.
	next  int
	ended bool
}

// New returns an idle link with a capacity in Mbit/s.
func New(mbps float64) *Link {
	capacity := mbps * 1e6 / 8
	return &Link{capacity: capacity, rate: capacity}
}

// Charge records n bytes that are sent at once.
func (l *Link) Charge(now time.Time, n int) {
	l.small.add(now, n)
	// Small responses above the rate leave large ones the share that forecasts assume.
	before := l.busyUntil
	l.occupy(now, float64(n)/max(l.rate, l.small.rate(now)/(1-minLargeShare)))
	if latest := now.Add(maxSmallLead); l.busyUntil.After(latest) {
		l.busyUntil = latest
		if before.After(latest) {
			l.busyUntil = before
		}
	}
}

// occupy adds time to the schedule.
func (l *Link) occupy(now time.Time, seconds float64) {
	if earliest := now.Add(-catchUp); l.busyUntil.Before(earliest) {
		l.busyUntil = earliest
	}
	l.busyUntil = l.busyUntil.Add(duration(seconds))
}

// Open adds a response of about n bytes that is ready and was not asked to be admitted.
func (l *Link) Open(now time.Time, n int64) *Transfer {
	t := &Transfer{remaining: max(n, 1), readyAt: now}
	l.transfers = append(l.transfers, t)
	return t
}

// Ready records that the response has come from the upstream, and its length. A negative
// length is unknown; the estimate stays.
func (l *Link) Ready(now time.Time, t *Transfer, length int64) {
	t.readyAt = now
	if length >= 0 {
		if length < t.remaining {
			l.refusals = [2]refusal{}
		}
		t.remaining = length
	}
}

// Queue lets the next chunk of the transfer, of n bytes, wait for its turn.
func (l *Link) Queue(t *Transfer, n int) {
	if t.ended || t.next > 0 {
		return
	}
	t.next = n
	l.queue = append(l.queue, t)
}

// Next returns the transfer whose chunk may be sent now, and charges the chunk. Otherwise
// it returns nil and the time until the next chunk may be sent, or 0 if none waits.
func (l *Link) Next(now time.Time) (*Transfer, time.Duration) {
	if len(l.queue) == 0 {
		return nil, 0
	}
	if wait := l.busyUntil.Sub(now); wait > 0 {
		return nil, wait
	}
	t := l.queue[0]
	l.queue = slices.Delete(l.queue, 0, 1)
	l.large.add(now, t.next)
	l.occupy(now, float64(t.next)/(largeShare*l.rate))
	t.remaining = max(t.remaining-int64(t.next), 0)
	t.next = 0
	return t, 0
}

// End removes a transfer, whether or not it was sent.
func (l *Link) End(t *Transfer) {
	if t.ended {
		return
	}
	t.ended = true
	if t.remaining > 0 {
		l.refusals = [2]refusal{} // there is room earlier than forecast
	}
	is := func(other *Transfer) bool { return other == t }
	l.transfers = slices.DeleteFunc(l.transfers, is)
	l.queue = slices.DeleteFunc(l.queue, is)
}

// Backlog returns the number of bytes that are admitted and not sent.
func (l *Link) Backlog() int64 {
	var n int64
	for _, t := range l.transfers {
		n += t.remaining
	}
	return n
}

// largeRate returns the rate in bytes per second at which large responses are expected to
// be sent.
func (l *Link) largeRate(now time.Time) float64 {
	return largeShare * max(l.rate-l.small.rate(now), minLargeShare*l.rate)
}

// TimeOf returns the time that n bytes of large responses take on the link.
func (l *Link) TimeOf(now time.Time, n int64) time.Duration {
	return duration(float64(n) / l.largeRate(now))
}

// backlogTime is the time of sending whose backlog counts like a fully used link.
const backlogTime = time.Second

// Taken returns the share of the link that is taken: the traffic of the last second and
// the backlog. It exceeds 1 if responses wait.
func (l *Link) Taken(now time.Time) float64 {
	used := l.small.rate(now)/l.rate + l.large.rate(now)/(largeShare*l.rate)
	return min(used, 1) + float64(l.Backlog())/l.largeRate(now)/backlogTime.Seconds()
}

// meter is a moving average of bytes per second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, n int) {
	m.value, m.at = m.rate(now)+float64(n)/meterTime.Seconds(), now
}

func (m *meter) rate(now time.Time) float64 {
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/meterTime.Seconds())
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
