package ownership

import (
	"slices"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// heldIndex finds the held group of a position. It is immutable except for the
// lease ends that it points to.
type heldIndex struct {
	services map[string][]heldSpan
}

// heldSpan is a shard and the held group that it belongs to.
type heldSpan struct {
	shard keyspace.Shard
	entry *heldEntry
}

// heldEntry is one version of the record of a held group.
type heldEntry struct {
	permit Permit
	// leaseEnd is the end of the lease in nanoseconds since the manager's epoch,
	// or 0 when there is none. Entries of one generation share it.
	leaseEnd *atomic.Int64
}

func newHeldIndex(roles map[string]*holderRole) *heldIndex {
	x := &heldIndex{services: map[string][]heldSpan{}}
	for _, role := range roles {
		g := role.rec
		entry := &heldEntry{
			permit: Permit{
				Service:         g.Service,
				GroupID:         g.ID,
				Generation:      g.Generation,
				JournalComplete: g.JournalComplete,
				HolderSince:     g.HolderSince,
				Standby:         g.Standby,
			},
			leaseEnd: role.leaseEnd,
		}
		for _, s := range g.Shards {
			x.services[g.Service] = append(x.services[g.Service], heldSpan{s, entry})
		}
	}
	for _, spans := range x.services {
		slices.SortFunc(spans, func(a, b heldSpan) int {
			if a.shard.First < b.shard.First {
				return -1
			}
			return 1
		})
	}
	return x
}

// find returns the held group that contains the position, or nil.
func (x *heldIndex) find(service string, h keyspace.Hash) *heldEntry {
	spans := x.services[service]
	low, high := 0, len(spans)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if spans[mid].shard.Last < h {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == len(spans) || !spans[low].shard.Contains(h) {
		return nil
	}
	return spans[low].entry
}

// Permit returns a permit to run one request at the given position. It takes no
// lock. Errors have the kind WrongOwner or LeaseLapsed.
//
// A permit ends with the lease, and at most one lease duration from now. The
// clock is read before the lease end is loaded: the lease of a group without a
// standby lasts until the renewal deadline, but is shortened when a standby is
// added. If the clock were read second, a goroutine delayed in between could add
// the lease duration to a time after the lease was shortened.
func (m *Manager) Permit(service string, h keyspace.Hash) (Permit, error) {
	now := time.Since(m.epoch)
	entry := m.index.Load().find(service, h)
	if entry == nil {
		return Permit{}, errkind.New(errkind.WrongOwner, "this host does not hold position %v of service %s", h, service)
	}
	until := min(time.Duration(entry.leaseEnd.Load()), now+m.o.Timing.LeaseDuration)
	if until <= now {
		return Permit{}, errkind.New(errkind.LeaseLapsed, "the lease of group %s has lapsed", GroupKey(service, entry.permit.GroupID))
	}
	p := entry.permit
	p.Until = m.epoch.Add(until)
	return p, nil
}
