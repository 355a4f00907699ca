package dependency

import (
	"iter"
	"math"
	"time"
)

const (
	// tallyTime is the time constant with which calls are forgotten.
	tallyTime = time.Second
	// Runs are limited from minFailed failed calls on, so that a few refused calls of a
	// quiet host do not limit it.
	minFailed = 5
	// lostAfter is the number of failed calls in a row, at more than one host if several are
	// known, after which the service counts as lost, whatever it served before.
	lostAfter = 6
	// Calls are admitted at the rate at which they are served, times growth less
	// growthLoss times the refused share, and once at least. The refused share of a lasting
	// overload settles where that factor is 1/(1-share), at about 0.22.
	growth, growthLoss = 3, 8
	// maxHosts bounds the hosts of a service whose calls are counted separately.
	maxHosts = 64
	// limitShare is the refused share of the calls from which on runs are limited.
	limitShare = 0.5
	// A run is admitted at least each probeInterval, so that the recovery of the service is
	// noticed.
	probeInterval = 500 * time.Millisecond
	// limitQuietTime is the time without a refused run after which a limit ends.
	limitQuietTime = time.Second
	// burstTime gives the burst of the bucket, as the calls of that time.
	burstTime = 250 * time.Millisecond
	// shareInterval is the time for which the refused share by host is not calculated
	// again.
	shareInterval = 50 * time.Millisecond
)

// tally counts calls, those of the past with less weight.
type tally struct {
	served, refused, unreachable float64
	at                           time.Time
}

// decay reduces the counts by the time that has passed.
func (t *tally) decay(now time.Time) {
	if !t.at.IsZero() && now.After(t.at) {
		f := math.Exp(-float64(now.Sub(t.at)) / float64(tallyTime))
		t.served, t.refused, t.unreachable = t.served*f, t.refused*f, t.unreachable*f
	}
	t.at = now
}

func (t *tally) add(now time.Time, outcome Outcome) {
	t.decay(now)
	switch outcome {
	case Served:
		t.served++
	case Refused:
		t.refused++
	case Unreachable:
		t.unreachable++
	}
}

func (t *tally) calls() float64 { return t.served + t.refused + t.unreachable }

// refusedShare returns the share of the calls that were not served.
func (t *tally) refusedShare() float64 {
	if n := t.calls(); n > 0 {
		return 1 - t.served/n
	}
	return 0
}

// service is what is known of a called service.
type service struct {
	all   tally
	hosts map[string]*tally
	// share is the refused share as calculated at shareAt.
	share   float64
	shareAt time.Time
	// failedInRow is the number of calls since the last one that was served, failedHost the
	// host of the first of them, and severalFailed whether other hosts failed as well.
	failedInRow   int
	failedHost    string
	severalFailed bool
	// capacityAt is when the service expects to have capacity, by its last refusal.
	capacityAt time.Time

	// limited is true while runs are limited by tokens, which are calls.
	limited    bool
	tokens     float64
	tokensAt   time.Time
	admittedAt time.Time
	refusedAt  time.Time
}

func (s *service) observe(now time.Time, outcome Outcome, host string, retryAfter time.Duration) {
	if outcome == Served {
		if s.lost() { // what failed meanwhile says nothing about the service after its return
			s.all.refused, s.all.unreachable = 0, 0
			clear(s.hosts)
		}
		s.failedInRow, s.severalFailed = 0, false
	} else {
		if s.failedInRow == 0 {
			s.failedHost = host
		}
		s.failedInRow++
		s.severalFailed = s.severalFailed || host != s.failedHost
	}
	s.all.add(now, outcome)
	h := s.hosts[host]
	if h == nil {
		if len(s.hosts) >= maxHosts {
			s.forgetHost()
		}
		h = &tally{}
		s.hosts[host] = h
	}
	h.add(now, outcome)
	if outcome != Served && retryAfter > 0 {
		s.capacityAt = now.Add(retryAfter)
	}
}

// lost reports whether the service serves no calls. A hot key, whose holder alone refuses
// calls, does not count.
func (s *service) lost() bool {
	return s.failedInRow >= lostAfter && (s.severalFailed || len(s.hosts) == 1)
}

// forgetHost forgets the host to which the last call is the oldest.
func (s *service) forgetHost() {
	var oldest string
	for name, h := range s.hosts {
		if o := s.hosts[oldest]; o == nil || h.at.Before(o.at) {
			oldest = name
		}
	}
	delete(s.hosts, oldest)
}

