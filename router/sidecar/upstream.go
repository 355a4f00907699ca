package sidecar

import (
	"sync"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
)

// Heartbeat is one heartbeat of the local upstream.
type Heartbeat struct {
	Instance string
	// Started is the start of the upstream's run in Unix milliseconds.
	Started int64
	// Sequence grows with each heartbeat of a run.
	Sequence int64
	Service  string
	Slots    int
	Draining bool
	// Holds are the ranges that the upstream holds or still works on.
	Holds []keyrange.Grant
	// Released are the ranges that it gave up since its last acknowledged
	// heartbeat.
	Released []keyrange.Handover
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	// Renew tells that Grants and HoldFor are set; otherwise the upstream keeps
	// what it holds until it lapses.
	Renew  bool
	Grants []keyrange.Grant
	// HoldFor is how long the grants last, counted from the sending of the
	// heartbeat.
	HoldFor time.Duration
}

// upstreamState is what the router knows of the upstream beside it.
type upstreamState struct {
	known    bool
	holder   keyrange.Holder
	sequence int64
	service  string
	slots    int
	// leaving is the time of the first acknowledged notice that the upstream
	// leaves; zero while it stays.
	leaving time.Time
	// withdrawn tells that the upstream will send no more heartbeats.
	withdrawn bool
	lastBeat  time.Time
}

// localUpstream follows the runs of the upstream beside this router.
type localUpstream struct {
	host string

	mu    sync.Mutex
	state upstreamState
	// refusedFirst and refusedLast are the times of the first and the last of the
	// connections in a row that the upstream's address refused.
	refusedFirst, refusedLast time.Time
}

func (u *localUpstream) get() upstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state
}

// heartbeat takes a report. It returns false for a report of an earlier run and
// for one that was overtaken.
func (u *localUpstream) heartbeat(now time.Time, r Heartbeat) (state upstreamState, current, changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.state
	holder := keyrange.Holder{Host: u.host, Instance: r.Instance, Started: r.Started}
	if s.known && r.Started < s.holder.Started {
		return *s, false, false
	}
	if !s.known || s.holder != holder {
		*s = upstreamState{known: true, holder: holder}
		changed = true
	} else if r.Sequence <= s.sequence {
		return *s, false, false
	}
	changed = changed || s.slots != r.Slots || s.service != r.Service
	s.sequence, s.service, s.slots, s.lastBeat = r.Sequence, r.Service, r.Slots, now
	if r.Draining && s.leaving.IsZero() {
		s.leaving = now
		changed = true
	}
	u.refusedFirst = time.Time{}
	return *s, true, changed
}

// withdraw takes the notice that a run of the upstream leaves. It reports
// whether the run is the present one.
func (u *localUpstream) withdraw(now time.Time, instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.state
	if !s.known || s.holder.Instance != instance {
		return false
	}
	if s.leaving.IsZero() {
		s.leaving = now
	}
	s.withdrawn = true
	return true
}

// refused notes that nothing listens at the upstream's address.
func (u *localUpstream) refused(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refusedFirst.IsZero() || now.Sub(u.refusedLast) > refusalGap {
		u.refusedFirst = now
	}
	u.refusedLast = now
}

// connected notes that the upstream answered.
func (u *localUpstream) connected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusedFirst = time.Time{}
}

// gone reports whether the upstream's process has ended: nothing listens at its
// address, repeatedly and until now, and its heartbeats have stopped.
func (u *localUpstream) gone(now time.Time, beatInterval time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	silent := now.Sub(u.state.lastBeat) > beatInterval*3/2
	repeated := !u.refusedFirst.IsZero() && u.refusedLast.Sub(u.refusedFirst) >= goneAfter
	return u.state.known && silent && repeated && now.Sub(u.refusedLast) <= refusalGap
}

// silentFor is the time since the last heartbeat.
func (u *localUpstream) silentFor(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.state.lastBeat)
}

const (
	// goneAfter is how long connections must be refused before the process
	// counts as ended.
	goneAfter = 300 * time.Millisecond
	// refusalGap is the longest time between refusals in a row.
	refusalGap = 600 * time.Millisecond
)

// publishedState is the state that other hosts are told.
func (s upstreamState) publishedState(stopping bool) fleet.State {
	switch {
	case stopping:
		return fleet.Stopping
	case !s.leaving.IsZero():
		return fleet.Draining
	}
	return fleet.Ready
}
