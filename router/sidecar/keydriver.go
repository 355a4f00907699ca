package sidecar

import (
	"context"
	"errors"
	"slices"
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
	// renewInterval is the time between renewals, in small services and in those
	// of more than largeService hosts.
	renewInterval      = 1500 * time.Millisecond
	largeRenewInterval = 2 * time.Second
	largeService       = 12
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
	// keyTick is the time between checks of whether there is something to do.
	keyTick = 100 * time.Millisecond
	// readInterval is the time between readings of the leases by the first hosts,
	// standInInterval by the others.
	readInterval    = 1200 * time.Millisecond
	standInInterval = 6 * time.Second
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
	host    string
	store   rowstore.Store
	local   *localUpstream
	index   *keyIndex
	fleet   *fleet.Directory
	log     *event.Logger
	maxHold time.Duration
	// beatInterval is the time between heartbeats of the local upstream.
	beatInterval time.Duration
	keyed        func(service string) bool
	// load is that of the local upstream.
	load func() fleet.Load
	// connect makes and closes a connection to the local upstream.
	connect func(context.Context) error
	probing atomic.Bool

	mu       sync.Mutex
	grants   *keyown.Grants
	rates    keyown.Rates
	leaseEnd steady.Time
	kick     chan struct{}
	// overtaken ends the wait of the last heartbeat.
	overtaken chan struct{}

	// The fields below belong to run.
	leaseVersion int64
	lastRenewal  steady.Time
	lastRead     steady.Time
	watch        keyown.LeaseWatch
	waiting      keyown.Delay
	settled      keyown.Delay
	membersSeen  []string
	lastMove     steady.Time
}

// holds reports whether the local upstream holds a key.
func (d *keyDriver) holds(key uint16) bool {
	m, _ := d.index.get(d.local.get().service)
	if m == nil {
		return false
	}
	r := m.Find(key)
	d.mu.Lock()
	defer d.mu.Unlock()
	return r != nil && d.grants.Holds(steady.Now(), r)
}

// heartbeat takes what the upstream says of its keys and returns what it is to
// hold. While keys are on their way to the upstream, the answer waits for them:
// otherwise nobody would serve them until the next heartbeat.
func (d *keyDriver) heartbeat(s upstreamState, r Report) Reply {
	if !d.keyed(s.service) {
		return Reply{}
	}
	arrived := steady.Now()
	d.takeReport(s, r)
	overtaken := d.newHeartbeat()
	if len(r.Released) == 0 && s.leaving.IsZero() && !d.await(s, overtaken) {
		return Reply{}
	}
	if now := d.local.get(); now.holder == s.holder {
		s = now // the upstream may have given notice meanwhile
	} else {
		return Reply{}
	}
	m, version := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	grants, hold := d.grants.Renew(arrived, m, s.holder, !s.leaving.IsZero(), d.leaseEnd, d.maxHold)
	if hold == 0 {
		return Reply{}
	}
	d.log.Log(eventGrant, event.F("instance", s.holder.Instance), event.F("beat", r.Sequence), event.F("ranges", len(grants)),
		event.F("hold_ms", hold.Milliseconds()), event.F("map_version", version), event.F("holds", len(r.Holds)), event.F("released", len(r.Released)))
	return Reply{Renew: true, Grants: grants, HoldFor: hold}
}

// takeReport notes the ranges that the upstream has given up.
func (d *keyDriver) takeReport(s upstreamState, r Report) {
	m, _ := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants.Reset(s.holder)
	for _, h := range r.Released {
		if d.grants.GiveUp(m, h) {
			d.wake()
		}
	}
}

// newHeartbeat ends the wait of earlier heartbeats. The returned channel is
// closed when a later one arrives.
func (d *keyDriver) newHeartbeat() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.overtaken != nil {
		close(d.overtaken)
	}
	d.overtaken = make(chan struct{})
	return d.overtaken
}

