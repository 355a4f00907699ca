package sidecar

import (
	"maps"
	"slices"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// recoveryReadInterval is the time between readings of the leases by the primary readers
// while the key map of a new era is awaited.
const recoveryReadInterval = 300 * time.Millisecond

// recovering reports whether the map of the era is yet to be made from claims: this host or
// another one held keys before the store was put back.
func (d *keyDriver) recovering(service string) bool {
	m, _ := d.eraMap(service)
	if len(m.Ranges) > 0 {
		return false
	}
	return d.era.claims != nil || len(d.era.claimsOf) > 0 || len(d.index.leftoversBefore(service, d.era.number)) > 0
}

// planRecovery returns the next step of making the map of a new era. First a map without
// ranges ends the claims, once they cover all keys or no lease of the era before can be
// valid any more; then the map is made from the claims.
func (d *keyDriver) planRecovery(now boottime.Time, service string, m *keyrange.Map, version int64) mapChange {
	rank := slices.Index(hostNames(d.readyMembers(service, now)), d.host)
	if rank < 0 {
		return mapChange{}
	}
	claims := slices.Collect(maps.Values(d.era.claimsOf))
	if version == 0 {
		ended := now.Sub(d.era.entered) > oldLeasesEnd
		if !ended && !keyrange.CoverAllKeys(claims) {
			d.takeoverWait.Reset()
			return mapChange{}
		}
		if !d.takeoverWait.Elapsed(now, takeoverDelay(rank)) {
			return mapChange{}
		}
		generation := keyrange.NextEraGeneration(d.era.number, claims, d.leftoverGeneration(service))
		return mapChange{next: &keyrange.Map{Generation: generation}, before: &keyrange.Map{}, reason: reasonClaimsEnded}
	}
	if d.era.claimsEndedSeen == 0 {
		d.era.claimsEndedSeen = now
	}
	if d.era.claimsReadAt <= d.era.claimsEndedSeen {
		d.lastLeaseRead = 0 // claims may have come before they were ended
		d.wake()
		return mapChange{}
	}
	if !d.era.endedClaims && now.Sub(d.era.claimsEndedSeen) < takeoverDelay(rank+1) {
		return mapChange{}
	}
	d.takeoverWait.Reset()
	return mapChange{next: d.recoveredMap(now, service, m.Generation, claims), before: &keyrange.Map{}, reason: "recovered"}
}

// recoveredMap returns the map of the claims, in which keys that nobody claims go to the
// hosts that have a lease in this era. A member row of the store's copy may be that of a
// host that has left since.
func (d *keyDriver) recoveredMap(now boottime.Time, service string, generation uint64, claims []keyrange.Claims) *keyrange.Map {
	ready, eligible := d.placement(service, now)
	hasNoLease := func(m keyrange.Member) bool { return d.leaseWatch.Version(m.Host) == 0 }
	// The width counts all hosts: those in the regions of the keys may have no lease yet.
	n := len(slices.DeleteFunc(slices.Clone(ready), hasNoLease))
	width := (keyrange.MaxKey + 1) / max(n*initialRangesPerMember(max(n, 1)), 1)
	next := keyrange.NewMapFromClaims(generation, claims, width)
	next.AssignFree(slices.DeleteFunc(slices.Clone(eligible), hasNoLease))
	return next
}

// reasonClaimsEnded is the reason of the change that ends the claims.
const reasonClaimsEnded = "claims ended"

// oldLeasesEnd is the time after which a host that has learnt of a new era knows that no
// lease of the era before is valid.
const oldLeasesEnd = leaseDuration + leaseDuration/10

// leftoverGeneration returns the highest generation of the maps of earlier eras in the
// store.
func (d *keyDriver) leftoverGeneration(service string) uint64 {
	var highest uint64
	for _, l := range d.index.leftoversBefore(service, d.era.number) {
		highest = max(highest, l.generation)
	}
	return highest
}

// maxLeftoverDeletes bounds the rows of earlier eras that one transaction deletes.
const maxLeftoverDeletes = 60

// leftoverRows returns the rows of earlier eras that are to be deleted.
func (d *keyDriver) leftoverRows(service string) []rowstore.Key {
	rows := slices.Clone(d.era.leftover)
	for _, l := range d.index.leftoversBefore(service, d.era.number) {
		rows = append(rows, l.key)
	}
	return rows[:min(len(rows), maxLeftoverDeletes)]
}
