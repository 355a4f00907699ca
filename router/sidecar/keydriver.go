package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyown"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/steady"
)

const (
	// leaseTime is how long a host's lease lasts after the sending of a renewal
	// that the store acknowledged. It covers outages of the store of about 7 s, in
	// which all keys would go unserved; keys of a host that is lost in silence
	// wait for its end.
	leaseTime = 9 * time.Second
	// renewInterval is the time between renewals, in small services, in those of more
	// than largeService hosts and in those of more than hugeService hosts.
	renewInterval      = 1500 * time.Millisecond
	largeRenewInterval = 2 * time.Second
	largeService       = 12
	hugeRenewInterval  = 3 * time.Second
	hugeService        = 60
	// holdTime is how long an upstream holds keys after one heartbeat. It covers
	// the loss of one heartbeat; keys of a silent upstream wait for its end.
	holdTime = 2500 * time.Millisecond
	// longestAnswer bounds the time until a heartbeat is answered. The upstream
	// gives up after a second.
	longestAnswer = 550 * time.Millisecond
	// settleTime is how long the set of members must be unchanged before keys
	// are divided for the first time.
	settleTime = 1500 * time.Millisecond
	// firstRanges is the number of ranges of the first division, within the
	// bounds for each member. Neighbours go to different members, so that busy
	// keys, which lie close to one another, are spread from the start.
	firstRanges      = 840
	mostRangesEach   = 24
	fewestRangesEach = 6
	// watchers is the number of hosts that read the leases often, in the order of
	// their names. The others stand in for them.
	watchers = 3
	// actPause separates the hosts that may act on the same finding, in order
	// of their names, so that they do not all write at once.
	actPause = 400 * time.Millisecond
	// standInPause is added for the hosts that read the leases seldom.
	standInPause = 2500 * time.Millisecond
	// releaseGather is the time for which released ranges gather: an upstream
	// gives ranges up one by one, as the work on them ends.
	releaseGather = 200 * time.Millisecond
	// keyTick is the time between checks of whether something is due. Changes of the
	// map, heartbeats and answers of the upstream are looked at when they arrive.
	// idleTick is that time beside an upstream without keys.
	keyTick  = 250 * time.Millisecond
	idleTick = time.Second
	// readInterval is the time between readings of the leases by the first hosts,
	// standInInterval by the others when a holder of keys does not answer them, and
	// idleInterval when all do.
	readInterval    = 1200 * time.Millisecond
	standInInterval = 3 * time.Second
	suspicionTime   = 2 * time.Second
	idleInterval    = 30 * time.Second
	// suspectAfter is the time without a renewal after which a lease is read again
	// as soon as it ends.
	suspectAfter = 2 * hugeRenewInterval
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 1500 * time.Millisecond
)

// Tables of the store.
const (
	tableFleet = "fleet" // members and key maps: read by all hosts
	tableLease = "lease" // leases: read by the hosts of the service

	partMembers = "members"
	partKeys    = "keys"
)

// keyDriver keeps the lease of this host, grants keys to the local upstream and
// changes the key map of its service.
type keyDriver struct {
	host  string
	store rowstore.Store
	local *localUpstream
	index *keyIndex
	fleet *fleet.Directory
	log   *event.Logger
	// maxHold is the longest hold after a heartbeat, longestHold that which the
	// deployment allows.
	maxHold, longestHold time.Duration
	// beatInterval is the time between heartbeats of the local upstream.
	beatInterval time.Duration
	keyed        func(service string) bool
	// ordered reports whether a service's keys are granted by calls.
	ordered func(service string) bool
	// load is that of the local upstream.
	load func() fleet.Load
	// connect makes and closes a connection to the local upstream.
	connect func(context.Context) error
	probing atomic.Bool
	// stopping is the time since this router began to stop, or 0.
	stopping func() time.Duration

	mu       sync.Mutex
	grants   *keyown.Grants
	rates    keyown.Rates
	leaseEnd steady.Time
	kick     chan struct{}
	// orders, used with mu, decides on the calls to an upstream that is granted
	// keys by calls. wakeOrders is called when some may be due.
	orders     *keyown.Orders
	wakeOrders func()
	// overtaken ends the wait of the last heartbeat.
	overtaken chan struct{}

	// The fields below belong to run.
	leaseVersion int64
	// knowsMap tells that a renewal has proved that this host knows the newest map
	// of its own ranges.
	knowsMap    bool
	lastRenewal steady.Time
	lastRead    steady.Time
	watch       keyown.LeaseWatch
	storeClock  keyown.StoreClock
	waiting     keyown.Delay
	settled     keyown.Delay
	// suspicion measures how long a holder of keys has not answered.
	suspicion   keyown.Delay
	membersSeen []string
	lastMove    steady.Time
}