// await waits until no keys are on their way to the upstream, for longestAnswer
// at most. It returns false when a later heartbeat has arrived: its answer may
// take keys away that this one would give.
func (d *keyDriver) await(s upstreamState, overtaken <-chan struct{}) bool {
	timer := time.NewTimer(longestAnswer)
	defer timer.Stop()
	for {
		im := d.index.current(s.service)
		if im == nil || !im.keys.Expects(s.holder) {
			return true
		}
		select {
		case <-im.changed:
		case <-timer.C:
			return true
		case <-overtaken:
			return false
		}
	}
}

func (d *keyDriver) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// run drives the lease and the key map until ctx ends.
func (d *keyDriver) run(ctx context.Context) {
	tick := time.NewTicker(keyTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-d.kick:
		}
		if s := d.local.get(); s.known && d.keyed(s.service) {
			if d.local.silentFor(time.Now()) > d.beatInterval*3/2 {
				d.probe(ctx)
			}
			d.step(ctx, s)
		}
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
	if now.Sub(d.lastRead) >= d.readPause(s.service) {
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
	return standInInterval
}

// renewPause is the time between renewals of the lease.
func (d *keyDriver) renewPause(service string) time.Duration {
	if len(d.fleet.Members(service)) > largeService {
		return largeRenewInterval
	}
	return renewInterval
}

// readLeases notes which leases are being renewed.
func (d *keyDriver) readLeases(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rows, _, err := d.store.List(ctx, tableLease, service)
	if err != nil {
		d.log.Log(eventLeasesUnread, event.F("service", service), event.F("error", err.Error()))
		return
	}
	versions := make(map[string]int64, len(rows))
	for _, r := range rows {
		versions[r.Name] = r.Version
	}
	d.watch.Observe(steady.Now(), versions, d.readPause(service))
}

// change is the next change of the key map.
type change struct {
	// next is nil when nothing changes.
	next *keyown.Map
	// lapsed are the hosts whose leases the change takes for lapsed, with the
	// versions of these leases.
	lapsed map[string]int64
	why    string
	// gather tells that the change may wait for others that are likely to follow.
	gather bool
}

// plan decides on the next change of the key map.
func (d *keyDriver) plan(now steady.Time, s upstreamState, m *keyown.Map) change {
	members := d.members(s.service, now)
	if len(m.Ranges) == 0 {
		return d.planFirst(now, members)
	}
	next := m.Clone()
	c := change{lapsed: map[string]int64{}}
	changed := false
	note := func(did bool, why string) {
		if did {
			changed, c.why = true, why
		}
	}
	others := slices.DeleteFunc(slices.Clone(members), func(x keyown.Member) bool { return x.Host == d.host })
	note(d.takeReleased(next, s, others), "released")
	c.gather = changed
	note(d.releaseEnded(now, next, s, others), "hold ended")
	if s.leaving.IsZero() {
		note(next.Renew(s.holder), "new run of the upstream")
		note(next.CancelMoves(d.host, others), "next holder is gone")
	} else {
		note(next.Evacuate(d.host, others), "upstream leaves")
	}
	note(d.takeLapsed(now, next, members, c.lapsed), "lease lapsed")
	if !changed {
		if moved := d.rebalance(now, next, s, members); moved {
			changed, c.why = true, "load"
		}
	}
	if changed {
		c.next = next
	}
	return c
}

// planFirst divides the keys when the members have settled.
func (d *keyDriver) planFirst(now steady.Time, members []keyown.Member) change {
	names := hostNames(members)
	if !slices.Equal(names, d.membersSeen) {
		d.membersSeen = names
		d.settled.Reset()
	}
	rank := slices.Index(names, d.host)
	if rank < 0 || !d.settled.Passed(now, settleTime+time.Duration(rank)*actPause) {
		return change{}
	}
	return change{next: keyown.New(members, rangesEach(len(members))), why: "first division"}
}

// rangesEach is the number of ranges that each of n members gets at first.
func rangesEach(n int) int {
	return min(max(firstRanges/n, fewestRangesEach), mostRangesEach)
}

func hostNames(members []keyown.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Host)
	}
	return names
}

