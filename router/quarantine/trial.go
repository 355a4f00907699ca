package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialDelay is the time from the last crash to the first trial. It doubles with each
	// failed trial up to maxTrialDelay.
	trialDelay    = 10 * time.Second
	maxTrialDelay = 5 * time.Minute
	// fallbackDelay is the time after which any host may start a trial that the host of
	// the last crash has not started, and fallbackSpread the time over which the hosts
	// spread, so that they do not all start one.
	fallbackDelay  = 10 * time.Second
	fallbackSpread = 30 * time.Second
	// minRetryAfter is the shortest time after which a refused caller is asked to retry
	// while a trial is due.
	minRetryAfter = time.Second
)

// Verdict says what may be done with a request.
type Verdict int

const (
	// Free: like any other request.
	Free Verdict = iota
	// Alone: the upstream runs one at a time, and it is not sent to another upstream once
	// it has arrived at one.
	Alone
	// Refused: it must not be sent.
	Refused
	// Trial: it is sent to find out whether it still crashes its upstream.
	Trial
)

// Decision is a verdict on a request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time until the next trial. It is valid if Verdict is Refused.
	RetryAfter time.Duration
	// Host is the host to which a trial is offered, or empty if any may run it.
	Host string
	// Crashes is the number of crashes at which the request was in progress.
	Crashes int
}

// AtEntry decides on a request before a host is chosen. A keyed request can only go to the
// holder of its key, which then takes the place of the host of the last crash.
func (s *Set) AtEntry(now time.Time, r Request, keyed bool) Decision {
	s.learn(now, r)
	return s.PeekEntry(now, r, keyed)
}

// PeekEntry is AtEntry without a change.
func (s *Set) PeekEntry(now time.Time, r Request, keyed bool) Decision {
	d, x := s.decide(now, r)
	if d.Verdict == Trial && !keyed && now.Before(x.fallbackAt(s.host)) {
		d.Host = x.lastCrash().host
	}
	return d
}

// AtGate decides on a request before it is sent to the upstream of this host. A trial
// counts as started.
func (s *Set) AtGate(now time.Time, r Request, keyed bool) Decision {
	s.learn(now, r)
	d, x := s.decideAtGate(now, r, keyed)
	if d.Verdict == Trial {
		x.trialAt = now
		s.report.at = time.Time{}
	}
	return d
}

// PeekGate is AtGate without a change: no trial counts as started.
func (s *Set) PeekGate(now time.Time, r Request, keyed bool) Decision {
	d, _ := s.decideAtGate(now, r, keyed)
	return d
}

func (s *Set) decideAtGate(now time.Time, r Request, keyed bool) (Decision, *suspect) {
	d, x := s.decide(now, r)
	if d.Verdict == Trial && !keyed && x.lastCrash().host != s.host && now.Before(x.fallbackAt(s.host)) {
		return Decision{Verdict: Refused, RetryAfter: minRetryAfter, Crashes: d.Crashes}, x
	}
	return d, x
}

// OtherBodies returns the number of suspects that differ from the request only in the body.
func (s *Set) OtherBodies(f Fingerprint) int {
	n := s.heads[f.Head]
	if s.suspects[f] != nil {
		n--
	}
	return n
}

// learn adds what the request shows of a suspect.
func (s *Set) learn(now time.Time, r Request) {
	if x := s.suspects[r.Fingerprint]; x != nil && now.Sub(x.lastActivity()) <= maxAge {
		x.learn(r)
		s.appendQuarantined(x)
	}
}

func (s *Set) decide(now time.Time, r Request) (Decision, *suspect) {
	x := s.suspects[r.Fingerprint]
	if x == nil || now.Sub(x.lastActivity()) > maxAge {
		return Decision{}, nil
	}
	d := Decision{Crashes: len(x.live)}
	switch x.state {
	case suspected:
		d.Verdict = Alone
	case quarantined:
		d.Verdict = Trial
		if due := x.trialDue(); now.Before(due) {
			d.Verdict, d.RetryAfter = Refused, max(due.Sub(now), minRetryAfter)
		}
	}
	return d, x
}

// trialDue returns the time from which the next trial may start.
func (x *suspect) trialDue() time.Time {
	delay := trialDelay
	for range x.failed {
		delay = min(2*delay, maxTrialDelay)
	}
	return x.lastActivity().Add(delay)
}

// fallbackAt returns the time from which the host may start a trial in place of the host
// of the last crash.
func (x *suspect) fallbackAt(host string) time.Time {
	spread := time.Duration((xxhash.Sum64String(host) ^ x.Head) % uint64(fallbackSpread))
	return x.trialDue().Add(fallbackDelay + spread)
}