func (d *keyDriver) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// run drives the lease and the key map until ctx ends.
func (d *keyDriver) run(ctx context.Context) {
	d.every(ctx, d.kick, d.keyed, func(s upstreamState) {
		if d.local.silentFor(time.Now()) > d.beatInterval*3/2 {
			d.probe(ctx)
		}
		d.step(ctx, s)
	})
}

// every calls do for an upstream whose service is as asked, at each tick and each
// kick, until ctx ends.
func (d *keyDriver) every(ctx context.Context, kick <-chan struct{}, asked func(service string) bool, do func(upstreamState)) {
	pause := idleTick
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-kick:
		}
		pause = idleTick
		if s := d.local.get(); s.known && asked(s.service) {
			pause = keyTick
			do(s)
		}
		timer.Reset(pause)
	}
}

// probe connects to a silent upstream. A refusal tells that its process has
// ended; its keys need not wait for the end of their hold.
func (d *keyDriver) probe(ctx context.Context) {
	if !d.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.probing.Store(false)
		err := d.connect(ctx)
		if errors.Is(err, connpool.ErrRefused) {
			d.local.refused(time.Now())
		}
		sleep(ctx, probePause)
	}()
}

// probePause is the pause between connections to a silent upstream.
const probePause = 150 * time.Millisecond

// step reads the leases and commits the next change, if any is due.
func (d *keyDriver) step(ctx context.Context, s upstreamState) {
	now := steady.Now()
	if now.Sub(d.lastRead) >= d.watch.NextEnd(suspectAfter, d.readPause(s.service)) {
		d.lastRead = now
		d.readLeases(ctx, s.service)
	}
	m, version := d.index.get(s.service)
	if m == nil {
		m = &keyown.Map{}
	}
	p := d.plan(steady.Now(), s, m)
	due := steady.Now().Sub(d.lastRenewal) >= d.renewPause(s.service) && !s.withdrawn
	if p.next == nil && !due {
		return
	}
	if p.gather && !due && steady.Now().Sub(d.lastRenewal) < releaseGather {
		return
	}
	d.commit(ctx, s.service, version, p)
}

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
	if !d.holderLost(service) {
		d.suspicion.Reset()
		return idleInterval
	}
	if !d.suspicion.Passed(steady.Now(), suspicionTime) {
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
			known = h != nil && h.Reached(now)
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
	sent := steady.Now()
	rows, _, err := d.store.List(ctx, tableLease, service)
	if err != nil {
		d.watch.Interrupt()
		d.log.Log(eventLeasesUnread, event.F("service", service), event.F("error", err.Error()))
		return
	}
	leases := make(map[string]keyown.Lease, len(rows))
	for _, r := range rows {
		end, err := keyown.DecodeLeaseEnd(r.Value)
		if err != nil {
			d.log.Log(eventRowInvalid, event.F("row", "lease of "+r.Name), event.F("error", err.Error()))
		}
		leases[r.Name] = keyown.Lease{Version: r.Version, End: end, ReadAt: r.ReadAt}
		d.storeClock.Note(sent, r.ReadAt)
	}
	d.watch.Observe(steady.Now(), leases, d.readPause(service))
}

// commit renews the lease and applies the change in one transaction. A renewal
// proves that this host knows which ranges it holds: the first one of a process, and
// the first one after a conflict, has the version of the map as a condition; after
// that only this host changes its ranges, but for hosts that take them because the
// lease has lapsed, and these delete the row of the lease.
func (d *keyDriver) commit(ctx context.Context, service string, mapVersion int64, c change) {
	sent := steady.Now()
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
func (d *keyDriver) transaction(service string, mapVersion int64, sent steady.Time, c *change) (rowstore.Txn, error) {
	lease, err := keyown.EncodeLeaseEnd(d.storeClock.Latest(sent.Add(leaseTime)))
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
	d.lastMove = steady.Now().Add(time.Duration(rand.Int64N(int64(2 * moveInterval))))
}

func (d *keyDriver) committed(service string, version int64, sent steady.Time, c change) {
	d.leaseVersion, d.knowsMap = version, true
	d.mu.Lock()
	d.leaseEnd = sent.Add(leaseTime)
	d.mu.Unlock()
	if c.next == nil {
		return
	}
	d.index.put(service, version, c.next)
	d.noticeNewHolders(rowstore.Row{Key: mapKey(service), Value: c.encoded, Version: version}, c)
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
			m, err := keyown.Decode(r.Value)
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
