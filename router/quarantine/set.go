package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSuspects bounds the suspects that are kept.
	maxSuspects = 1024
	// maxAge is the time after its last crash or trial for which a suspect is kept.
	maxAge = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept of one suspect.
	maxCrashes = 8
	// quarantineAfter is the number of crashes after which a request is refused.
	quarantineAfter = 3
)

// Set holds the suspects that one host knows: requests that were in progress at crashes
// and have not completed since.
type Set struct {
	host     string
	suspects map[Fingerprint]*suspect
	// heads counts the suspects by Fingerprint.Head.
	heads   map[uint64]int
	changes []Change
	report  reportState
	// revision rises when suspects or their states may have changed.
	revision uint64
	// urgentUntil is the time until which other hosts should hear of the suspects soon.
	urgentUntil time.Time
	// urgentChanges is the number of changes that have set urgentUntil.
	urgentChanges uint64
}

// NewSet returns a set without suspects for the host.
func NewSet(host string) *Set {
	return &Set{host: host, suspects: map[Fingerprint]*suspect{}, heads: map[uint64]int{}}
}

type crash struct {
	id   Incarnation
	at   time.Time
	host string
	// cleared is true if the request has completed since.
	cleared bool
}

type state int

const (
	cleared state = iota
	suspected
	// explained: another suspect was in progress at all its crashes and at more.
	explained
	quarantined
)

type suspect struct {
	Request
	// crashes are the newest ones, oldest first.
	crashes []crash
	// live are the crashes that are not cleared.
	live  []Incarnation
	state state
	// failed is the number of trials that crashed an upstream, trialAt the start of the
	// last trial.
	failed  int
	trialAt time.Time
	// logged is true once a change to quarantined was returned by Changes.
	logged bool
}

// Change is a request that became quarantined, or a quarantined one that was cleared.
type Change struct {
	Request
	Quarantined bool
	Crashes     int
	// Hosts are the hosts of the crashes.
	Hosts []string
}

// Changes returns the changes since the last call. A request whose path is not known here
// yet is returned once it is.
func (s *Set) Changes() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// Len returns the number of suspects, and of those that are quarantined.
func (s *Set) Len() (all, inQuarantine int) {
	for _, x := range s.suspects {
		if x.state == quarantined {
			inQuarantine++
		}
	}
	return len(s.suspects), inQuarantine
}

// Revision returns a number that rises when decisions may have changed, except by time.
func (s *Set) Revision() uint64 {
	return s.revision
}

// HasHead reports whether a suspect has this Fingerprint.Head.
func (s *Set) HasHead(head uint64) bool {
	return s.heads[head] > 0
}

// RecordCrash records that the requests were in progress when the upstream of this host
// crashed.
func (s *Set) RecordCrash(now time.Time, of Incarnation, requests []Request) {
	for _, r := range requests {
		x := s.get(now, r)
		if x.has(of) {
			continue
		}
		if x.state == quarantined && x.trialAt.After(x.lastCrash().at) {
			x.failed++
		}
		x.add(crash{id: of, at: now, host: s.host})
		s.markUrgent(now, x)
	}
	s.refresh(now)
}

// urgentTime is the time for which other hosts should hear soon of a suspect with several
// crashes that has crashed an upstream again or was cleared.
const urgentTime = 2 * time.Second

// markUrgent makes reports urgent after a further crash of the suspect, or after it was
// cleared.
func (s *Set) markUrgent(now time.Time, x *suspect) {
	if len(x.crashes) > 1 {
		s.urgentUntil = now.Add(urgentTime)
		s.urgentChanges++
	}
}

// Urgent reports whether a suspect with several crashes has changed a short time ago, so that
// other hosts should hear of it before they decide on it once more.
func (s *Set) Urgent(now time.Time) bool {
	return now.Before(s.urgentUntil)
}

// UrgentChanges returns the number of changes that have made reports urgent.
func (s *Set) UrgentChanges() uint64 {
	return s.urgentChanges
}

// Completed records that an upstream has completed the request.
func (s *Set) Completed(now time.Time, f Fingerprint) {
	x := s.suspects[f]
	if x == nil || x.state == cleared {
		return
	}
	for i := range x.crashes {
		x.crashes[i].cleared = true
	}
	s.markUrgent(now, x)
	s.refresh(now)
}

// get returns the suspect for the request, which it adds if it is missing.
func (s *Set) get(now time.Time, r Request) *suspect {
	x := s.suspects[r.Fingerprint]
	if x == nil {
		s.makeRoom(now)
		x = &suspect{Request: Request{Fingerprint: r.Fingerprint}}
		s.suspects[r.Fingerprint] = x
		s.heads[r.Head]++
	}
	x.learn(r)
	return x
}

// learn adds what is only known where the request itself was seen.
func (x *suspect) learn(r Request) {
	if x.Path == "" && r.Path != "" {
		x.Request = r.bounded()
	}
}

// makeRoom removes a suspect if there are maxSuspects: of those with the fewest crashes
// the oldest.
func (s *Set) makeRoom(now time.Time) {
	if len(s.suspects) < maxSuspects {
		return
	}
	s.expire(now)
	if len(s.suspects) < maxSuspects {
		return
	}
	var least *suspect
	for _, x := range s.suspects {
		if least == nil || byWeight(x, least) > 0 {
			least = x
		}
	}
	s.remove(least)
}

