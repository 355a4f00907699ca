package keyrange

import "burdockglade.dev/router/boottime"

// This file holds the part of Grants that serves ranges granted by commands: how
// long the upstream certainly holds a range, and until when a command without a
// response may still give the range to the upstream.

// overlaps reports whether s and t have a key in common.
func (s span) overlaps(t span) bool {
	return s.from <= t.to && t.from <= s.to
}

// holdEnd returns the time up to which the upstream certainly holds the range,
// or 0 if it does not.
func (g *Grants) holdEnd(s span) boottime.Time {
	var end boottime.Time
	for granted, until := range g.heldUntil {
		if granted.covers(s) {
			end = max(end, until)
		}
	}
	return end
}

// dropHold records that the upstream does not hold the keys of s or is about to
// release them. Other keys of the same grants stay held.
func (g *Grants) dropHold(s span) {
	for granted, until := range g.heldUntil {
		if !granted.overlaps(s) {
			continue
		}
		delete(g.heldUntil, granted)
		if granted.from < s.from {
			g.heldUntil[span{granted.from, s.from - 1, granted.generation}] = until
		}
		if granted.to > s.to {
			g.heldUntil[span{s.to + 1, granted.to, granted.generation}] = until
		}
	}
}

// recordConfirmed records that the upstream accepted a grant, which ends between
// earliestEnd and latestEnd.
func (g *Grants) recordConfirmed(s span, earliestEnd, latestEnd boottime.Time) {
	g.heldUntil[s] = max(g.heldUntil[s], earliestEnd)
	g.endsBy[s] = max(g.endsBy[s], latestEnd)
}

// recordUnanswered records a grant without a response, which the upstream may
// carry out at any time until latestEnd.
func (g *Grants) recordUnanswered(s span, latestEnd boottime.Time) {
	g.endsBy[s] = max(g.endsBy[s], latestEnd)
	g.unanswered[s] = max(g.unanswered[s], latestEnd)
}

// recordCommandRelease records that the upstream released a range. An earlier
// grant without a response may still make it hold the range again.
func (g *Grants) recordCommandRelease(s span, token string) {
	g.released[s] = token
	g.dropHold(s)
	for granted := range g.endsBy {
		if s.covers(granted) {
			g.endsBy[granted] = g.unanswered[granted]
		}
	}
}

// unansweredUntil returns the time until which a grant without a response may
// make the upstream hold keys of the range.
func (g *Grants) unansweredUntil(s span) boottime.Time {
	var end boottime.Time
	if !g.byHeartbeat {
		end = g.predecessorUnansweredUntil
	}
	for granted, until := range g.unanswered {
		if granted.overlaps(s) {
			end = max(end, until)
		}
	}
	return end
}

// Movable reports whether ranges that are released now can move at once: no
// command of an earlier process of this router may still be carried out.
func (g *Grants) Movable(now boottime.Time) bool {
	return g.byHeartbeat || g.Settled(now)
}

// Settled reports whether all that an earlier process of this router sent has ended, so
// that this process has also measured the load for a while.
func (g *Grants) Settled(now boottime.Time) bool {
	return now >= g.predecessorUnansweredUntil
}

// prune drops grants that have ended, except those of known ranges.
func (g *Grants) prune(now boottime.Time, known map[span]bool) {
	for s, end := range g.endsBy {
		if !known[s] && now >= end {
			delete(g.endsBy, s)
			delete(g.unanswered, s)
			delete(g.heldUntil, s)
		}
	}
	for s := range g.released {
		if !known[s] && now >= g.unansweredUntil(s) {
			delete(g.released, s)
		}
	}
}
