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

// ConfigSource says where the configuration lies and how to read it.
type ConfigSource struct {
	Key    rowstore.Key
	Decode func([]byte) (vhost.Config, error)
}

// currentConfig is the configuration in force. Its version never goes back.
type currentConfig struct {
	source ConfigSource
	log    *event.Logger
	// changed is called after each change.
	changed func()

	mu    sync.Mutex // serialises changes
	table atomic.Pointer[vhost.Table]
	// row is the row that table was read from.
	row atomic.Pointer[rowstore.Row]
}

// version is that of the configuration in force, or 0.
func (c *currentConfig) version() uint64 {
	if t := c.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// newerThan returns the version in force, and its row if the version is above the
// given one.
func (c *currentConfig) newerThan(version uint64) (inForce uint64, rows []rowstore.Row) {
	if inForce = c.version(); inForce > version {
		rows = []rowstore.Row{*c.row.Load()}
	}
	return inForce, rows
}

// take takes a row of the configuration's table.
func (c *currentConfig) take(r rowstore.Row) {
	if r.Key != c.source.Key || r.Deleted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.row.Load(); old != nil && old.Version >= r.Version {
		return
	}
	config, err := c.source.Decode(r.Value)
	if err == nil {
		err = c.apply(config, r)
	}
	if err != nil {
		c.log.Log(eventRowInvalid, event.F("row", "configuration"), event.F("version", r.Version), event.F("error", err.Error()))
	}
}

// apply puts a configuration in force unless a newer one is.
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
	c.log.Log(eventConfig, event.F("version", config.Version), event.F("routes", len(config.Routes)), event.F("services", len(config.Services)))
	c.changed()
	return nil
}

// service reports whether the configuration has the service and it is as asked.
func (c *currentConfig) service(name string, is func(*vhost.Service) bool) bool {
	t := c.table.Load()
	if t == nil {
		return false
	}
	s := t.Service(name)
	return s != nil && is(s)
}

// configGather is the time for which further configurations gather after one:
// each of a quick series would cost every host a call. A configuration must be
// in force within 2 s.
const configGather = 700 * time.Millisecond

// smallFleet is the number of hosts up to which each asks the store itself for the
// configuration. In larger fleets each change would cost a call of every host.
const smallFleet = 100

// followConfig keeps up with the configuration until ctx ends: through the host that
// reads for the zone in large fleets, and otherwise directly. It has its own way to the
// store, so that failures of other calls delay no change.
func (s *Sidecar) followConfig(ctx context.Context) {
	s.follow(ctx, &rowstore.Follower{
		Store: s.configFed, Table: s.opts.Config.Key.Table, Changed: s.config.take,
		BatchDelay: s.configPause, Feed: s.feeds[s.opts.Config.Key.Table],
		Disconnected: func(error) { s.exchange.setStoreLost(true) },
		Reconnected:  func() { s.exchange.setStoreLost(false) },
	})
}

// storeBringsUntil returns the end of the time in which the store may bring a
// configuration that another host shows now: this host may have paused to let
// configurations gather.
func (s *Sidecar) storeBringsUntil(now time.Time) time.Time {
	if !s.configFed.Direct() {
		return now.Add(feedCatchUpWait)
	}
	if gathersTo, ok := s.gathersTo.Load().(time.Time); ok && gathersTo.After(now) {
		return gathersTo.Add(catchUpWait)
	}
	return now.Add(catchUpWait)
}

// otherHost returns some other host that can be reached, or nil.
func (s *Sidecar) otherHost() *hop.Client {
	hosts := s.fleet.Sample(1, s.settings.Host.Name, time.Now())
	if len(hosts) == 0 {
		return nil
	}
	return hosts[0].Client
}

// configPause begins the pause after a configuration and returns its length. Hosts that
// follow another one need none.
func (s *Sidecar) configPause() time.Duration {
	if !s.configFed.Direct() {
		return 0
	}
	s.gathersTo.Store(time.Now().Add(configGather))
	return configGather
}

// configSource returns the way to the host that reads the configuration for this
// one, or nil when this host reads it itself.
func (s *Sidecar) configSource() (rowstore.WatchFunc, func(error)) {
	if s.fleet.HostCount() <= smallFleet {
		return nil, nil
	}
	return s.feedSource()
}
