package sidecar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
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
	grants   *keyrange.Grants
	rates    keyrange.LoadMeter
	leaseEnd boottime.Time
	kick     chan struct{}
	// orders, used with mu, decides on the calls to an upstream that is granted
	// keys by calls. wakeOrders is called when some may be due.
	orders     *keyrange.Commands
	wakeOrders func()
	// overtaken ends the wait of the last heartbeat.
	overtaken chan struct{}

	// The fields below belong to run.
	leaseVersion int64
	// knowsMap tells that a renewal has proved that this host knows the newest map
	// of its own ranges.
	knowsMap    bool
	lastRenewal boottime.Time
	lastRead    boottime.Time
	watch       keyrange.LeaseWatch
	storeClock  keyrange.StoreClock
	waiting     keyrange.ConditionTimer
	settled     keyrange.ConditionTimer
	// suspicion measures how long a holder of keys has not answered.
	suspicion   keyrange.ConditionTimer
	membersSeen []string
	lastMove    boottime.Time
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
	now := boottime.Now()
	if now.Sub(d.lastRead) >= d.watch.UntilNextEnd(suspectAfter, d.readPause(s.service)) {
		d.lastRead = now
		d.readLeases(ctx, s.service)
	}
	m, version := d.index.get(s.service)
	if m == nil {
		m = &keyrange.Map{}
	}
	p := d.plan(boottime.Now(), s, m)
	due := boottime.Now().Sub(d.lastRenewal) >= d.renewPause(s.service) && !s.withdrawn
	if p.next == nil && !due {
		return
	}
	if gathered := boottime.Now().Sub(d.lastRenewal); p.gather && !due && gathered < releaseGather {
		time.AfterFunc(releaseGather-gathered, d.wake)
		return
	}
	d.commit(ctx, s.service, version, p)
}
