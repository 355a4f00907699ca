package keyrange

import (
	"time"

	"burdockglade.dev/router/boottime"
)

// Grant is the right to hold a range of keys.
type Grant struct {
	From, To   uint16
	Generation uint64
	// Handover is what the last holder left; empty when there is nothing.
	Handover string
}

// Handover is a range that an upstream gave up, with what it leaves for the next
// holder.
type Handover struct {
	From, To uint16
	Token    string
}

// clockDrift is how much slower than ours the clock may run with which an
// upstream measures its hold, as a divisor: 1/33 is 3%.
const clockDrift = 33

// span names a granted range.
type span struct {
	from, to   uint16
	generation uint64
}

// Grants follows which ranges the local upstream may hold, and until when. It
// has no clock of its own.
type Grants struct {
	holder Holder
	// until holds the time at which each grant has certainly ended.
	until map[span]boottime.Time
	// active holds the time up to which the upstream holds each range that it was
	// granted and that is not to be given up.
	active map[span]boottime.Time
	// late holds the ends of grants without an answer, which the upstream may take
	// after newer calls.
	late map[span]boottime.Time
	// given are ranges that the upstream gave up, with what it left. They are not
	// granted again with the same generation, because they may go elsewhere.
	given map[span]string
	// unknownUntil is the end of grants that an earlier process of this router
	// may have given, lateUnknown that of those which may be without an answer.
	unknownUntil, lateUnknown boottime.Time
}

// NewGrants returns the state of a router that has just started. Grants of its
// predecessor may last for maxHold.
func NewGrants(now boottime.Time, maxHold time.Duration) *Grants {
	return &Grants{
		until:        map[span]boottime.Time{},
		active:       map[span]boottime.Time{},
		late:         map[span]boottime.Time{},
		given:        map[span]string{},
		unknownUntil: now.Add(withDrift(maxHold)),
	}
}

func withDrift(d time.Duration) time.Duration {
	return d + d/clockDrift
}

// Reset forgets the grants of an earlier run of the upstream, which ended with
// it. It reports whether h is a new run.
func (g *Grants) Reset(h Holder) bool {
	if g.holder == h {
		return false
	}
	if g.holder != (Holder{}) {
		g.unknownUntil, g.lateUnknown = 0, 0
	}
	g.holder = h
	clear(g.until)
	clear(g.active)
	clear(g.late)
	clear(g.given)
	return true
}

// Holder is the run of the upstream whose grants are followed.
func (g *Grants) Holder() Holder {
	return g.holder
}

// RecordRelease notes that the upstream gave up some keys. It reports whether they
// cover ranges of the holder in the map.
func (g *Grants) RecordRelease(m *Map, h Handover) bool {
	if m == nil {
		return false
	}
	taken := false
	for _, r := range m.Ranges {
		if r.Holder != g.holder || r.From < h.From || r.To > h.To {
			continue
		}
		s := span{r.From, r.To, r.Generation}
		g.given[s] = h.Token
		g.until[s] = 0
		delete(g.active, s)
		taken = true
	}
	return taken
}

// Relinquish ends the grant of a range that is to lose its holder. From then on
// the range is not granted with its generation, so that a heartbeat that arrives
// before the map has changed cannot renew it.
func (g *Grants) Relinquish(r *Range) {
	s := span{r.From, r.To, r.Generation}
	if _, given := g.given[s]; !given {
		g.given[s] = ""
	}
	delete(g.active, s)
}

// Released returns the handover of a range that the upstream gave up and that no
// earlier grant can give back to it.
func (g *Grants) Released(now boottime.Time, r *Range) (token string, ok bool) {
	s := span{r.From, r.To, r.Generation}
	token, ok = g.given[s]
	return token, ok && now >= g.lateGrant(s)
}

// Renew returns the grants for a heartbeat that arrived at now: the ranges that
// the map gives to the holder and that are not to move. leaseEnd is the end of
// the host's lease; a grant never outlasts it. maxHold is the longest grant. It
// returns a duration of 0 when no grant can be given.
func (g *Grants) Renew(now boottime.Time, m *Map, h Holder, leaving bool, leaseEnd boottime.Time, maxHold time.Duration) ([]Grant, time.Duration) {
	left := leaseEnd.Sub(now)
	hold := min(maxHold, left-left/clockDrift)
	if hold < shortestHold || m == nil {
		return nil, 0
	}
	clear(g.active)
	grants := []Grant{}
	for _, r := range m.Ranges {
		if r.Holder != h || r.Next != "" || leaving || len(grants) == MaxGrants {
			continue
		}
		s := span{r.From, r.To, r.Generation}
		if _, given := g.given[s]; given {
			continue
		}
		grants = append(grants, Grant{From: r.From, To: r.To, Generation: r.Generation, Handover: r.Handover})
		g.until[s] = max(g.until[s], now.Add(withDrift(hold)))
		g.active[s] = g.until[s]
	}
	return grants, hold
}

// MaxGrants bounds the ranges of one answer to a heartbeat: upstreams ignore
// answers of more than 4 KiB, and a range with its handover takes 42 bytes.
const MaxGrants = 90

// shortestHold is the shortest hold worth granting; a renewal takes a heartbeat.
const shortestHold = 200 * time.Millisecond

// Holds reports whether the upstream was granted the range and still has it. A
// range that was divided since its grant is held by that grant.
func (g *Grants) Holds(now boottime.Time, r *Range) bool {
	s := span{r.From, r.To, r.Generation}
	if _, given := g.given[s]; given {
		return false
	}
	return now < g.expires(s)
}

// covers reports whether t is a part of s.
func (s span) covers(t span) bool {
	return s.generation == t.generation && s.from <= t.from && t.to <= s.to
}

// HoldEnded reports whether the hold on a range has certainly lapsed.
func (g *Grants) HoldEnded(now boottime.Time, r *Range) bool {
	s := span{r.From, r.To, r.Generation}
	if _, given := g.given[s]; given {
		return now >= g.lateGrant(s)
	}
	known := false
	for granted, until := range g.until {
		if granted.covers(s) {
			known = true
			if now < until {
				return false
			}
		}
	}
	return known || now >= g.unknownUntil
}

// EndAll ends all grants, because the upstream's process has ended.
func (g *Grants) EndAll() {
	clear(g.active)
	clear(g.late)
	for s := range g.until {
		g.until[s] = 0
	}
	g.unknownUntil, g.lateUnknown = 0, 0
}
