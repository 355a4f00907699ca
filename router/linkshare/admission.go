package linkshare

import (
	"time"
)

// lateShare is the share of its own time on the link by which the backlog may delay a
// response that would miss its goal on an idle link too.
const lateShare = 0.25

// Request describes a response that is to be admitted.
type Request struct {
	// Bytes is the expected size.
	Bytes int64
	// Service is the expected time until the upstream has responded.
	Service time.Duration
	// Goal is when the response should have been sent, Deadline when it must have been.
	Goal     time.Time
	Deadline time.Time
	// Last is true if no other host is left to try, so that Deadline decides.
	Last bool
}

// Admission is the result of Admit.
type Admission struct {
	// Transfer is the response with its place in the backlog, or nil if it is refused.
	Transfer *Transfer
	// SendTime is the expected time from the upstream's response until it has been sent.
	SendTime time.Duration
	// RetryAfter is the time after which there will be room, if it is refused.
	RetryAfter time.Duration
}

// Admit admits a response if it is expected to be sent in time and does not make another
// one late.
func (l *Link) Admit(now time.Time, r Request) Admission {
	rate := l.largeRate(now)
	size, service := max(r.Bytes, 1), max(r.Service, 0)
	limit, bound := r.limit(now, rate)
	last := &l.refusals[0]
	if r.Last {
		last = &l.refusals[1]
	}
	if last.covers(now, r, bound) {
		return Admission{RetryAfter: last.until.Sub(now)}
	}
	c := flow{remaining: float64(size), ready: service.Seconds(), limit: bound}
	s := l.schedule(now)
	fits, finish := s.fits(c, rate)
	if !fits {
		retryAfter := max(duration(s.roomAfter(c, rate)), time.Millisecond)
		*last = refusal{request: r, bound: bound, until: now.Add(retryAfter)}
		return Admission{RetryAfter: retryAfter}
	}
	t := &Transfer{remaining: size, readyAt: now.Add(service), limit: limit, deadline: r.Deadline}
	l.transfers = append(l.transfers, t)
	return Admission{Transfer: t, SendTime: duration(finish - c.ready)}
}

// refusal is a refused response. Until there is room for it, others that need as much are
// refused without a forecast, which takes up to a millisecond on a wide link.
type refusal struct {
	request Request
	// bound is the time in seconds within which it had to be sent.
	bound float64
	// until is when there is room for it.
	until time.Time
}

// covers reports whether a response that must be sent within the bound is refused as well.
// A slightly longer bound makes no difference, because no forecast is that exact.
func (f *refusal) covers(now time.Time, r Request, bound float64) bool {
	return now.Before(f.until) && r.Bytes >= f.request.Bytes && r.Service >= f.request.Service && bound*(1-forecastMargin) <= f.bound
}

// limit returns the time until which the response must have been sent, and the seconds
// from now until which the forecast must say so.
func (r Request) limit(now time.Time, rate float64) (limit time.Time, bound float64) {
	deadline := withMargin(r.Deadline.Sub(now).Seconds(), rate)
	if r.Last {
		return r.Deadline, deadline
	}
	goal := withMargin(r.Goal.Sub(now).Seconds(), rate)
	sending := float64(r.Bytes) / rate
	if idle := max(r.Service, 0).Seconds() + sending; idle > goal {
		return r.Deadline, min(idle+lateShare*sending, deadline)
	}
	return r.Goal, min(goal, deadline)
}
