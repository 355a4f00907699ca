package sidecar

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/residency"
	"burdockglade.dev/router/rowstore"
)

const (
	// leaseDuration is how long the lease of a host lasts, counted from the moment at
	// which the acknowledged renewal was sent. While the store is unreachable, keys stay
	// served for about 7 s; keys of a host that fails silently are unavailable until its
	// lease ends.
	leaseDuration = 9 * time.Second
	// renewInterval is the time between renewals of the lease. Services with more than
	// largeServiceHosts and hugeServiceHosts hosts use the longer intervals.
	renewInterval      = 1500 * time.Millisecond
	largeRenewInterval = 2 * time.Second
	largeServiceHosts  = 12
	hugeRenewInterval  = 3 * time.Second
	hugeServiceHosts   = 60
	// heartbeatHold is how long an upstream holds keys after one heartbeat. It tolerates
	// the loss of one heartbeat; keys of an upstream that stopped sending heartbeats
	// move only after the hold has ended.
	heartbeatHold = 2500 * time.Millisecond
	// maxHeartbeatWait bounds the time until a heartbeat is responded to. The upstream
	// times out after a second.
	maxHeartbeatWait = 550 * time.Millisecond
	// initialRanges is the number of ranges of the initial key map, within the bounds for
	// each member. Adjacent ranges get different holders, because busy keys are close to
	// one another and are thus spread from the start.
	initialRanges             = 840
	maxInitialRangesPerMember = 24
	minInitialRangesPerMember = 6
	// primaryReaders is the number of hosts, in the order of their names, that need a reading
	// of the leases at leaseReadInterval, their own or a shared one. The others are their
	// backups.
	primaryReaders = 3
	// actionStagger is the delay between the hosts, in the order of their names, that may
	// react to the same condition, so that they do not all write at once.
	actionStagger = 400 * time.Millisecond
	// backupDelay is added for the backups.
	backupDelay = 2500 * time.Millisecond
	// releaseBatchDelay is the time for which released ranges are collected before the
	// key map is written: an upstream releases ranges one by one, as the requests for
	// their keys end.
	releaseBatchDelay = 200 * time.Millisecond
	// checkInterval is the time between checks of whether an action is due. Changes of
	// the map, heartbeats and responses of the upstream trigger a check at once.
	// idleCheckInterval is that time while the upstream's service is unknown or not
	// keyed.
	checkInterval     = 250 * time.Millisecond
	idleCheckInterval = time.Second
	// leaseReadInterval is the time between readings of the leases by the primary
	// readers. Backups use backupReadInterval while a holder of keys is unreachable from
	// them, and idleReadInterval otherwise. suspicionDelay is how long a holder must be
	// unreachable before a backup uses backupReadInterval.
	leaseReadInterval  = 1200 * time.Millisecond
	backupReadInterval = 3 * time.Second
	suspicionDelay     = 2 * time.Second
	idleReadInterval   = 30 * time.Second
	// suspectAfter is the time without a renewal after which a lease is read again as
	// soon as it ends.
	suspectAfter = 2 * hugeRenewInterval
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 1500 * time.Millisecond
)

// Tables of the store.
const (
	tableFleet = "fleet" // members and key maps; read by all hosts
	tableLease = "lease" // leases; read by the hosts of the service

	partMembers = "members"
	partKeys    = "keys"
)

