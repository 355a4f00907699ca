package ownership

import (
	"slices"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// heldIndex finds the held group of a position. It is immutable but for the
// lease ends that it points to.
type heldIndex struct {
	services map[string][]heldSpan
}

type heldSpan struct {
	shard keyspace.Shard
	entry *heldEntry
}

// heldEntry is one held group under one record.
type heldEntry struct {
	permit Permit
	// until is the end of the lease in nanoseconds since the manager's epoch;
	// 0 when there is none. Entries of one generation share it.
	until *atomic.Int64
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
			until: role.until,
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

// Permit returns the right to run one request at the position. It takes no
// lock. Errors have the kind WrongOwner or LeaseLapsed.
//
// A permit ends with the lease and at most one lease duration from now. The
// clock is read before the lease end: a group without a standby has a lease of
// up to the horizon, which ends early when a standby is added, and a reader
// that is delayed in between must not add the duration to a later time.
func (m *Manager) Permit(service string, h keyspace.Hash) (Permit, error) {
	now := time.Since(m.epoch)
	entry := m.index.Load().find(service, h)
	if entry == nil {
		return Permit{}, errkind.New(errkind.WrongOwner, "this host does not hold position %v of service %s", h, service)
	}
	until := min(time.Duration(entry.until.Load()), now+m.o.Timing.LeaseDuration)
	if until <= now {
		return Permit{}, errkind.New(errkind.LeaseLapsed, "the lease of group %s has lapsed", GroupKey(service, entry.permit.GroupID))
	}
	p := entry.permit
	p.Until = m.epoch.Add(until)
	return p, nil
}
