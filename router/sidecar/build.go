package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/locality"
	"burdockglade.dev/router/rowstore"
)

// buildStore creates the connections to the store.
func (s *Sidecar) buildStore() {
	s.eras = &rowstore.Eras{}
	s.eras.OnChange(s.storePutBack)
	s.directStore = &rowstore.EraStore{Eras: s.eras, Store: &rowstore.ReconnectingStore{Store: &countedStore{store: s.opts.Store, scope: s.scope}}}
	s.store = &rowstore.EraStore{Eras: s.eras, Store: &rowstore.RelayedStore{Primary: s.directStore, Relays: s.relayStores, Now: time.Now}}
	s.fleetFed = &rowstore.FeedStore{Store: s.store, Source: s.feedSource, StoreReader: s.fleetReader}
	s.configFed = &rowstore.FeedStore{Store: s.directStore, Source: s.configFeedSource, StoreReader: s.fleetReader}
	s.feeds = map[string]*rowstore.Feed{
		tableFleet:              rowstore.NewFeed(s.fleetFed.Reading),
		s.opts.Config.Key.Table: rowstore.NewFeed(s.configFed.Reading),
	}
}

// buildConfig creates the components that follow the configuration.
func (s *Sidecar) buildConfig() {
	s.config = &currentConfig{source: logUnreadable(s.opts.Config, s.log), log: s.log, changed: func() {
		s.config.reportVersion(s.scope)
		if s.applyCold() {
			s.upstreamChanged(s.local.get())
		}
		s.keys.wake()
	}, refused: func() { s.scope.Counter("config_refusals").Inc(1) }}
	s.exchange = &configExchange{
		log: s.log, scope: s.scope, version: s.config.version, confirm: s.config.confirm, storeDeadline: s.storeDeliveryDeadline,
		fetch: s.pollConfig, apply: s.config.applyRow, randomPeer: s.randomPeer, wakeCh: make(chan struct{}, 1),
	}
	s.asker = s.newConfigAsker()
	s.configFollower = s.newConfigFollower()
}

// buildKeys creates the components that hold and grant keys.
func (s *Sidecar) buildKeys() {
	terms := s.settings.Terms
	s.keys = &keyDriver{
		host: s.settings.Host.Name, zone: s.settings.Host.Zone, scope: s.scope, store: s.store, eras: s.eras, local: s.local, index: s.index, fleet: s.fleet, evacuation: s.evacuation, log: s.log,
		maxHeartbeatHold:  min(heartbeatHold, millis(terms.HoldMaxMs)),
		maxHold:           millis(terms.HoldMaxMs),
		heartbeatInterval: millis(s.settings.Upstream.HeartbeatMs),
		drainLimit:        millis(terms.DrainMs) / 2,
		keyed:             s.keyed,
		keysByCommand:     s.keysByCommand,
		keyRegions:        s.config.keyRegions,
		stoppingFor:       s.stoppingFor,
		load:              func() fleet.Load { return s.gate.load() },
		connect:           func(ctx context.Context) error { return s.gate.client.Probe(ctx) },
		wakeCh:            make(chan struct{}, 1),
	}
	s.keys.grants = keyrange.NewGrants(boottime.Now(), min(max(heartbeatHold, commandHold), s.keys.maxHold))
	s.commands = newCommandSender(s.keys, s.opts)
}

// buildRequests creates the gate and the entry.
func (s *Sidecar) buildRequests() {
	host, terms := s.settings.Host, s.settings.Terms
	regions := &regionRules{host: host.Name, region: host.Region, config: s.config, log: s.log, scope: s.scope}
	s.quarantine = s.buildQuarantine()
	calls := s.buildRunCalls()
	s.gate = &gate{
		host: host.Name, headers: s.opts.Headers, local: s.local, keys: s.keys, evacuation: s.evacuation,
		limiter:     admit.NewPriorityLimiter(nil),
		log:         s.log,
		scope:       s.scope,
		config:      s.config,
		client:      newUpstreamClient(s.settings.Upstream.Address),
		regions:     regions,
		quarantine:  s.quarantine,
		calls:       calls,
		drainLimit:  millis(terms.DrainMs) / 2,
		stoppingFor: s.stoppingFor,
		graceLeft:   s.graceLeft,
	}
	s.gate.notices = &noticeReader{
		decode: s.opts.Notice, log: s.log, scope: s.scope, local: s.local, limiter: s.gate.limiter,
		leaves: func() {
			state := s.local.get()
			s.leaves.add(state.leavingSince, Withdrawal(state.incarnation()))
			s.upstreamChanged(state)
		},
	}
	s.link = newLinkScheduler(host.LinkMbps, linkMemory(host.MemoryBytes()), s.log, s.scope)
	budget := BudgetLimits{Ratio: terms.RetryRatio, Slack: terms.RetrySlack, Window: millis(terms.RetryWindowMs)}
	s.entry = &entry{
		host: host.Name, headers: s.opts.Headers, config: s.config, exchange: s.exchange, fleet: s.fleet, keys: s.index, gate: s.gate, evacuation: s.evacuation,
		service:     func() string { return host.Service },
		budgets:     newBudgets(budget, s.fleet.HostCount),
		place:       locality.Place{Zone: host.Zone, Region: host.Region},
		regions:     regions,
		quarantine:  s.quarantine,
		calls:       calls,
		log:         s.log,
		metrics:     newEntryMetrics(s.scope),
		drainLimit:  s.gate.drainLimit,
		stoppingFor: s.stoppingFor,
		graceLeft:   s.graceLeft,
	}
	s.entry.returnTracker = s.buildReservations(s.gate.limiter)
	s.entry.hedges = newHedger(s.settings.Hedge, s.entry.metrics)
}

// buildMembers creates the components that publish this host and remove hosts that have
// failed.
func (s *Sidecar) buildMembers() {
	s.fleetFollower = &rowstore.Follower{
		Store: s.fleetFed, Table: tableFleet, Changed: s.applyFleetRow, BatchDelay: s.fleetReadDelay, Feed: s.feeds[tableFleet],
		UpToDate: s.fleetUpToDate, CheckStore: s.directStore, CheckDelay: s.fleetCheckDelay, Checked: s.fleetChecked,
	}
	s.publisher = &publisher{store: s.store, eras: s.eras, log: s.log, member: s.memberRow, foundRow: s.ownRowFound, wakeCh: make(chan struct{}, 1)}
	s.leaves = &leaveRecord{host: s.settings.Host.Name, store: s.store, eras: s.eras, log: s.log, found: s.earlierNoticesFound}
	s.sweeper = &sweeper{
		host: s.settings.Host.Name, zone: s.settings.Host.Zone, fleet: s.fleet, log: s.log,
		readsForZone: func() bool { return s.fleetFed.Reading() != rowstore.Follows },
		probe:        func(ctx context.Context, h *fleet.Host) error { return h.Client.Probe(ctx) },
		remove:       s.removeMemberRow,
		store:        s.store,
	}
}
