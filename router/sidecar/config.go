package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// ConfigSource is the store row that contains the configuration, and the function that
// decodes its value.
type ConfigSource struct {
	Key    rowstore.Key
	Decode func([]byte) (vhost.Config, error)
}

// currentConfig is the configuration in force. Its version never decreases.
type currentConfig struct {
	source ConfigSource
	log    *event.Logger
	// changed is called after each change, refused after a row that is no valid
	// configuration; refused may be nil.
	changed, refused func()

	mu    sync.Mutex // serializes changes
	table atomic.Pointer[vhost.Table]
	// row is the row that table was read from.
	row atomic.Pointer[rowstore.Row]
	// refusedRow is the highest row version that was refused, or 0 if a later row was
	// valid.
	refusedRow atomic.Int64
	// confirmedAt is the last time at which table is known to have been the newest
	// configuration in the store.
	confirmedAt atomic.Pointer[time.Time]
}

// confirm records that the store had no configuration above the version at the given
// time. It is ignored unless the version in force is at least that one. It does not wait
// for a change in progress, because it is called for each response of another host.
func (c *currentConfig) confirm(version uint64, at time.Time) {
	if version > c.version() || c.newerRefused() {
		return
	}
	for {
		old := c.confirmedAt.Load()
		if (old != nil && !at.After(*old)) || c.confirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// newerRefused reports whether the store has a newer row that was refused.
func (c *currentConfig) newerRefused() bool {
	row := c.row.Load()
	return row != nil && c.refusedRow.Load() > row.Version
}

// lastConfirmed returns the time of the last confirmation, or the zero time.
func (c *currentConfig) lastConfirmed() time.Time {
	if at := c.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirmed returns the version in force and the time since it was last confirmed. The
// version may have been put in force after the time was read: that only makes it newer.
func (c *currentConfig) confirmed(now time.Time) (version uint64, age time.Duration) {
	age = now.Sub(c.lastConfirmed())
	return c.version(), age
}

// fields describes the table that decided on a request, for log lines: its version, and
// the time in milliseconds since the configuration in force was last confirmed.
func (c *currentConfig) fields(t *vhost.Table) []event.Field {
	age := time.Since(c.lastConfirmed())
	return []event.Field{event.F("config", t.Version()), event.F("config_age_ms", age.Milliseconds())}
}

// version returns the version of the configuration in force, or 0 if there is none.
func (c *currentConfig) version() uint64 {
	if t := c.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// newerThan returns the version in force, and its row if that version is above the given
// one.
func (c *currentConfig) newerThan(version uint64) (inForce uint64, rows []rowstore.Row) {
	if inForce = c.version(); inForce > version {
		rows = []rowstore.Row{*c.row.Load()}
	}
	return inForce, rows
}

// applyRow applies a row of the configuration's table.
func (c *currentConfig) applyRow(r rowstore.Row) {
	if r.Key != c.source.Key || r.Deleted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.row.Load(); old != nil && old.Version == r.Version {
		return
	}
	config, err := c.source.Decode(r.Value)
	if err == nil {
		err = c.apply(config, r)
	}
	switch {
	case err != nil:
		c.refuse(r, config.Version, err)
	case r.Version > c.refusedRow.Load():
		c.refusedRow.Store(0) // the store no longer has it
	}
}

// refuse records a row that is no valid configuration. The version is 0 if the row cannot
// be decoded.
func (c *currentConfig) refuse(r rowstore.Row, version uint64, err error) {
	c.refusedRow.Store(max(c.refusedRow.Load(), r.Version))
	c.log.Log(eventRowInvalid, event.F("row", "configuration"), event.F("version", r.Version), event.F("config", version),
		event.F("in_force", c.version()), event.F("error", err.Error()))
	if c.refused != nil {
		c.refused()
	}
}

// apply puts a configuration in force unless one of the same or a higher version is.
func (c *currentConfig) apply(config vhost.Config, r rowstore.Row) error {
	if c.table.Load() != nil && c.version() >= config.Version {
		return nil
	}
	t, err := vhost.NewTable(config)
	if err != nil {
		return err
	}
	c.row.Store(&r)
	c.table.Store(t)
	c.log.Log(eventConfig, event.F("version", config.Version), event.F("row_version", r.Version), event.F("routes", len(config.Routes)), event.F("services", len(config.Services)))
	c.changed()
	return nil
}

// route returns the configuration in force and its route for the host name and path. Both are
// nil if there is no configuration.
func (c *currentConfig) route(host, path string) (*vhost.Table, *vhost.Route) {
	t := c.table.Load()
	if t == nil {
		return nil, nil
	}
	return t, t.Route(host, path)
}

// callRoute is route for a call, which may come from another host.
func (c *currentConfig) callRoute(call *Call) (*vhost.Table, *vhost.Route) {
	return c.route(call.Host, requestPath(call.Method, call.Target))
}

// serviceMatches reports whether the configuration contains the service and matches
// returns true for it.
func (c *currentConfig) serviceMatches(name string, matches func(*vhost.Service) bool) bool {
	t := c.table.Load()
	if t == nil {
		return false
	}
	s := t.Service(name)
	return s != nil && matches(s)
}

// configBatchDelay is the time for which further changes of the configuration are
// collected after one, because each change costs every host a call to the store. A
// configuration must be in force within 2 s.
const configBatchDelay = 700 * time.Millisecond

// directConfigHosts is the number of hosts up to which each host reads the configuration
// from the store itself. In larger fleets each change, and each end of a watch without one,
// would cost one call to the store per host. A change is in force in time without any watch,
// by checks.
const directConfigHosts = 40

// newConfigFollower returns the follower of the configuration. In large fleets it reads
// through the host that reads for the zone, and otherwise directly. It uses its own
// connection to the store, so that failures of other calls do not delay a change.
func (s *Sidecar) newConfigFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Store: s.configFed, Table: s.opts.Config.Key.Table, Changed: s.applyOperatorRow,
		KnownPart: &s.opts.Config.Key.Part, BatchDelay: s.configPollDelay, Feed: s.feeds[s.opts.Config.Key.Table],
		UpToDate: s.confirmConfig, CheckStore: s.directStore, CheckDelay: s.configCheckDelay, Checked: s.configChecked,
		MaxCheckGap:  shareOf(millis(s.settings.Terms.ConfigMs), maxCheckGap),
		Disconnected: func(error) { s.exchange.setWatchFailed(true) },
		Reconnected:  func() { s.exchange.setWatchFailed(false) },
	}
}

// followConfig follows the configuration until ctx ends.
func (s *Sidecar) followConfig(ctx context.Context) {
	s.follow(ctx, s.configFollower)
}

// confirmConfig records that the follower had reported all changes of the configuration
// that were made before asOf. A host that reads for the zone may itself be behind.
func (s *Sidecar) confirmConfig(asOf time.Time) {
	s.evacuation.confirm(s.configFollower.Position())
	if s.configFed.Direct() {
		s.config.confirm(s.config.version(), asOf)
	}
}

// storeDeliveryDeadline returns the time until which the store may deliver a
// configuration that another host reports at now. It allows for the batch delay of this
// host.
func (s *Sidecar) storeDeliveryDeadline(now time.Time) time.Time {
	if !s.configFed.Direct() {
		return now.Add(feedDeliveryWait)
	}
	if batchUntil, ok := s.batchUntil.Load().(time.Time); ok && batchUntil.After(now) {
		return batchUntil.Add(storeDeliveryWait)
	}
	return now.Add(storeDeliveryWait)
}

// randomPeer returns a random other host that is reachable, or nil.
func (s *Sidecar) randomPeer() *hop.Client {
	hosts := s.fleet.Sample(1, s.settings.Host.Name, time.Now())
	if len(hosts) == 0 {
		return nil
	}
	return hosts[0].Client
}

// configPollDelay starts the batch delay after a configuration and returns its length,
// which is 0 for hosts that read through another one.
func (s *Sidecar) configPollDelay() time.Duration {
	if !s.configFed.Direct() {
		return 0
	}
	s.batchUntil.Store(time.Now().Add(configBatchDelay))
	return configBatchDelay
}

// configFeedSource returns the connection to the host that reads the configuration for
// this one, or nil if this host reads it from the store.
func (s *Sidecar) configFeedSource() (rowstore.WatchFunc, func(error)) {
	if s.fleet.HostCount() <= directConfigHosts {
		return nil, nil
	}
	return s.feedSource()
}