// byWeight orders suspects with more crashes first, then the newest.
func byWeight(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(b.live), len(a.live)), cmp.Compare(len(b.crashes), len(a.crashes)),
		b.lastActivity().Compare(a.lastActivity()), cmp.Compare(a.Head, b.Head), cmp.Compare(a.Body, b.Body))
}

func (s *Set) remove(x *suspect) {
	delete(s.suspects, x.Fingerprint)
	if s.heads[x.Head]--; s.heads[x.Head] <= 0 {
		delete(s.heads, x.Head)
	}
}

// expire removes the suspects that are too old, and reports whether there were any.
func (s *Set) expire(now time.Time) bool {
	before := len(s.suspects)
	for _, x := range s.suspects {
		if now.Sub(x.lastActivity()) > maxAge {
			s.remove(x)
		}
	}
	return len(s.suspects) != before
}

// Expire removes the suspects that are too old.
func (s *Set) Expire(now time.Time) {
	if s.expire(now) {
		s.refresh(now)
	}
}

func (x *suspect) has(of Incarnation) bool {
	return slices.ContainsFunc(x.crashes, func(c crash) bool { return c.id == of })
}

// add adds a crash that the suspect does not have.
func (x *suspect) add(c crash) {
	x.crashes = append(x.crashes, c)
	slices.SortStableFunc(x.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	x.crashes = x.crashes[max(len(x.crashes)-maxCrashes, 0):]
}

// lastCrash returns the newest crash, or the zero crash if there is none.
func (x *suspect) lastCrash() crash {
	if len(x.crashes) == 0 {
		return crash{}
	}
	return x.crashes[len(x.crashes)-1]
}

func (x *suspect) lastActivity() time.Time {
	if last := x.lastCrash().at; last.After(x.trialAt) {
		return last
	}
	return x.trialAt
}

// refresh brings what is derived from the crashes up to date.
func (s *Set) refresh(now time.Time) {
	s.report.at = time.Time{}
	s.revision++
	s.expire(now)
	s.blame()
}

// blame decides who is quarantined. Suspects that share crashes share the blame: one that
// recurs over more crashes explains those of the others, and of two that were in progress
// at the same crashes none is refused.
func (s *Set) blame() {
	ranked := make([]*suspect, 0, len(s.suspects))
	sharing := map[Incarnation][]*suspect{}
	for _, x := range s.suspects {
		x.live = x.live[:0]
		for _, c := range x.crashes {
			if !c.cleared {
				x.live = append(x.live, c.id)
				sharing[c.id] = append(sharing[c.id], x)
			}
		}
		if len(x.live) == 0 {
			s.setState(x, cleared)
			continue
		}
		ranked = append(ranked, x)
	}
	slices.SortFunc(ranked, byWeight)
	taken := map[Incarnation]bool{} // crashes of quarantined suspects
	for _, x := range ranked {
		own := slices.DeleteFunc(slices.Clone(x.live), func(of Incarnation) bool { return taken[of] })
		if len(own) >= quarantineAfter && (x.state == quarantined || !shared(own, x, sharing[own[0]])) {
			s.setState(x, quarantined)
			for _, of := range x.live {
				taken[of] = true
			}
			continue
		}
		if isExplained(x, sharing[x.live[0]]) {
			s.setState(x, explained)
		} else {
			s.setState(x, suspected)
		}
	}
}

// shared reports whether another suspect that is not quarantined was in progress at all of
// the crashes.
func shared(crashes []Incarnation, x *suspect, candidates []*suspect) bool {
	return slices.ContainsFunc(candidates, func(o *suspect) bool {
		return o != x && o.state != quarantined && containsAll(o.live, crashes)
	})
}

// isExplained reports whether another suspect was in progress at all crashes of x and at
// more.
func isExplained(x *suspect, candidates []*suspect) bool {
	return slices.ContainsFunc(candidates, func(o *suspect) bool {
		return len(o.live) > len(x.live) && containsAll(o.live, x.live)
	})
}

func containsAll(all, some []Incarnation) bool {
	for _, of := range some {
		if !slices.Contains(all, of) {
			return false
		}
	}
	return true
}

func (s *Set) setState(x *suspect, to state) {
	before := x.state
	x.state = to
	if to == cleared {
		x.failed = 0
	}
	if to != quarantined && before == quarantined {
		if x.logged {
			s.appendChange(x, false)
		}
		x.logged = false
	}
	s.appendQuarantined(x)
}

// appendQuarantined adds the change to quarantined once the path is known.
func (s *Set) appendQuarantined(x *suspect) {
	if x.state == quarantined && !x.logged && x.Path != "" {
		x.logged = true
		s.appendChange(x, true)
	}
}

func (s *Set) appendChange(x *suspect, inQuarantine bool) {
	c := Change{Request: x.Request, Quarantined: inQuarantine, Crashes: len(x.crashes)}
	for _, crash := range x.crashes {
		if !slices.Contains(c.Hosts, crash.host) {
			c.Hosts = append(c.Hosts, crash.host)
		}
	}
	s.changes = append(s.changes, c)
}
