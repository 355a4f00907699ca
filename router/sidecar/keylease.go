package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// currentReadInterval returns the time between readings of the leases, which depends on
// the role of this host.
func (d *keyDriver) currentReadInterval(service string) time.Duration {
	primaryInterval, idleInterval := leaseReadInterval, idleReadInterval
	if d.recovering(service) {
		primaryInterval, idleInterval = recoveryReadInterval, backupReadInterval
	}
	for i, m := range d.fleet.Members(service) {
		if i >= primaryReaders {
			break
		}
		if m.Host == d.host {
			return primaryInterval
		}
	}
	if d.lastLeaseRead != 0 && d.storeClock.UpperBound(boottime.Now()) == 0 {
		return leaseReadInterval // without the store's clock, the lease row of this host has no end time
	}
	if !d.holderUnreachable(service) {
		d.suspicion.Reset()
		return idleInterval
	}
	if !d.suspicion.Elapsed(boottime.Now(), suspicionDelay) {
		return idleInterval
	}
	return backupReadInterval
}

// holderUnreachable reports whether a range has no holder, or a holder whose host did not
// respond to the last request of this one.
func (d *keyDriver) holderUnreachable(service string) bool {
	m, _ := d.index.get(service)
	if m == nil {
		return false
	}
	now := time.Now()
	reachable := map[string]bool{d.host: true}
	for i := range m.Ranges {
		host := m.Ranges[i].Holder.Host
		reached, ok := reachable[host]
		if !ok {
			h := d.fleet.Host(host)
			reached = h != nil && h.Reachable(now)
			reachable[host] = reached
		}
		if !reached {
			return true
		}
	}
	return false
}

// currentRenewInterval returns the time between renewals of the lease for the size of the
// service.
func (d *keyDriver) currentRenewInterval(service string) time.Duration {
	switch n := len(d.fleet.Members(service)); {
	case n > hugeServiceHosts:
		return hugeRenewInterval
	case n > largeServiceHosts:
		return largeRenewInterval
	}
	return renewInterval
}

// readLeases reads the leases of the service, for this host and for those that wait for it.
func (d *keyDriver) readLeases(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := boottime.Now()
	rows, version, err := d.store.List(ctx, tableLease, service)
	if err != nil {
		d.leaseWatch.ReadFailed()
		d.log.Log(eventLeaseReadFailed, event.F("service", service), event.F("error", err.Error()))
		return
	}
	d.countLeaseReading("store")
	r := leaseReading{service: service, sent: sent, rows: rows, version: version}
	d.share.publish(r)
	d.applyLeases(r)
}

// applyLeases records which leases of a reading are being renewed.
func (d *keyDriver) applyLeases(r leaseReading) {
	if rowstore.EraOf(r.version) != d.era.number || !d.eraEntered {
		d.wake()
		return
	}
	leases := make(map[string]keyrange.Lease, len(r.rows))
	d.era.claimsOf, d.era.leftover, d.era.claimsReadAt = map[string]keyrange.Claims{}, nil, r.sent
	for _, row := range r.rows {
		host, era := splitEraName(row.Name)
		if era != d.era.number {
			d.era.leftover = append(d.era.leftover, row.Key)
			continue
		}
		lease, err := keyrange.DecodeLeaseRow(host, row.Value)
		if err != nil {
			d.log.Log(eventRowInvalid, event.F("row", "lease of "+row.Name), event.F("error", err.Error()))
		}
		if lease.Claims != nil {
			d.era.claimsOf[host] = *lease.Claims
		}
		leases[host] = keyrange.Lease{Version: row.Version, End: lease.End, ReadAt: row.ReadAt}
		if !r.noClock {
			d.storeClock.Observe(r.sent, row.ReadAt)
		}
	}
	d.leaseWatch.Observe(boottime.Now(), leases, d.currentReadInterval(r.service))
}

