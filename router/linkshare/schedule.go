package linkshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// schedule is a state of the link from which the times of sending are forecast. All times
// are in seconds from this state.
type schedule struct {
	// busy is the time until the next chunk may be sent.
	busy float64
	// flows are the responses. The first queued of them wait for their next chunk, in the
	// order of their turns.
	flows  []flow
	queued int
}

// flow is a response in a schedule.
type flow struct {
	remaining float64
	// ready is when the response comes from the upstream.
	ready float64
	// limit is when the response should have been sent, deadline when its caller leaves,
	// and finish when it is expected to have been sent.
	limit    float64
	deadline float64
	finish   float64
}

// schedule returns the present state of the link.
func (l *Link) schedule(now time.Time) schedule {
	s := schedule{busy: max(l.busyUntil.Sub(now).Seconds(), 0), queued: len(l.queue), flows: make([]flow, 0, len(l.transfers)+1)}
	add := func(t *Transfer) {
		s.flows = append(s.flows, flow{
			remaining: float64(max(t.remaining, int64(t.next))), ready: t.readyAt.Sub(now).Seconds(),
			limit: t.limit.Sub(now).Seconds(), deadline: t.deadline.Sub(now).Seconds(),
		})
	}
	for _, t := range l.queue {
		add(t)
	}
	for _, t := range l.transfers {
		if t.next == 0 && t.remaining > 0 {
			add(t)
		}
	}
	return s
}

// play sends chunks in turns at the rate until the time until, and sets the finish of the
// responses that are sent completely. It returns the time at which it stopped and the
// responses that wait for a chunk then, in the order of their turns.
func (s *schedule) play(rate, until float64) (at float64, queue []int) {
	coming := make([]int, 0, len(s.flows))
	for i := range s.flows {
		if i < s.queued {
			queue = append(queue, i)
		} else {
			coming = append(coming, i)
		}
	}
	slices.SortStableFunc(coming, func(a, b int) int { return cmp.Compare(s.flows[a].ready, s.flows[b].ready) })
	at = s.busy
	arrive := func() {
		for len(coming) > 0 && s.flows[coming[0]].ready <= at {
			queue, coming = append(queue, coming[0]), coming[1:]
		}
	}
	for arrive(); at < until; {
		if len(queue) == 0 {
			if len(coming) == 0 || s.flows[coming[0]].ready >= until {
				break
			}
			at = s.flows[coming[0]].ready
			arrive()
			continue
		}
		i := queue[0]
		queue = queue[1:]
		f := &s.flows[i]
		n := min(f.remaining, ChunkBytes)
		f.remaining -= n
		at += n / rate
		if f.remaining > 0 {
			queue = append(queue, i)
		} else {
			f.finish = at
		}
		arrive()
	}
	return at, queue
}

// finishes returns when each response will have been sent.
func (s *schedule) finishes(rate float64, more ...flow) []flow {
	played := schedule{busy: s.busy, flows: append(slices.Clone(s.flows), more...), queued: s.queued}
	played.play(rate, math.Inf(1))
	return played.flows
}

// forecastMargin is the part of the time to a limit that is left free, in addition to one
// chunk. Short responses come at random, and turns may fall differently than forecast.
const forecastMargin = 0.05

// withMargin returns the time until which a response with the limit should be sent
// according to a forecast.
func withMargin(limit, rate float64) float64 {
	return limit*(1-forecastMargin) - ChunkBytes/rate
}

// fits reports whether the response c will have been sent by its limit without making
// another one late, and when it will have been sent.
func (s *schedule) fits(c flow, rate float64) (ok bool, finish float64) {
	with := s.finishes(rate, c)
	finish = with[len(with)-1].finish
	if finish > c.limit {
		return false, finish
	}
	for i, f := range s.finishes(rate) {
		if makesLate(f.finish, with[i].finish, f.limit, rate) || makesLate(f.finish, with[i].finish, f.deadline, rate) {
			return false, finish
		}
	}
	return true, finish
}

// makesLate reports whether a delay of a response from one time to another uses up the
// margin before a limit that it would otherwise meet.
func makesLate(from, to, limit, rate float64) bool {
	return from <= limit && to > from && to > withMargin(limit, rate)
}

// after returns the schedule as it will be, without further responses, after the time.
func (s *schedule) after(rate, delay float64) *schedule {
	played := schedule{busy: s.busy, flows: slices.Clone(s.flows), queued: s.queued}
	at, queue := played.play(rate, delay)
	later := schedule{busy: max(at-delay, 0), queued: len(queue)}
	shifted := func(f flow) flow {
		return flow{remaining: f.remaining, ready: f.ready - delay, limit: f.limit - delay, deadline: f.deadline - delay}
	}
	for _, i := range queue {
		later.flows = append(later.flows, shifted(played.flows[i]))
	}
	for i, f := range played.flows {
		if f.remaining > 0 && !slices.Contains(queue, i) {
			later.flows = append(later.flows, shifted(f))
		}
	}
	return &later
}

// retrySteps is the number of bisections of the time until there is room. Callers honour a
// few hundred milliseconds, so that 1/64 of the backlog is exact enough.
const retrySteps = 6

// roomAfter returns the time after which the response c, asked for again with the same
// time to its limit, fits if no other one is admitted before.
func (s *schedule) roomAfter(c flow, rate float64) float64 {
	tooEarly, enough := 0.0, s.busy
	for _, f := range s.finishes(rate) {
		enough = max(enough, f.finish)
	}
	for range retrySteps {
		middle := (tooEarly + enough) / 2
		if ok, _ := s.after(rate, middle).fits(c, rate); ok {
			enough = middle
		} else {
			tooEarly = middle
		}
	}
	return enough
}