// refusedShare returns the lower one of the refused share of all calls and the mean of
// those by host: a hot key overloads its holder alone, and fewer runs would not help it.
func (s *service) refusedShare(now time.Time) float64 {
	if now.Sub(s.shareAt) < shareInterval {
		return s.share
	}
	sum, n := 0.0, 0.0
	for name, h := range s.hosts {
		if now.Sub(h.at) > 5*tallyTime && len(s.hosts) > 1 {
			delete(s.hosts, name)
			continue
		}
		sum += h.refusedShare()
		n++
	}
	s.share, s.shareAt = s.all.refusedShare(), now
	if n > 0 {
		s.share = min(s.share, sum/n)
	}
	return s.share
}

// rate returns the calls per second for which runs are admitted.
func (s *service) rate(now time.Time) float64 {
	if s.lost() {
		return 0
	}
	share := s.refusedShare(now)
	s.all.decay(now)
	served := s.all.calls() * (1 - share) / tallyTime.Seconds()
	return served * max(1, growth-growthLoss*share)
}

// update begins the limit and refills the bucket.
func (s *service) update(now time.Time) {
	share := s.refusedShare(now)
	if !s.limited {
		s.all.decay(now)
		if s.lost() || (share >= limitShare && s.all.refused+s.all.unreachable >= minFailed) {
			s.limited, s.tokens, s.tokensAt, s.refusedAt = true, 0, now, now
		}
		return
	}
	if !s.lost() && share < limitShare && now.Sub(s.refusedAt) > limitQuietTime {
		s.limited = false
		return
	}
	rate := s.rate(now)
	s.tokens = min(s.tokens+rate*now.Sub(s.tokensAt).Seconds(), max(1, rate*burstTime.Seconds()))
	s.tokensAt = now
}

// Refusal says why a run is not admitted.
type Refusal struct {
	// Service is the called service.
	Service string
	// Share is the share of its calls that were refused.
	Share float64
	// RetryAfter is when a run can be admitted.
	RetryAfter time.Duration
	// Local is true if most of the failed calls did not reach their host, so that runs
	// elsewhere may fare better.
	Local bool
}

// Admit decides on a new run of a route. It returns nil if the run is admitted; Release
// takes the decision back if the run does not begin.
func (t *Tracker) Admit(now time.Time, routeName string) *Refusal {
	r := t.routes[routeName]
	if r == nil {
		return nil
	}
	for name, n := range r.calls {
		s := t.services[name]
		if s == nil || n < minCallsPerRun {
			continue
		}
		s.update(now)
		if s.limited && s.tokens <= 0 && now.Sub(s.admittedAt) < probeInterval {
			s.refusedAt = now
			return s.refusal(now, name)
		}
	}
	for s, calls := range t.limitedServices(r) {
		s.takeTokens(now, calls)
	}
	return nil
}

// Release takes back an admission of a run that did not begin.
func (t *Tracker) Release(routeName string) {
	r := t.routes[routeName]
	if r == nil {
		return
	}
	for s, calls := range t.limitedServices(r) {
		s.returnTokens(calls)
	}
}

// limitedServices returns the services with a limit that a run of the route calls, and the
// mean number of its calls to each.
func (t *Tracker) limitedServices(r *route) iter.Seq2[*service, float64] {
	return func(yield func(*service, float64) bool) {
		for name, n := range r.calls {
			s := t.services[name]
			if s == nil || n < minCallsPerRun || !s.limited {
				continue
			}
			if !yield(s, n) {
				return
			}
		}
	}
}

// takeTokens takes the tokens of a run that is admitted. A probe does not make the bucket owe
// more than the calls of one run.
func (s *service) takeTokens(now time.Time, calls float64) {
	s.tokens = max(s.tokens-calls, -calls)
	s.admittedAt = now
}

// returnTokens returns the tokens of a run that did not begin. It is not the exact inverse of
// takeTokens: what a probe did not owe because of the bound is returned as well, and admittedAt
// stays, so that the next probe waits for probeInterval.
func (s *service) returnTokens(calls float64) {
	s.tokens = max(s.tokens+calls, -calls)
}

func (s *service) refusal(now time.Time, name string) *Refusal {
	wait := s.admittedAt.Add(probeInterval).Sub(now)
	if rate := s.rate(now); rate > 0 {
		wait = min(wait, time.Duration((-s.tokens+0.01)/rate*float64(time.Second)))
	}
	return &Refusal{
		Service: name, Share: s.refusedShare(now),
		RetryAfter: max(wait, s.capacityAt.Sub(now), time.Millisecond),
		Local:      s.all.unreachable > s.all.refused,
	}
}

// Limit is the limit on the runs that call a service.
type Limit struct {
	Service string
	Limited bool
	// Share is the refused share of its calls, Rate the calls per second for which runs
	// are admitted.
	Share, Rate float64
}

// Limits appends the limits of all called services to buf.
func (t *Tracker) Limits(now time.Time, buf []Limit) []Limit {
	for name, s := range t.services {
		buf = append(buf, Limit{Service: name, Limited: s.limited, Share: s.refusedShare(now), Rate: s.rate(now)})
	}
	return buf
}