// keyDriver keeps the lease of this host, grants keys to the local upstream and changes
// the key map of its service.
type keyDriver struct {
	host  string
	zone  string
	store rowstore.Store
	eras  *rowstore.Eras
	local *localUpstream
	index *keyIndex
	fleet *fleet.Directory
	share leaseShare
	// scope may be nil.
	scope tally.Scope
	// evacuation is nil if zones cannot be evacuated.
	evacuation *zoneEvacuation
	log        *event.Logger
	// maxHeartbeatHold is the longest hold that a heartbeat grants, maxHold the longest
	// that the deployment allows.
	maxHeartbeatHold, maxHold time.Duration
	// heartbeatInterval is the time between heartbeats of the local upstream.
	heartbeatInterval time.Duration
	// drainLimit is the time, counted from the notice that the upstream leaves, after which
	// it gets no new request.
	drainLimit time.Duration
	// keyed reports whether the keys of a service are divided among its upstreams.
	keyed func(service string) bool
	// keysByCommand reports whether the keys of a service are granted by commands.
	keysByCommand func(service string) bool
	// keyRegions returns the regions in which the keys of a service belong. Nil stands for
	// all regions.
	keyRegions func(service string) residency.Regions
	// load returns the load of the local upstream.
	load func() fleet.Load
	// connect opens and closes a connection to the local upstream.
	connect func(context.Context) error
	probing atomic.Bool
	// stoppingFor returns the time since this router began to stop, or 0.
	stoppingFor func() time.Duration

	mu       sync.Mutex
	grants   *keyrange.Grants
	rates    keyrange.LoadMeter
	leaseEnd boottime.Time
	// grantSource is guarded by mu.
	grantSource grantSource
	wakeCh      chan struct{}
	// commands, guarded by mu, decides which commands are sent to an upstream that is
	// granted keys by commands. wakeCommands is called when commands may be due.
	commands     *keyrange.Commands
	wakeCommands func()
	// changes wakes the calls that wait for grants, when what the upstream holds or is about
	// to hold may have changed.
	changes broadcast
	// superseded is closed when a later heartbeat arrives; it ends the wait of the
	// earlier one.
	superseded chan struct{}

	// The fields below are used only by the goroutine of run.
	era keyEra
	// eraEntered is true once era is known.
	eraEntered   bool
	leaseVersion int64
	// mapConfirmed is true if a renewal has proved that this host knows the newest map of
	// its own ranges.
	mapConfirmed  bool
	lastRenewal   boottime.Time
	lastLeaseRead boottime.Time
	leaseWatch    keyrange.LeaseWatch
	storeClock    keyrange.StoreClock
	takeoverWait  keyrange.ConditionTimer
	initial       keyrange.InitialMembers
	// suspicion measures how long a holder of keys has been unreachable.
	suspicion keyrange.ConditionTimer
	// outsideRegions is true while no eligible host is in the regions of the keys.
	outsideRegions bool
	lastMove       boottime.Time
}

func (d *keyDriver) wake() {
	d.changes.notify()
	select {
	case d.wakeCh <- struct{}{}:
	default:
	}
}

// run drives the lease and the key map until ctx ends.
func (d *keyDriver) run(ctx context.Context) {
	d.runLoop(ctx, d.wakeCh, d.keyed, func(s upstreamState) {
		if d.local.silentFor(time.Now()) > d.heartbeatInterval*3/2 {
			d.probe(ctx)
		}
		d.step(ctx, s)
	})
}

// runLoop calls step periodically and whenever wakeCh fires, while applies returns true
// for the service of the local upstream. It returns when ctx ends.
func (d *keyDriver) runLoop(ctx context.Context, wakeCh <-chan struct{}, applies func(service string) bool, step func(upstreamState)) {
	interval := idleCheckInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wakeCh:
		}
		interval = idleCheckInterval
		if s := d.local.get(); s.known && applies(s.service) {
			interval = checkInterval
			step(s)
		}
		timer.Reset(interval)
	}
}

// probe connects to an upstream that sends no heartbeats. If the connection is refused,
// the process has ended and its keys can be released before their hold expires.
func (d *keyDriver) probe(ctx context.Context) {
	if !d.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.probing.Store(false)
		err := d.connect(ctx)
		if errors.Is(err, connpool.ErrRefused) {
			d.local.connectionRefused(time.Now())
		}
		sleep(ctx, probeInterval)
	}()
}

// probeInterval is the time between connections to an upstream that sends no heartbeats.
const probeInterval = 150 * time.Millisecond

// step reads the leases if due, and commits the renewal of the lease and the next change
// of the key map if there is one.
func (d *keyDriver) step(ctx context.Context, s upstreamState) {
	now := boottime.Now()
	d.enterNewestEra(s)
	if d.leaseReadDue(ctx, s.service) {
		d.lastLeaseRead = now
		d.readLeases(ctx, s.service)
	}
	if !d.enterNewestEra(s) {
		d.lastLeaseRead = 0
		return
	}
	m, version := d.eraMap(s.service)
	p := d.nextChange(boottime.Now(), s, m, version)
	due := boottime.Now().Sub(d.lastRenewal) >= d.currentRenewInterval(s.service) && !s.withdrawn
	if p.next == nil && !due {
		return
	}
	if sinceRenewal := boottime.Now().Sub(d.lastRenewal); p.deferrable && !due && sinceRenewal < releaseBatchDelay {
		time.AfterFunc(releaseBatchDelay-sinceRenewal, d.wake)
		return
	}
	d.commit(ctx, s.service, version, p)
}

// nextChange returns the next change of the key map with the version.
func (d *keyDriver) nextChange(now boottime.Time, s upstreamState, m *keyrange.Map, version int64) mapChange {
	if d.recovering(s.service) {
		return d.planRecovery(now, s.service, m, version)
	}
	return d.plan(now, s, m)
}
