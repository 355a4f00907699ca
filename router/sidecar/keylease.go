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

// readPause is the time between readings of the leases.
func (d *keyDriver) readPause(service string) time.Duration {
	for i, m := range d.fleet.Members(service) {
		if i >= watchers {
			break
		}
		if m.Host == d.host {
			return readInterval
		}
	}
	if d.lastRead != 0 && d.storeClock.UpperBound(boottime.Now()) == 0 {
		return readInterval // without the store's clock the own lease row tells no end
	}
	if !d.holderLost(service) {
		d.suspicion.Reset()
		return idleInterval
	}
	if !d.suspicion.Elapsed(boottime.Now(), suspicionTime) {
		return idleInterval
	}
	return standInInterval
}

// holderLost reports whether a range has no holder, or a holder that did not answer
// this host last.
func (d *keyDriver) holderLost(service string) bool {
	m, _ := d.index.get(service)
	if m == nil {
		return false
	}
	now := time.Now()
	answers := map[string]bool{d.host: true}
	for i := range m.Ranges {
		host := m.Ranges[i].Holder.Host
		known, ok := answers[host]
		if !ok {
			h := d.fleet.Host(host)
			known = h != nil && h.Reachable(now)
			answers[host] = known
		}
		if !known {
			return true
		}
	}
	return false
}

// renewPause is the time between renewals of the lease.
func (d *keyDriver) renewPause(service string) time.Duration {
	switch n := len(d.fleet.Members(service)); {
	case n > hugeService:
		return hugeRenewInterval
	case n > largeService:
		return largeRenewInterval
	}
	return renewInterval
}

// readLeases notes which leases are being renewed.
func (d *keyDriver) readLeases(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := boottime.Now()
	rows, _, err := d.store.List(ctx, tableLease, service)
	if err != nil {
		d.watch.ReadFailed()
		d.log.Log(eventLeasesUnread, event.F("service", service), event.F("error", err.Error()))
		return
	}
	leases := make(map[string]keyrange.Lease, len(rows))
	for _, r := range rows {
		end, err := keyrange.DecodeLeaseEnd(r.Value)
		if err != nil {
			d.log.Log(eventRowInvalid, event.F("row", "lease of "+r.Name), event.F("error", err.Error()))
		}
		leases[r.Name] = keyrange.Lease{Version: r.Version, End: end, ReadAt: r.ReadAt}
		d.storeClock.Observe(sent, r.ReadAt)
	}
	d.watch.Observe(boottime.Now(), leases, d.readPause(service))
}

// commit renews the lease and applies the change in one transaction. A renewal
// proves that this host knows which ranges it holds: the first one of a process, and
// the first one after a conflict, has the version of the map as a condition; after
// that only this host changes its ranges, but for hosts that take them because the
// lease has lapsed, and these delete the row of the lease.
func (d *keyDriver) commit(ctx context.Context, service string, mapVersion int64, c change) {
	sent := boottime.Now()
	txn, err := d.transaction(service, mapVersion, sent, &c)
	if err != nil {
		d.log.Log(eventMapFailed, event.F("why", c.why), event.F("error", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := d.store.Commit(ctx, txn)
	d.lastRenewal = sent
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		d.adopt(service, conflict.Rows)
		if len(c.lapsed) > 0 {
			d.lastRead = 0 // one of the lapsed leases may have been renewed
		}
		if c.next != nil {
			d.postponeMoves()
		}
	case err != nil:
		d.log.Log(eventRenewalFailed, event.F("service", service), event.F("error", err.Error()))
	default:
		d.committed(service, version, sent, c)
	}
}

func mapKey(service string) rowstore.Key {
	return rowstore.Key{Table: tableFleet, Part: service, Name: partKeys}
}

func leaseKey(service, host string) rowstore.Key {
	return rowstore.Key{Table: tableLease, Part: service, Name: host}
}

// transaction returns the renewal of the lease together with the change. A change
// whose map does not fit into a row is dropped from c: what is held stays served.
func (d *keyDriver) transaction(service string, mapVersion int64, sent boottime.Time, c *change) (rowstore.Txn, error) {
	lease, err := keyrange.EncodeLeaseEnd(d.storeClock.UpperBound(sent.Add(leaseTime)))
	if err != nil {
		return rowstore.Txn{}, err
	}
	own := leaseKey(service, d.host)
	txn := rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: own, Version: d.leaseVersion}},
		Writes:     []rowstore.Write{{Key: own, Value: lease}},
	}
	if c.next != nil {
		if c.encoded, err = c.next.Encode(); err != nil {
			d.log.Log(eventMapFailed, event.F("why", c.why), event.F("error", err.Error()))
			*c = change{}
		}
	}
	if c.next != nil || !d.knowsMap {
		txn.Conditions = append(txn.Conditions, rowstore.Condition{Key: mapKey(service), Version: mapVersion})
	}
	if c.next == nil {
		return txn, nil
	}
	txn.Writes = append(txn.Writes, rowstore.Write{Key: mapKey(service), Value: c.encoded})
	for host, version := range c.lapsed {
		key := leaseKey(service, host)
		txn.Conditions = append(txn.Conditions, rowstore.Condition{Key: key, Version: version})
		if version != 0 {
			txn.Deletes = append(txn.Deletes, key)
		}
	}
	return txn, nil
}

// postponeMoves puts the next move for load off by a random time: of hosts that all
// move keys at once only one can commit, and the others pay for each attempt.
func (d *keyDriver) postponeMoves() {
	d.lastMove = boottime.Now().Add(time.Duration(rand.Int64N(int64(2 * moveInterval))))
}

func (d *keyDriver) committed(service string, version int64, sent boottime.Time, c change) {
	d.leaseVersion, d.knowsMap = version, true
	d.mu.Lock()
	d.leaseEnd = sent.Add(leaseTime)
	d.mu.Unlock()
	if c.next == nil {
		return
	}
	d.index.put(service, version, c.next)
	d.notifyNewHolders(rowstore.Row{Key: mapKey(service), Value: c.encoded, Version: version}, c)
	d.log.Log(eventMapChanged, event.F("service", service), event.F("version", version), event.F("why", c.why),
		event.F("generation", c.next.Generation), event.F("lapsed", len(c.lapsed)))
}

// adopt takes the rows that a conflict showed and lets the next step try again
// at once.
func (d *keyDriver) adopt(service string, rows []rowstore.Row) {
	before := d.leaseVersion
	d.leaseVersion = 0
	for _, r := range rows {
		switch r.Key {
		case leaseKey(service, d.host):
			d.leaseVersion = r.Version
		case mapKey(service):
			m, err := keyrange.DecodeMap(r.Value)
			if err != nil {
				d.log.Log(eventRowInvalid, event.F("row", "key map"), event.F("error", err.Error()))
				continue
			}
			d.index.put(service, r.Version, m)
		}
	}
	// An unchanged lease shows that nobody has taken ranges of this host.
	d.knowsMap = d.knowsMap && d.leaseVersion == before
	d.lastRenewal = 0
	d.wake()
}
