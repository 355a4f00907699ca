package sidecar

import (
	"sync"
	"time"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/slowstart"
)

// Heartbeat is one heartbeat of the local upstream.
type Heartbeat struct {
	Instance string
	// Started is the start of this incarnation of the upstream in Unix milliseconds.
	Started int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
	Service  string
	Slots    int
	Draining bool
	// ColdFor is the time for which the upstream says that it stays cold. It is valid if
	// ColdStated is true.
	ColdFor    time.Duration
	ColdStated bool
	// Holds are the ranges that the upstream holds or for which requests are still
	// running.
	Holds []keyrange.Grant
	// Released are the ranges that it has released since its last acknowledged heartbeat.
	Released []keyrange.Handover
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	// Renew is true if Grants and HoldFor are set. Otherwise the upstream keeps what it
	// holds until the hold expires.
	Renew  bool
	Grants []keyrange.Grant
	// HoldFor is how long the grants last, counted from the sending of the heartbeat.
	HoldFor time.Duration
}

// upstreamState is what this router knows of its upstream.
type upstreamState struct {
	known    bool
	holder   keyrange.Holder
	sequence int64
	service  string
	slots    int
	// leavingSince is the time of the first notice that the upstream leaves, in a heartbeat
	// or a response; zero if there was none.
	leavingSince time.Time
	// leftEarlier is true if an earlier process of this router may have acknowledged the
	// notice, so that the time since it is not known.
	leftEarlier bool
	// withdrawn is true if the upstream will send no more heartbeats.
	withdrawn     bool
	lastHeartbeat time.Time
	// cold knows until when the upstream is cold.
	cold slowstart.Tracker
	// notice is what the upstream said of itself last.
	notice Notice
}

// localUpstream tracks the incarnations of the upstream beside this router.
type localUpstream struct {
	host string

	// heartbeatInterval is the time between heartbeats of an incarnation.
	heartbeatInterval time.Duration
	// refused is called when a connection was refused, which is a sign that the upstream
	// has ended and may start again. It may be nil.
	refused func()

	mu    sync.Mutex
	state upstreamState
	// past are the last incarnations that were current before, oldest first, and challenger
	// is one that may have replaced the current one.
	past       []upstreamState
	challenger challenger
	// withdrawals are the notices of incarnations, also of ones that have sent no heartbeat
	// to this process yet.
	withdrawals withdrawals
	// firstRefused and lastRefused are the times of the first and the last of the
	// consecutive connections that were refused at the upstream's address.
	firstRefused, lastRefused time.Time
}

func (u *localUpstream) get() upstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state
}

// heartbeatVerdict is what a heartbeat was taken for.
type heartbeatVerdict int

const (
	// heartbeatCurrent: the newest heartbeat of the current incarnation.
	heartbeatCurrent heartbeatVerdict = iota
	// heartbeatOutdated: of the current incarnation, but not newer than the last one.
	heartbeatOutdated
	// heartbeatUnproven: of another incarnation, which has not been proved to be the later
	// one. It changes nothing and must not be acknowledged.
	heartbeatUnproven
)

// recordHeartbeat records a heartbeat. changed is true if other hosts must be notified.
func (u *localUpstream) recordHeartbeat(now time.Time, r Heartbeat) (state upstreamState, verdict heartbeatVerdict, changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.state
	first := false
	holder := keyrange.Holder{Host: u.host, Instance: r.Instance, Started: r.Started}
	switch {
	case s.known && s.holder == holder && r.Sequence <= s.sequence:
		changed = r.Draining && s.leave(now)
		return *s, heartbeatOutdated, changed
	case s.known && s.holder != holder && !u.succeeds(now, holder, r.Sequence):
		if u.pastState(holder) == nil {
			s.cold.Assume(now)
		}
		return *s, heartbeatUnproven, false
	case !s.known || s.holder != holder:
		first = true
		u.adopt(now, holder)
		changed = true
		if r.Draining {
			s.leaveEarlier(now)
		}
	}
	changed = changed || s.slots != r.Slots || s.service != r.Service
	s.sequence, s.service, s.slots, s.lastHeartbeat = r.Sequence, r.Service, r.Slots, now
	if r.Draining && s.leave(now) {
		changed = true
	}
	s.cold.Heartbeat(now, first, r.ColdStated, r.ColdFor)
	u.challenger = challenger{}
	u.firstRefused = time.Time{}
	return *s, heartbeatCurrent, changed
}

// leave records a notice that the incarnation leaves, and reports whether it is the first.
func (s *upstreamState) leave(now time.Time) bool {
	if !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = now
	return true
}