// members are the upstreams that may be given keys: ready, with a lease that is
// not seen to lapse.
func (d *keyDriver) members(service string, now steady.Time) []keyown.Member {
	var members []keyown.Member
	for _, m := range d.fleet.Members(service) {
		if m.State != fleet.Ready || d.watch.Lapsed(now, m.Host, leaseTime) {
			continue
		}
		member := keyown.Member{Holder: keyown.Holder{Host: m.Host, Instance: m.Instance, Started: m.Started}}
		if h := d.fleet.Host(m.Host); h != nil {
			member.Load = h.MeanUsed()
		}
		members = append(members, member)
	}
	return members
}

// takeReleased ends the holds that the local upstream gave up.
func (d *keyDriver) takeReleased(next *keyown.Map, s upstreamState, others []keyown.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, i := range next.Of(s.holder) {
		if token, ok := d.grants.GivenUp(&next.Ranges[i]); ok {
			next.Release(i, token, others)
			changed = true
		}
	}
	return changed
}

// releaseEnded ends holds that have lapsed at an upstream that is to give up
// its keys or that has ended.
func (d *keyDriver) releaseEnded(now steady.Time, next *keyown.Map, s upstreamState, others []keyown.Member) bool {
	gone := d.local.gone(time.Now(), d.beatInterval)
	silent := d.local.silentFor(time.Now()) > d.maxHold
	d.mu.Lock()
	defer d.mu.Unlock()
	if gone {
		d.grants.EndAll()
	}
	changed := false
	for _, i := range next.Of(s.holder) {
		r := &next.Ranges[i]
		if (gone || silent || r.Next != "") && d.grants.Ended(now, r) {
			d.grants.Surrender(r)
			next.Release(i, "", others)
			changed = true
		}
	}
	return changed
}

// takeLapsed frees the ranges of hosts whose leases have lapsed and gives ranges
// without a holder to members. Hosts act one after another; before its turn a
// host changes nothing, because other changes of the same map are committed
// without the conditions on the lapsed leases.
func (d *keyDriver) takeLapsed(now steady.Time, next *keyown.Map, members []keyown.Member, lapsed map[string]int64) bool {
	var hosts []string
	for host := range next.Counts() {
		if host != d.host && d.watch.Lapsed(now, host, leaseTime) && next.HeldBy(host) {
			hosts = append(hosts, host)
		}
	}
	free := slices.ContainsFunc(next.Ranges, func(r keyown.Range) bool { return !r.Held() })
	if len(hosts) == 0 && !free {
		d.waiting.Reset()
		return false
	}
	if !d.waiting.Passed(now, turn(slices.Index(hostNames(members), d.host))) {
		return false
	}
	for _, host := range hosts {
		next.TakeFrom(host)
		lapsed[host] = d.watch.Version(host)
	}
	next.MergeFree()
	return next.AssignFree(members) || len(hosts) > 0
}

// turn is the time after which the host with the rank acts on a finding. The
// stand-ins leave the others time to act, and lapsed hosts time to renew: what
// they have read may be old.
func turn(rank int) time.Duration {
	wait := time.Duration(max(rank, 0)) * actPause
	if rank >= watchers {
		wait += standInPause
	}
	return wait
}

