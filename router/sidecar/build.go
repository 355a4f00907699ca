package sidecar

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/admit"
	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// buildStore makes the ways to the store.
func (s *Sidecar) buildStore(scope tally.Scope) {
	s.direct = &rowstore.ReconnectingStore{Store: &countedStore{store: s.opts.Store, scope: scope}}
	s.store = &rowstore.RelayedStore{Primary: s.direct, Relays: s.storesThrough, Now: time.Now}
	s.fed = &rowstore.FeedStore{Store: s.store, Source: s.feedSource}
	s.configFed = &rowstore.FeedStore{Store: s.direct, Source: s.configSource}
	s.feeds = map[string]*rowstore.Feed{
		tableFleet:              rowstore.NewFeed(s.fed.Direct),
		s.opts.Config.Key.Table: rowstore.NewFeed(s.configFed.Direct),
	}
}

// buildConfig makes what keeps the configuration up to date.
func (s *Sidecar) buildConfig(scope tally.Scope) {
	s.config = &currentConfig{source: s.opts.Config, log: s.log, changed: func() { s.keys.wake() }}
	s.exchange = &configExchange{
		log: s.log, scope: scope, version: s.config.version, storeUntil: s.storeBringsUntil,
		fetch: fetchConfig, apply: s.config.take, other: s.otherHost, kick: make(chan struct{}, 1),
	}
}

// buildKeys makes what holds and grants keys.
func (s *Sidecar) buildKeys() {
	terms := s.settings.Terms
	s.keys = &keyDriver{
		host: s.settings.Host.Name, store: s.store, local: s.local, index: s.index, fleet: s.fleet, log: s.log,
		maxHold:      min(holdTime, millis(terms.HoldMaxMs)),
		longestHold:  millis(terms.HoldMaxMs),
		beatInterval: millis(s.settings.Upstream.HeartbeatMs),
		keyed:        s.keyed,
		ordered:      s.ordered,
		stopping:     s.stoppingFor,
		load:         func() fleet.Load { return s.gate.load() },
		connect:      func(ctx context.Context) error { return s.gate.client.Probe(ctx) },
		kick:         make(chan struct{}, 1),
	}
	s.keys.grants = keyrange.NewGrants(boottime.Now(), min(max(holdTime, orderedHold), s.keys.longestHold))
	s.orders = newOrderSender(s.keys, s.opts)
}

// buildRequests makes the gate and the entry.
func (s *Sidecar) buildRequests(scope tally.Scope) {
	host, terms := s.settings.Host, s.settings.Terms
	s.gate = &gate{
		host: host.Name, headers: s.opts.Headers, local: s.local, keys: s.keys,
		limiter:    admit.NewPriorityLimiter(nil),
		log:        s.log,
		client:     newUpstreamClient(s.settings.Upstream.Address),
		drainLimit: millis(terms.DrainMs) / 2,
		stopping:   s.stoppingFor,
	}
	budget := BudgetLimits{Ratio: terms.RetryRatio, Slack: terms.RetrySlack, Window: millis(terms.RetryWindowMs)}
	s.entry = &entry{
		host: host.Name, headers: s.opts.Headers, config: s.config, exchange: s.exchange, fleet: s.fleet, keys: s.index, gate: s.gate,
		service: func() string { return host.Service },
		budgets: newBudgets(budget, s.fleet.HostCount),
		log:     s.log,
		metrics: newEntryMetrics(scope),
	}
}

// buildMembers makes what tells other hosts of this one and removes lost ones.
func (s *Sidecar) buildMembers() {
	s.publisher = &publisher{store: s.store, log: s.log, member: s.member, kick: make(chan struct{}, 1)}
	s.sweeper = &sweeper{
		host: s.settings.Host.Name, zone: s.settings.Host.Zone, fleet: s.fleet, log: s.log,
		reads:  s.fed.Direct,
		probe:  func(ctx context.Context, h *fleet.Host) error { return h.Client.Probe(ctx) },
		remove: s.removeLost,
	}
}