// leaveEarlier records that the incarnation leaves by a notice that an earlier process of this
// router may have acknowledged.
func (s *upstreamState) leaveEarlier(now time.Time) bool {
	first := s.leave(now)
	s.leftEarlier = s.leftEarlier || first
	return first
}

// mayTakeRequests reports whether the incarnation still takes new requests, drainLimit after
// its notice that it leaves at the latest.
func (s *upstreamState) mayTakeRequests(now time.Time, drainLimit time.Duration) bool {
	return s.leavingSince.IsZero() || (!s.leftEarlier && now.Sub(s.leavingSince) <= drainLimit)
}

// recordOwnRow records what the member row of this host says of an incarnation that leaves:
// an earlier process of this router has written it. It reports whether other hosts must be
// notified.
func (u *localUpstream) recordOwnRow(now time.Time, of fleet.Incarnation) (changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state.known && u.state.incarnation() == of {
		return u.state.leaveEarlier(now)
	}
	u.withdrawals.add(acceptedWithdrawal{Withdrawal: Withdrawal(of), at: now, earlier: true})
	return false
}

// recordEarlier records notices that earlier processes of this router have acknowledged. It
// reports whether other hosts must be notified.
func (u *localUpstream) recordEarlier(now time.Time, ws []acceptedWithdrawal) (changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range ws {
		u.withdrawals.add(w)
	}
	if !u.state.known || !u.state.leavingSince.IsZero() {
		return false
	}
	u.withdrawals.apply(now, &u.state)
	return !u.state.leavingSince.IsZero()
}

// withdraw records the notice that an incarnation of the upstream leaves. It reports
// whether that incarnation is the current one. The notice of another one is kept until its
// first heartbeat.
func (u *localUpstream) withdraw(now time.Time, w Withdrawal) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.state
	current := s.known && w.concerns(s.incarnation())
	if current {
		w.Started = s.holder.Started
	}
	u.withdrawals.add(acceptedWithdrawal{Withdrawal: w, at: now})
	if !current {
		return false
	}
	s.leave(now)
	s.withdrawn = true
	return true
}

// recordNotice records what the holder said of itself in a response. current is false if
// the holder is no longer the local upstream; before is what it said last, and leaves is true
// if other hosts must be notified that it leaves.
func (u *localUpstream) recordNotice(now time.Time, holder keyrange.Holder, n Notice) (before Notice, leaves, current bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &u.state
	if !s.known || s.holder != holder {
		return Notice{}, false, false
	}
	before = s.notice
	s.notice = n
	return before, n.Leaving && s.leave(now), true
}

// connectionRefused records that nothing listens at the upstream's address.
func (u *localUpstream) connectionRefused(now time.Time) {
	u.mu.Lock()
	if u.firstRefused.IsZero() || now.Sub(u.lastRefused) > maxRefusalGap {
		u.firstRefused = now
	}
	u.lastRefused = now
	u.mu.Unlock()
	if u.refused != nil {
		u.refused()
	}
}

// connected records that the upstream responded.
func (u *localUpstream) connected() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.firstRefused = time.Time{}
}

// ended reports whether the upstream's process has ended: nothing listens at its address,
// repeatedly and until now, and its heartbeats have stopped.
func (u *localUpstream) ended(now time.Time, heartbeatInterval time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	silent := u.state.silent(now, heartbeatInterval)
	repeated := !u.firstRefused.IsZero() && u.lastRefused.Sub(u.firstRefused) >= endedAfter
	return u.state.known && silent && repeated && now.Sub(u.lastRefused) <= maxRefusalGap
}

// silent reports whether a heartbeat of the incarnation is overdue.
func (s *upstreamState) silent(now time.Time, heartbeatInterval time.Duration) bool {
	return now.Sub(s.lastHeartbeat) > heartbeatInterval*3/2
}

// silentFor returns the time since the last heartbeat.
func (u *localUpstream) silentFor(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Sub(u.state.lastHeartbeat)
}

const (
	// endedAfter is how long connections must be refused before the process counts as
	// ended.
	endedAfter = 300 * time.Millisecond
	// maxRefusalGap is the longest time between consecutive refusals.
	maxRefusalGap = 600 * time.Millisecond
)

// incarnation returns the life of the upstream.
func (s upstreamState) incarnation() fleet.Incarnation {
	return fleet.Incarnation{Instance: s.holder.Instance, Started: s.holder.Started}
}

// publishedState returns the state that is published to other hosts.
func (s upstreamState) publishedState(stopping bool) fleet.State {
	switch {
	case stopping:
		return fleet.Stopping
	case !s.leavingSince.IsZero():
		return fleet.Draining
	}
	return fleet.Ready
}
