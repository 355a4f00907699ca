package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// suspectDuration is how long a host that did not respond is excluded from the
// choice of standbys, targets and peers.
const suspectDuration = 5 * time.Second

// Load is a host's own summary of its load. It lags behind the actual load, and
// no safety property depends on it.
type Load struct {
	Host string `json:"host"`
	// Seq increases with each summary of an incarnation of the router.
	Incarnation uint64 `json:"incarnation,string"`
	Seq         uint64 `json:"seq"`
	// InUse is the mean number of busy slots; Slots is the capacity.
	InUse float64 `json:"in_use"`
	Slots int     `json:"slots"`
	// NoteVersion is the version of the release note that the host applies.
	NoteVersion int64 `json:"note_version"`
	// Healthy is false while the host's upstream accepts no requests.
	Healthy bool `json:"healthy"`
}

// ReceivedLoad is a load summary with the local time of its arrival.
type ReceivedLoad struct {
	Load
	ReceivedAt time.Time
}

// Directory holds the known members and their loads, and marks members that did
// not respond recently as suspect. It is safe for concurrent use.
type Directory struct {
	mu       sync.RWMutex
	members  map[string]Member
	loads    map[string]ReceivedLoad
	suspects map[string]time.Time // host name -> end of suspicion
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		members:  map[string]Member{},
		loads:    map[string]ReceivedLoad{},
		suspects: map[string]time.Time{},
	}
}

// Put stores a member unless the directory has the same or a newer version. A
// new incarnation of a host is not suspect.
func (d *Directory) Put(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.members[m.Host.Name]
	if ok && old.Version >= m.Version {
		return
	}
	if ok && !old.Host.SameProcess(m.Host) {
		delete(d.suspects, m.Host.Name)
	}
	d.members[m.Host.Name] = m
}

// Remove removes a member unless the directory has a newer version.
func (d *Directory) Remove(host string, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, ok := d.members[host]; ok && m.Version <= version {
		delete(d.members, host)
		delete(d.loads, host)
		delete(d.suspects, host)
	}
}

// Get returns a member by host name.
func (d *Directory) Get(host string) (Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[host]
	return m, ok
}

// All returns the members sorted by host name.
func (d *Directory) All() []Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Host.Name, b.Host.Name) })
	return all
}

// MarkSuspect marks a host that did not respond as suspect for suspectDuration.
func (d *Directory) MarkSuspect(now time.Time, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects[host] = now.Add(suspectDuration)
}

// ClearSuspect removes the suspect mark of a host that responded.
func (d *Directory) ClearSuspect(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, host)
}

// IsSuspect reports whether the host is marked as suspect.
func (d *Directory) IsSuspect(now time.Time, host string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return now.Before(d.suspects[host])
}

// PutLoad stores a load summary and reports whether it is newer than the stored
// one. It ignores summaries of unknown members and of other incarnations.
func (d *Directory) PutLoad(now time.Time, l Load) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[l.Host]
	if !ok || m.Host.Incarnation != l.Incarnation {
		return false
	}
	old, ok := d.loads[l.Host]
	if ok && old.Incarnation == l.Incarnation && old.Seq >= l.Seq {
		return false
	}
	d.loads[l.Host] = ReceivedLoad{Load: l, ReceivedAt: now}
	return true
}

// LoadOf returns the newest load summary of a host.
func (d *Directory) LoadOf(host string) (ReceivedLoad, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l, ok := d.loads[host]
	return l, ok
}

// Loads returns the newest load summaries, in no particular order.
func (d *Directory) Loads() []ReceivedLoad {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]ReceivedLoad, 0, len(d.loads))
	for _, l := range d.loads {
		all = append(all, l)
	}
	return all
}

// Peers returns up to n random members other than self that are not suspect.
func (d *Directory) Peers(now time.Time, self string, n int) []Member {
	d.mu.RLock()
	peers := make([]Member, 0, len(d.members))
	for name, m := range d.members {
		if name != self && !now.Before(d.suspects[name]) {
			peers = append(peers, m)
		}
	}
	d.mu.RUnlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// PickStandby chooses a standby for a group of the service held by self: an
// active, healthy member of the same service that is not suspect. It prefers
// another zone of self's region, then self's zone, then other regions. Among
// hosts of equal priority the choice is random, which distributes standbys over
// the hosts.
func (d *Directory) PickStandby(now time.Time, self Member, service string, exclude ...string) (Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best Member
	bestRank, ties := -1, 0
	for name, m := range d.members {
		if name == self.Host.Name || m.Service != service || m.State != Active {
			continue
		}
		if slices.Contains(exclude, name) || now.Before(d.suspects[name]) {
			continue
		}
		if l, ok := d.loads[name]; ok && l.Incarnation == m.Host.Incarnation && !l.Healthy {
			continue
		}
		rank := standbyPriority(self, m)
		if rank < bestRank {
			continue
		}
		if rank > bestRank {
			best, bestRank, ties = m, rank, 1
			continue
		}
		ties++
		if rand.IntN(ties) == 0 {
			best = m
		}
	}
	return best, bestRank >= 0
}

// BetterStandby returns a host of higher standby priority than the current
// standby. The current standby can be suboptimal if it was chosen while no
// better host was up, or by a host of another zone that handed the group over.
// A standby that is not a known member is not replaced. The returned host may
// have failed recently; the caller must check that it responds.
func (d *Directory) BetterStandby(now time.Time, self Member, service, current string) (Member, bool) {
	currentMember, known := d.Get(current)
	best, found := d.PickStandby(now, self, service, current)
	if !known || !found || standbyPriority(self, best) <= standbyPriority(self, currentMember) {
		return Member{}, false
	}
	return best, true
}

// Priorities of standby candidates, lowest first. A zone can fail as a whole,
// and a network partition can separate regions, so another zone of the same
// region is best.
const (
	priorityOtherRegion = iota
	prioritySameZone
	priorityOtherZone
)

func standbyPriority(self, m Member) int {
	if m.Region != self.Region {
		return priorityOtherRegion
	}
	if m.Zone == self.Zone {
		return prioritySameZone
	}
	return priorityOtherZone
}
