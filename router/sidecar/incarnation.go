package sidecar

import (
	"slices"
	"time"

	"burdockglade.dev/router/keyrange"
)

const (
	// maxPastIncarnations bounds the incarnations that are remembered after others have
	// replaced them.
	maxPastIncarnations = 8
	// maxClockSkew is how far the clock from which an upstream reads its start may be ahead of
	// this process's.
	maxClockSkew = time.Second
)

// challenger is an incarnation whose heartbeats arrive while another one is current: a later
// one whose start does not show it, because the time of day has stepped, or an earlier one
// whose heartbeats are late.
type challenger struct {
	holder keyrange.Holder
	// firstAt is the arrival of its first heartbeat, sequence the highest so far.
	firstAt  time.Time
	sequence int64
}

// succeeds reports whether a heartbeat proves that its incarnation has replaced the current
// one. Starts alone do not: they are read from a clock that may step. An incarnation is a
// later one
//   - if it started after the last heartbeat of the current one had arrived, or
//   - if it goes on sending heartbeats while the current one has fallen silent.
//
// Both mistakes do harm: an ended incarnation that stays current hides the notices of its
// successor, and one that comes back hides a notice that was acknowledged.
func (u *localUpstream) succeeds(now time.Time, holder keyrange.Holder, sequence int64) bool {
	before := u.pastState(holder)
	if before != nil && sequence <= before.sequence {
		return false
	}
	startedLater := holder.Started > u.state.lastHeartbeat.UnixMilli() && holder.Started <= now.Add(maxClockSkew).UnixMilli()
	if before == nil && startedLater {
		return true
	}
	c := &u.challenger
	if c.holder != holder {
		*c = challenger{holder: holder, firstAt: now, sequence: sequence}
		return false
	}
	goesOn := sequence > c.sequence && now.Sub(c.firstAt) >= u.heartbeatInterval/2
	c.sequence = max(c.sequence, sequence)
	return goesOn && u.state.silent(now, u.heartbeatInterval)
}

// pastState returns the state of an incarnation that was current before, or nil.
func (u *localUpstream) pastState(holder keyrange.Holder) *upstreamState {
	i := slices.IndexFunc(u.past, func(s upstreamState) bool { return s.holder == holder })
	if i < 0 {
		return nil
	}
	return &u.past[i]
}

// adopt makes an incarnation the current one. What it said when it was current before, or in
// a notice before its first heartbeat, is still in force.
func (u *localUpstream) adopt(now time.Time, holder keyrange.Holder) {
	next := upstreamState{known: true, holder: holder}
	if before := u.pastState(holder); before != nil {
		next = *before
	}
	if u.state.known {
		u.past = append(slices.DeleteFunc(u.past, func(s upstreamState) bool { return s.holder == holder }), u.state)
		u.past = u.past[max(len(u.past)-maxPastIncarnations, 0):]
	}
	u.withdrawals.apply(now, &next)
	u.state = next
}
