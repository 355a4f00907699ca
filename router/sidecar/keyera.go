package sidecar

import (
	"strconv"
	"strings"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// The rows of the key maps and of the leases belong to one era of the store and name it.
// What a host that knows only an earlier era writes therefore never meets the rows of a
// later one, and a version that is given out again cannot make a wrong condition hold.

// eraName returns the name of a row in an era of the store.
func eraName(name string, era int64) string {
	if era == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(era, 10)
}

// splitEraName returns the name and the era of a row that eraName has named.
func splitEraName(rowName string) (name string, era int64) {
	i := strings.LastIndexByte(rowName, '@')
	if i < 0 {
		return rowName, 0
	}
	era, err := strconv.ParseInt(rowName[i+1:], 10, 64)
	if err != nil {
		return rowName, 0
	}
	return rowName[:i], era
}

func mapKey(service string, era int64) rowstore.Key {
	return rowstore.Key{Table: tableFleet, Part: service, Name: eraName(partKeys, era)}
}

func leaseKey(service, host string, era int64) rowstore.Key {
	return rowstore.Key{Table: tableLease, Part: service, Name: eraName(host, era)}
}

// keyEra is what a host knows of the era in which it holds keys.
type keyEra struct {
	// number is the era of the store whose rows are used, and entered the time at which this
	// host learnt of it.
	number  int64
	entered boottime.Time
	// claims are the ranges that this host claims in the era; nil in the first one that the
	// process has seen. claimed is true once its lease's row holds them.
	claims  *keyrange.Claims
	claimed bool
	// claimsOf are the claims of all hosts as read at claimsReadAt, by host.
	claimsOf     map[string]keyrange.Claims
	claimsReadAt boottime.Time
	// leftover are the rows of leases of earlier eras.
	leftover []rowstore.Key
	// claimsEndedSeen is the time at which this host saw that no host adds claims any more,
	// 0 if it has not; endedClaims is true if it was this host that ended them.
	claimsEndedSeen boottime.Time
	endedClaims     bool
}

// grantSource determines by which map keys may be granted.
type grantSource struct {
	// era is the era of the lease, whose maps are used.
	era int64
	// claimed is the map of the era before by which keys may be granted until a map of era
	// is known; nil if there is none.
	claimed *keyrange.Map
}

// noEra is no era of a store.
const noEra = -1

// enterNewestEra makes the host use the rows of the newest era of the store. It returns
// false while no era is known.
func (d *keyDriver) enterNewestEra(s upstreamState) bool {
	newest := d.eras.Newest()
	switch {
	case !d.eras.Known():
		return false
	case !d.eraEntered:
		d.eraEntered = true
		d.era = keyEra{number: newest, entered: boottime.Now()}
		d.mu.Lock()
		d.grantSource = grantSource{era: newest}
		d.mu.Unlock()
	case d.era.number != newest:
		d.changeEra(s, newest)
	}
	return true
}

// changeEra leaves the era before for a new one. The host claims what it holds if its lease
// is still valid. Until it has a lease in the new era, it goes on granting what it holds for
// as long as that lease lasts: no other host takes these keys before.
func (d *keyDriver) changeEra(s upstreamState, number int64) {
	now, before, confirmed := boottime.Now(), d.era.number, d.mapConfirmed
	claimedBefore := d.era.claims != nil && len(d.era.claims.Ranges) > 0
	d.era = keyEra{number: number, entered: now, claims: &keyrange.Claims{}}
	d.leaseVersion, d.mapConfirmed, d.lastRenewal, d.lastLeaseRead = 0, false, 0, 0
	d.takeoverWait.Reset()
	d.leaseWatch, d.storeClock = keyrange.LeaseWatch{}, keyrange.StoreClock{}
	m, version := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.grantSource.claimed
	// If the store was put back twice in short order, a host that got no lease in the era
	// between claims again what it claimed there.
	confirmed = confirmed || (d.grantSource.era == noEra && claimedBefore)
	if m != nil && rowstore.EraOf(version) == before && d.grantSource.era == before {
		held = d.withoutNewMoves(now, m)
	}
	d.grantSource = grantSource{era: noEra, claimed: held}
	if held != nil {
		d.era.claims.Generation = held.Generation
		if confirmed && now < d.leaseEnd {
			*d.era.claims = d.grants.ClaimsOf(d.host, held)
		}
	}
	d.log.Log(eventKeysClaimed, event.F("era", number), event.F("before", before), event.F("service", s.service),
		event.F("claims", len(d.era.claims.Ranges)), event.F("lease_left_ms", d.leaseEnd.Sub(now).Milliseconds()))
}

// withoutNewMoves returns the map without planned moves of ranges that the upstream still
// holds: the next holder can get them by no map any more, and without a grant they would not
// be served until there is a new map. Ranges that the upstream has been told to release are
// not granted again, because it may report the release later. The caller holds d.mu.
func (d *keyDriver) withoutNewMoves(now boottime.Time, m *keyrange.Map) *keyrange.Map {
	m = m.Clone()
	for i := range m.Ranges {
		if r := &m.Ranges[i]; r.Holder.Host == d.host && d.grants.Holds(now, r) {
			r.Next = ""
		}
	}
	return m
}

// grantMap returns the map by which keys may be granted, or nil, and its version. The
// caller holds d.mu.
func (d *keyDriver) grantMap(service string) (*keyrange.Map, int64) {
	m, version := d.index.get(service)
	if m != nil && rowstore.EraOf(version) == d.grantSource.era {
		return m, version
	}
	return d.grantSource.claimed, 0
}

// claimsToWrite returns what the row of this host's lease is to say of its claims: nothing
// once the era has a map. New claims are made only while no row of a map exists.
func (d *keyDriver) claimsToWrite(service string, mapVersion int64) *keyrange.Claims {
	m, _ := d.eraMap(service)
	if d.era.claims == nil || len(m.Ranges) > 0 {
		return nil
	}
	if mapVersion != 0 && !d.era.claimed {
		return &keyrange.Claims{Generation: d.era.claims.Generation}
	}
	return d.era.claims
}

// leaseAcknowledged records that the host has a lease in its era. The caller holds d.mu.
func (d *keyDriver) leaseAcknowledged(claims *keyrange.Claims) {
	if d.grantSource.era == d.era.number {
		return
	}
	d.grantSource.era = d.era.number
	d.era.claimed = claims != nil && len(claims.Ranges) > 0
	if !d.era.claimed {
		d.grantSource.claimed = nil
	}
}

// eraMap returns the newest map of the service in the host's era, and its version; an empty
// map and version 0 if there is none.
func (d *keyDriver) eraMap(service string) (*keyrange.Map, int64) {
	m, version := d.index.newest(service)
	if m == nil || rowstore.EraOf(version) != d.era.number {
		return &keyrange.Map{}, 0
	}
	return m, version
}
