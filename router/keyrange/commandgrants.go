package keyrange

import "burdockglade.dev/router/boottime"

// What Grants knows of a range that is granted by calls: how long the upstream
// certainly holds it, and until when a call without an answer may still give it to
// the upstream.

// overlaps reports whether the two have a key in common.
func (s span) overlaps(t span) bool {
	return s.from <= t.to && t.from <= s.to
}

// expires is the time up to which the upstream certainly holds the range.
func (g *Grants) expires(s span) boottime.Time {
	var until boottime.Time
	for granted, end := range g.active {
		if granted.covers(s) {
			until = max(until, end)
		}
	}
	return until
}

// drop notes that the upstream does not hold the keys of s, or is about to give
// them up. What else was granted with them stays.
func (g *Grants) drop(s span) {
	for granted, until := range g.active {
		if !granted.overlaps(s) {
			continue
		}
		delete(g.active, granted)
		if granted.from < s.from {
			g.active[span{granted.from, s.from - 1, granted.generation}] = until
		}
		if granted.to > s.to {
			g.active[span{s.to + 1, granted.to, granted.generation}] = until
		}
	}
}

// confirmed notes that the upstream took a grant, which lasts from at least one
// time to at most another.
func (g *Grants) confirmed(s span, least, most boottime.Time) {
	g.active[s] = max(g.active[s], least)
	g.until[s] = max(g.until[s], most)
}

// unanswered notes a grant that the upstream may take at any time until it ends.
func (g *Grants) unanswered(s span, most boottime.Time) {
	g.until[s] = max(g.until[s], most)
	g.late[s] = max(g.late[s], most)
}

// gaveUp notes that the upstream gave a range up. An earlier grant without an
// answer may still make it hold the range again.
func (g *Grants) gaveUp(s span, token string) {
	g.given[s] = token
	g.drop(s)
	for granted := range g.until {
		if s.covers(granted) {
			g.until[granted] = g.late[granted]
		}
	}
}

// lateGrant is the time until which a grant without an answer may make the
// upstream hold keys of the range.
func (g *Grants) lateGrant(s span) boottime.Time {
	until := g.lateUnknown
	for granted, end := range g.late {
		if granted.overlaps(s) {
			until = max(until, end)
		}
	}
	return until
}

// Movable reports whether ranges that are given up now can move at once: no grant
// of an earlier process of this router may still be carried out.
func (g *Grants) Movable(now boottime.Time) bool {
	return now >= g.lateUnknown
}

// forget drops grants that have ended of ranges that are not known any more.
func (g *Grants) forget(now boottime.Time, known map[span]bool) {
	for s, until := range g.until {
		if !known[s] && now >= until {
			delete(g.until, s)
			delete(g.late, s)
			delete(g.active, s)
		}
	}
	for s := range g.given {
		if !known[s] && now >= g.lateGrant(s) {
			delete(g.given, s)
		}
	}
}