// commit renews the lease and applies the change in one transaction. A renewal must prove
// that this host knows which ranges it holds: the first renewal of a process, and the
// first one after a conflict, is conditional on the version of the map. Later renewals
// need no such condition, because only this host changes its ranges, except for hosts
// that take them after the lease has lapsed, and those delete the row of the lease.
func (d *keyDriver) commit(ctx context.Context, service string, mapVersion int64, c mapChange) {
	sent := boottime.Now()
	claims := d.claimsToWrite(service, mapVersion)
	txn, err := d.transaction(service, mapVersion, sent, claims, &c)
	if err != nil {
		d.log.Log(eventMapFailed, event.F("why", c.reason), event.F("error", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := d.store.Commit(ctx, txn)
	d.lastRenewal = sent
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		d.applyConflict(service, conflict.Rows)
		if len(c.lapsed) > 0 {
			d.lastLeaseRead = 0 // one of the lapsed leases may have been renewed
		}
		if c.next != nil {
			d.postponeMoves()
		}
	case err != nil:
		d.log.Log(eventRenewalFailed, event.F("service", service), event.F("error", err.Error()))
	default:
		d.commitSucceeded(service, version, sent, claims, c)
	}
}

// transaction returns the renewal of the lease together with the change. If the new map
// does not fit into a row, the change is dropped from c, so that the ranges already held
// stay served.
func (d *keyDriver) transaction(service string, mapVersion int64, sent boottime.Time, claims *keyrange.Claims, c *mapChange) (rowstore.Txn, error) {
	lease, err := keyrange.LeaseRow{End: d.storeClock.UpperBound(sent.Add(leaseDuration)), Claims: claims}.Encode()
	if err != nil {
		return rowstore.Txn{}, err
	}
	own, era := leaseKey(service, d.host, d.era.number), d.era.number
	txn := rowstore.Txn{
		Era:        era,
		Conditions: []rowstore.Condition{{Key: own, Version: d.leaseVersion}},
		Writes:     []rowstore.Write{{Key: own, Value: lease}},
	}
	if c.next != nil {
		if c.encoded, err = c.next.Encode(); err != nil {
			d.log.Log(eventMapFailed, event.F("why", c.reason), event.F("error", err.Error()))
			*c = mapChange{}
		}
	}
	if c.next != nil || !d.mapConfirmed {
		txn.Conditions = append(txn.Conditions, rowstore.Condition{Key: mapKey(service, era), Version: mapVersion})
	}
	if c.next == nil {
		return txn, nil
	}
	txn.Writes = append(txn.Writes, rowstore.Write{Key: mapKey(service, era), Value: c.encoded})
	for host, version := range c.lapsed {
		key := leaseKey(service, host, era)
		txn.Conditions = append(txn.Conditions, rowstore.Condition{Key: key, Version: version})
		if version != 0 {
			txn.Deletes = append(txn.Deletes, key)
		}
	}
	if len(c.before.Ranges) == 0 && len(c.next.Ranges) > 0 {
		txn.Deletes = append(txn.Deletes, d.leftoverRows(service)...)
	}
	return txn, nil
}

// postponeMoves delays the next move for load by a random time: if many hosts move keys
// at once, only one commit succeeds and the others repeat theirs.
func (d *keyDriver) postponeMoves() {
	d.lastMove = boottime.Now().Add(time.Duration(rand.Int64N(int64(2 * moveInterval))))
}

func (d *keyDriver) commitSucceeded(service string, version int64, sent boottime.Time, claims *keyrange.Claims, c mapChange) {
	d.leaseVersion, d.mapConfirmed = version, true
	d.mu.Lock()
	d.leaseEnd = sent.Add(leaseDuration)
	d.leaseAcknowledged(claims)
	d.mu.Unlock()
	if c.next == nil {
		return
	}
	d.era.endedClaims = d.era.endedClaims || c.reason == reasonClaimsEnded
	d.index.put(service, version, c.next)
	d.notifyNewHolders(rowstore.Row{Key: mapKey(service, d.era.number), Value: c.encoded, Version: version}, c)
	d.log.Log(eventMapChanged, event.F("service", service), event.F("version", version), event.F("why", c.reason),
		event.F("generation", c.next.Generation), event.F("lapsed", len(c.lapsed)))
}

// applyConflict applies the current rows that a conflict returned and lets the next step
// retry at once.
func (d *keyDriver) applyConflict(service string, rows []rowstore.Row) {
	before := d.leaseVersion
	d.leaseVersion = 0
	for _, r := range rows {
		switch r.Key {
		case leaseKey(service, d.host, d.era.number):
			d.leaseVersion = r.Version
		case mapKey(service, d.era.number):
			m, err := keyrange.DecodeMap(r.Value)
			if err != nil {
				d.log.Log(eventRowInvalid, event.F("row", "key map"), event.F("error", err.Error()))
				continue
			}
			d.index.put(service, r.Version, m)
		}
	}
	// An unchanged version of the lease shows that no host has taken ranges of this one.
	d.mapConfirmed = d.mapConfirmed && d.leaseVersion == before
	d.lastRenewal = 0
	d.wake()
}
