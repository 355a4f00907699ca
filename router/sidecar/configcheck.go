package sidecar

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/rowstore"
)

// Hosts keep the age of their configuration, which is the time since it was known to be
// the newest in the store, and check with the store when the age gets too high. They tell
// each other the age together with the version, and ask each other for it (package
// freshness), so that the check of one host serves all. If no other host responds, a change
// is in force after maxCheckAge and one call. The ages are shares of the time within which a
// change must be in force, because each check costs a call to the store.
const (
	// minCheckAge and maxCheckAge bound the age at which a host checks that does not do so
	// on behalf of others, which is earlier. The age is random, because all hosts reach it
	// together when the host that they ask fails. A question to that host ends before
	// minCheckAge.
	minCheckAge = 0.45
	maxCheckAge = 0.55
	// maxCheckGap is the longest time between the starts of two checks while checks fail. A
	// host that was cut off from the store must have the newest configuration in time after
	// the store responds again; a check lost just before may wait for a response for 2 s.
	maxCheckGap = 0.8
)

// shareOf returns the share of the time bound.
func shareOf(bound time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(bound))
}

const (
	// minCheckBackoff is the delay after a check that failed. It doubles up to
	// maxCheckBackoff.
	minCheckBackoff = 100 * time.Millisecond
	maxCheckBackoff = 800 * time.Millisecond
	// fleetCheckInterval is the interval at which the hosts that read the fleet from the
	// store check it.
	fleetCheckInterval = 2 * time.Second
)

// checkSchedule decides when a host checks that its configuration is the newest.
type checkSchedule struct {
	// bound is the time within which a change must be in force.
	bound time.Duration

	mu sync.Mutex
	// age is the age at which the next check is due.
	age time.Duration
	// checkedAt is the start of the last check that succeeded. It does not confirm the
	// configuration in force if the store has one that this host refuses.
	checkedAt time.Time
	// notBefore is the end of the backoff after failed checks.
	notBefore time.Time
	failures  int
}

// delay returns the time until the next check is due if nothing confirms the
// configuration meanwhile. age is the age at which this host checks on behalf of others; it
// is valid if forOthers is true.
func (s *checkSchedule) delay(now, confirmedAt time.Time, age time.Duration, forOthers bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !forOthers {
		if s.age == 0 {
			s.age = shareOf(s.bound, minCheckAge) + rand.N(shareOf(s.bound, maxCheckAge-minCheckAge))
		}
		age = s.age
	}
	return later(later(confirmedAt, s.checkedAt).Add(age), s.notBefore).Sub(now)
}

// record records the start and the end of a check.
func (s *checkSchedule) record(start, now time.Time, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.age = 0
	if !failed {
		s.failures, s.checkedAt = 0, start
		return
	}
	s.notBefore = now.Add(min(minCheckBackoff<<min(s.failures, 8), maxCheckBackoff))
	if latest := start.Add(shareOf(s.bound, maxCheckGap)); s.notBefore.After(latest) {
		s.notBefore = latest
	}
	s.failures++
}

// configCheckDelay returns the time until the configuration is to be checked.
func (s *Sidecar) configCheckDelay() time.Duration {
	now := time.Now()
	age, forOthers := s.asker.checkAge(now)
	return s.configChecks.delay(now, s.config.lastConfirmed(), age, forOthers)
}

// configChecked records a check of the configuration.
func (s *Sidecar) configChecked(asOf time.Time, undelivered int, err error) {
	if err == nil {
		s.evacuation.confirm(s.configFollower.Position())
		s.config.confirm(s.config.version(), asOf)
	}
	s.exchange.setCheckFailed(err != nil && !errors.Is(err, rowstore.ErrNotFollowing))
	s.configChecks.record(asOf, time.Now(), err != nil)
	s.logCheck(s.configFollower, undelivered, err)
}

// fleetCheckDelay returns the time until the fleet is to be checked. Hosts that read it
// through another one need no check, because such watches are short.
func (s *Sidecar) fleetCheckDelay() time.Duration {
	if !s.fleetFed.Direct() {
		return fleetCheckInterval
	}
	return time.Until(s.fleetCheckedAt.get().Add(fleetCheckInterval))
}

// fleetUpToDate records that all changes of the fleet that were made before asOf have been
// reported, which is what a check would show. While watches bring changes, no check is made.
func (s *Sidecar) fleetUpToDate(asOf time.Time) {
	s.scope.Tagged(map[string]string{"source": s.fleetFed.Reading().String()}).Counter("fleet_watches").Inc(1)
	if s.fleetFed.Direct() {
		s.fleetCheckedAt.advance(asOf)
	}
}

// fleetChecked records a check of the fleet. The next one is due after the interval also if
// this one failed.
func (s *Sidecar) fleetChecked(_ time.Time, undelivered int, err error) {
	s.fleetCheckedAt.advance(time.Now())
	s.logCheck(s.fleetFollower, undelivered, err)
}

// latestTime holds the latest of several times. It is safe for concurrent use.
type latestTime struct {
	mu sync.Mutex
	at time.Time
}

func (l *latestTime) advance(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = later(l.at, at)
}

func (l *latestTime) get() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at
}

func (s *Sidecar) logCheck(f *rowstore.Follower, undelivered int, err error) {
	outcome := "unchanged"
	switch {
	case errors.Is(err, rowstore.ErrNotFollowing):
		outcome = "not_following"
	case err != nil:
		outcome = "failed"
	case undelivered > 0:
		outcome = "changed"
		s.log.Log(eventWatchReplaced, event.F("table", f.Table), event.F("rows", undelivered))
	}
	s.scope.Tagged(map[string]string{"table": f.Table, "outcome": outcome}).Counter("watch_checks").Inc(1)
}
