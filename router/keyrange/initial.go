package keyrange

import (
	"maps"
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
)

const (
	// steadyTime is how long a member must have been present without a break to get ranges
	// of the initial key map, and how long the set of members must be unchanged before the
	// map is made.
	steadyTime = 1500 * time.Millisecond
	// maxInitialWait bounds the wait for an unchanged set of members. Without a bound, one
	// member that comes and goes within steadyTime keeps all keys without a holder.
	maxInitialWait = 6 * time.Second
	// initialStagger is the delay between the hosts, in the order of their names, so that
	// they do not all write the map at once.
	initialStagger = 400 * time.Millisecond
)

// InitialMembers decides when the initial key map of a service is made, and among which
// members. The zero value has seen no members.
type InitialMembers struct {
	// present holds the time since which each member has been present.
	present map[string]boottime.Time
	// first is the time since which there have been members, changed that of the last change
	// of the set.
	first, changed boottime.Time
}

// Reset forgets the members: the service has a key map.
func (i *InitialMembers) Reset() {
	*i = InitialMembers{}
}

// Choose records the members and returns those among which the host must make the map now,
// or none: all of them once their set has been unchanged for steadyTime, and the steady ones
// maxInitialWait after the first observation at the latest. The hosts take turns in the order
// of their names.
func (i *InitialMembers) Choose(now boottime.Time, host string, members []Member) []Member {
	i.observe(now, members)
	steady := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return now.Sub(i.present[m.Host]) < steadyTime })
	rank := slices.IndexFunc(steady, func(m Member) bool { return m.Host == host })
	waitsSince := min(i.changed, i.first.Add(maxInitialWait-steadyTime))
	if rank < 0 || now.Sub(waitsSince) < steadyTime+time.Duration(rank)*initialStagger {
		return nil
	}
	return steady
}

// observe records the present members.
func (i *InitialMembers) observe(now boottime.Time, members []Member) {
	if len(members) == 0 {
		i.Reset() // the wait begins again with the next member
		return
	}
	if i.present == nil {
		i.present, i.first = map[string]boottime.Time{}, now
	}
	before := len(i.present)
	maps.DeleteFunc(i.present, func(host string, _ boottime.Time) bool {
		return !slices.ContainsFunc(members, func(m Member) bool { return m.Host == host })
	})
	if len(i.present) < before {
		i.changed = now
	}
	for _, m := range members {
		if _, ok := i.present[m.Host]; !ok {
			i.present[m.Host], i.changed = now, now
		}
	}
}

// NewInitialMap returns the initial key map, in which the steady members hold the number of
// ranges that all members would have together, so that the others can get some later. No
// member gets more than maxRangesPerHost.
func NewInitialMap(steady []Member, ranges int) *Map {
	if len(steady) == 0 {
		return &Map{}
	}
	return NewMap(steady, min((ranges+len(steady)-1)/len(steady), maxRangesPerHost))
}