// commit renews the lease and applies the change in one transaction. The lease
// therefore also proves that this host knows the newest map.
func (d *keyDriver) commit(ctx context.Context, service string, mapVersion int64, c change) {
	mapKey := rowstore.Key{Table: tableFleet, Part: service, Name: partKeys}
	leaseKey := rowstore.Key{Table: tableLease, Part: service, Name: d.host}
	txn := rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: mapKey, Version: mapVersion}, {Key: leaseKey, Version: d.leaseVersion}},
		Writes:     []rowstore.Write{{Key: leaseKey, Value: []byte("{}")}},
	}
	if c.next != nil {
		value, err := c.next.Encode()
		if err != nil {
			d.log.Log(eventMapFailed, event.F("error", err.Error()))
			return
		}
		txn.Writes = append(txn.Writes, rowstore.Write{Key: mapKey, Value: value})
	}
	for host, version := range c.lapsed {
		key := rowstore.Key{Table: tableLease, Part: service, Name: host}
		txn.Conditions = append(txn.Conditions, rowstore.Condition{Key: key, Version: version})
	}
	sent := steady.Now()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	version, err := d.store.Commit(ctx, txn)
	d.lastRenewal = sent
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		d.adopt(service, mapKey, leaseKey, conflict.Rows)
		if len(c.lapsed) > 0 {
			d.lastRead = 0 // one of the lapsed leases may have been renewed
		}
	case err != nil:
		d.log.Log(eventRenewalFailed, event.F("service", service), event.F("error", err.Error()))
	default:
		d.committed(service, version, sent, c)
	}
}

func (d *keyDriver) committed(service string, version int64, sent steady.Time, c change) {
	d.leaseVersion = version
	d.mu.Lock()
	d.leaseEnd = sent.Add(leaseTime)
	d.mu.Unlock()
	if c.next == nil {
		return
	}
	d.index.put(service, version, c.next)
	d.log.Log(eventMapChanged, event.F("service", service), event.F("version", version), event.F("why", c.why),
		event.F("generation", c.next.Generation), event.F("lapsed", len(c.lapsed)))
}

// adopt takes the rows that a conflict showed and lets the next step try again
// at once.
func (d *keyDriver) adopt(service string, mapKey, leaseKey rowstore.Key, rows []rowstore.Row) {
	d.leaseVersion = 0
	for _, r := range rows {
		switch r.Key {
		case leaseKey:
			d.leaseVersion = r.Version
		case mapKey:
			m, err := keyown.Decode(r.Value)
			if err != nil {
				d.log.Log(eventRowInvalid, event.F("row", "key map"), event.F("error", err.Error()))
				continue
			}
			d.index.put(service, r.Version, m)
		}
	}
	d.lastRenewal = 0
	d.wake()
}

// asked counts a request for a key that needs a slot for the time.
func (d *keyDriver) asked(key uint16, needs time.Duration) {
	d.mu.Lock()
	d.rates.Add(steady.Now(), key, needs)
	d.mu.Unlock()
}

// rebalance moves ranges to members with fewer of them or less load. It divides
// busy ranges first, so that their parts can go to different members; when
// nothing moves, nothing is divided, because each change of the map costs all
// hosts a reading and a renewal.
func (d *keyDriver) rebalance(now steady.Time, next *keyown.Map, s upstreamState, members []keyown.Member) bool {
	slots := d.load().Slots
	if slots == 0 || !s.leaving.IsZero() || now.Sub(d.lastMove) < moveInterval {
		return false
	}
	d.mu.Lock()
	loads := d.rates.Snapshot(now)
	d.mu.Unlock()
	demand := next.Demand(d.host, loads) / float64(slots)
	if moves := next.Surplus(d.host, demand, members); len(moves) > 0 {
		d.lastMove = now
		d.move(next, moves, demand, loads)
		return true
	}
	divided := next.Clone()
	divided.Split(d.host, slots, loads, len(members))
	moves := divided.Relieve(d.host, demand, slots, loads, members)
	if len(moves) == 0 {
		return false
	}
	d.lastMove = now
	*next = *divided
	d.move(next, moves, demand, loads)
	return true
}

// move notes the next hosts of ranges in the map.
func (d *keyDriver) move(next *keyown.Map, moves []keyown.Transfer, demand float64, loads keyown.Loads) {
	for _, mv := range moves {
		next.Move(mv.Range, mv.To)
	}
	key, hottest := loads.Hottest(0, keyown.MaxKey)
	d.log.Log(eventRebalance, event.F("demand", demand), event.F("moves", len(moves)), event.F("hottest_key", key), event.F("hottest_demand", hottest))
}

// moveInterval is the shortest time between moves that even out load: a move
// takes up to two heartbeats.
const moveInterval = time.Second
