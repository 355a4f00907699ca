package keyrange

import (
	"time"

	"burdockglade.dev/router/boottime"
)

// Announced reports whether the upstream h is about to be granted a key for the first time
// with its current generation: the map assigns the key to h and plans no move of it, the
// upstream has neither held nor released nor refused the range, and the lease of the host,
// which ends at leaseEnd, allows a grant. A hold that has ended is not announced, because
// nothing shows that it will be renewed.
func (g *Grants) Announced(now boottime.Time, m *Map, key uint16, h Holder, leaseEnd boottime.Time) bool {
	r, ok := g.awaited(m, key, h)
	if !ok || g.grantsBefore(m, r, h) >= MaxGrants {
		return false // the response to a heartbeat has no room for the range
	}
	return canHold(now, leaseEnd)
}

// Announced is Grants.Announced for an upstream whose keys are granted by commands.
func (c *Commands) Announced(now boottime.Time, m *Map, key uint16, h Holder, leaseEnd boottime.Time) bool {
	r, ok := c.grants.awaited(m, key, h)
	return ok && !c.Refused(r) && canHold(now, leaseEnd-boottime.Time(grantTimeout+arrivalMargin))
}

// awaited returns the range of the key if the map assigns it to h for longer and h has
// neither held nor released it.
func (g *Grants) awaited(m *Map, key uint16, h Holder) (r *Range, ok bool) {
	if m == nil || g.holder != h {
		return nil, false
	}
	if r = m.Find(key); r == nil || r.Holder != h || r.Next != "" {
		return nil, false
	}
	s := span{r.From, r.To, r.Generation}
	if _, released := g.released[s]; released {
		return nil, false
	}
	for granted, end := range g.endsBy {
		// A grant by a command without a response may not have arrived. It is repeated.
		if granted.covers(s) && end > g.unanswered[granted] {
			return nil, false
		}
	}
	return r, true
}

// grantsBefore returns the number of ranges before r that the response to a heartbeat
// grants.
func (g *Grants) grantsBefore(m *Map, r *Range, h Holder) int {
	n := 0
	for i := range m.Ranges {
		o := &m.Ranges[i]
		if o.From >= r.From {
			break
		}
		if _, released := g.released[span{o.From, o.To, o.Generation}]; o.Holder == h && o.Next == "" && !released {
			n++
		}
	}
	return n
}

// canHold reports whether a grant can last for minHold before the end.
func canHold(now, end boottime.Time) bool {
	remaining := end.Sub(now)
	return remaining-remaining/time.Duration(clockDrift) >= minHold
}
