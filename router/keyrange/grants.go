package keyrange

import (
	"time"

	"burdockglade.dev/router/boottime"
)

// Grant is the right to hold the keys from From to To, both inclusive.
type Grant struct {
	From, To   uint16
	Generation uint64
	// Handover is the token that the previous holder left, or empty.
	Handover string
}

// Handover is a range that an upstream released, with the token that it leaves
// for the next holder.
type Handover struct {
	From, To uint16
	Token    string
}

// clockDrift bounds how much slower than ours the clock may run by which an
// upstream measures its hold, as a divisor: 1/33 is 3%.
const clockDrift = 33

// span identifies a granted range.
type span struct {
	from, to   uint16
	generation uint64
}

// Grants tracks which ranges the local upstream may hold, and until when. It does
// not read a clock; callers pass the current time. It is not safe for concurrent
// use.
type Grants struct {
	holder Holder
	// endsBy holds the time by which each grant has certainly ended.
	endsBy map[span]boottime.Time
	// heldUntil holds the time up to which the upstream holds each range that was
	// granted to it and that it is not to release.
	heldUntil map[span]boottime.Time
	// unanswered holds the latest ends of grants without a response. The upstream
	// may carry them out after newer commands.
	unanswered map[span]boottime.Time
	// released holds the ranges that the upstream released, with their handover
	// tokens. They are not granted again with the same generation, because they
	// may move to another host.
	released map[span]string
	// predecessorUntil is the latest end of grants of an earlier process of this
	// router; predecessorUnansweredUntil is that of its commands which may have
	// had no response.
	predecessorUntil, predecessorUnansweredUntil boottime.Time
	// byHeartbeat is true if the upstream gets its grants in responses to heartbeats.
	byHeartbeat bool
}

// NewGrants returns the state of a router that has just started. Grants of its
// predecessor may last for maxHold.
func NewGrants(now boottime.Time, maxHold time.Duration) *Grants {
	return &Grants{
		endsBy:           map[span]boottime.Time{},
		heldUntil:        map[span]boottime.Time{},
		unanswered:       map[span]boottime.Time{},
		released:         map[span]string{},
		predecessorUntil: now.Add(withDrift(maxHold)),
	}
}

// withDrift returns d extended by the bound on clock drift.
func withDrift(d time.Duration) time.Duration {
	return d + d/clockDrift
}

// Reset sets the incarnation whose grants are tracked. If it is a new one, Reset
// drops the grants of the earlier incarnation, which ended with it, and returns
// true.
func (g *Grants) Reset(h Holder) bool {
	if g.holder == h {
		return false
	}
	if g.holder != (Holder{}) {
		g.predecessorUntil, g.predecessorUnansweredUntil = 0, 0
	}
	g.holder = h
	clear(g.endsBy)
	clear(g.heldUntil)
	clear(g.unanswered)
	clear(g.released)
	return true
}

// SetByHeartbeat records whether the upstream gets its grants in responses to heartbeats,
// and not by commands. What an earlier process of this router sent to such an upstream
// cannot take effect later: the upstream reports a release in a heartbeat that it sends
// after it has processed the responses to the earlier ones.
func (g *Grants) SetByHeartbeat(byHeartbeat bool) {
	g.byHeartbeat = byHeartbeat
}

// Holder returns the incarnation of the upstream whose grants are tracked.
func (g *Grants) Holder() Holder {
	return g.holder
}

// RecordRelease records that the upstream reported a release in a heartbeat. It
// reports whether the released keys cover any range of the holder in the map.
func (g *Grants) RecordRelease(m *Map, h Handover) bool {
	if m == nil {
		return false
	}
	found := false
	for _, r := range m.Ranges {
		if r.Holder != g.holder || r.From < h.From || r.To > h.To {
			continue
		}
		s := span{r.From, r.To, r.Generation}
		g.released[s] = h.Token
		g.endsBy[s] = 0
		delete(g.heldUntil, s)
		found = true
	}
	return found
}

// Relinquish ends the grant of a range that is about to lose its holder. From
// then on the range is not granted with its generation, so that a heartbeat that
// arrives before the map has changed cannot renew it.
func (g *Grants) Relinquish(r *Range) {
	s := span{r.From, r.To, r.Generation}
	if _, released := g.released[s]; !released {
		g.released[s] = ""
	}
	delete(g.heldUntil, s)
}

// Released returns the handover token of a range. ok is true if the upstream
// released the range and no earlier grant can make it hold the range again.
func (g *Grants) Released(now boottime.Time, r *Range) (token string, ok bool) {
	s := span{r.From, r.To, r.Generation}
	token, ok = g.released[s]
	return token, ok && now >= g.unansweredUntil(s)
}

// Renew returns the grants in response to a heartbeat that arrived at now: the
// ranges that the map assigns to h and that are not planned to move, or none if
// the upstream is leaving. The duration is how long the grants last: at most
// maxHold, and never beyond leaseEnd, the end of the host's lease. It is 0 if
// nothing can be granted.
func (g *Grants) Renew(now boottime.Time, m *Map, h Holder, leaving bool, leaseEnd boottime.Time, maxHold time.Duration) ([]Grant, time.Duration) {
	remaining := leaseEnd.Sub(now)
	hold := min(maxHold, remaining-remaining/clockDrift)
	if hold < minHold || m == nil {
		return nil, 0
	}
	clear(g.heldUntil)
	grants := []Grant{}
	for _, r := range m.Ranges {
		if r.Holder != h || r.Next != "" || leaving || len(grants) == MaxGrants {
			continue
		}
		s := span{r.From, r.To, r.Generation}
		if _, released := g.released[s]; released {
			continue
		}
		grants = append(grants, Grant{From: r.From, To: r.To, Generation: r.Generation, Handover: r.Handover})
		g.endsBy[s] = max(g.endsBy[s], now.Add(withDrift(hold)))
		g.heldUntil[s] = g.endsBy[s]
	}
	return grants, hold
}

// MaxGrants bounds the ranges in the response to a heartbeat: upstreams ignore
// responses of more than 4 KiB, and a range with its handover takes 42 bytes.
const MaxGrants = 90

// minHold is the shortest hold that is granted, because a renewal takes a
// heartbeat.
const minHold = 200 * time.Millisecond

// Holds reports whether the upstream was granted the range and still holds it. A
// range that was split after its grant is held under that grant.
func (g *Grants) Holds(now boottime.Time, r *Range) bool {
	s := span{r.From, r.To, r.Generation}
	if _, released := g.released[s]; released {
		return false
	}
	return now < g.holdEnd(s)
}

// covers reports whether t is part of s.
func (s span) covers(t span) bool {
	return s.generation == t.generation && s.from <= t.from && t.to <= s.to
}

// HoldEnded reports whether the upstream's hold on a range has certainly ended.
func (g *Grants) HoldEnded(now boottime.Time, r *Range) bool {
	s := span{r.From, r.To, r.Generation}
	if _, released := g.released[s]; released {
		return now >= g.unansweredUntil(s)
	}
	known := false
	for granted, end := range g.endsBy {
		if granted.covers(s) {
			known = true
			if now < end {
				return false
			}
		}
	}
	return known || now >= g.predecessorUntil
}

// EndAll ends all grants. It is called when the upstream's process has ended.
func (g *Grants) EndAll() {
	clear(g.heldUntil)
	clear(g.unanswered)
	for s := range g.endsBy {
		g.endsBy[s] = 0
	}
	g.predecessorUntil, g.predecessorUnansweredUntil = 0, 0
}
