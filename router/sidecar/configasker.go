package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/freshness"
	"burdockglade.dev/router/hop"
)

// configAsker asks other hosts for the age of their configuration, so that this host need
// not check with the store. It is safe for concurrent use.
type configAsker struct {
	log   *event.Logger
	scope tally.Scope
	fleet *fleet.Directory
	// confirmed returns the version of the configuration in force on this host and the time
	// at which it was confirmed last.
	confirmed func() (version uint64, at time.Time)
	exchange  *configExchange

	mu    sync.Mutex
	asker *freshness.Asker
}

func (s *Sidecar) newConfigAsker() *configAsker {
	host := s.settings.Host
	return &configAsker{
		log: s.log, scope: s.scope, fleet: s.fleet, exchange: s.exchange,
		confirmed: func() (uint64, time.Time) { return s.config.version(), s.config.lastConfirmed() },
		asker:     freshness.NewAsker(freshness.Host{Name: host.Name, Zone: host.Zone}, millis(s.settings.Terms.ConfigMs)),
	}
}

// running returns the hosts that are known to run.
func (c *configAsker) running(now time.Time) []freshness.Host {
	members := c.fleet.Running(now)
	hosts := make([]freshness.Host, len(members))
	for i, m := range members {
		hosts[i] = freshness.Host{Name: m.Host, Zone: m.Zone}
	}
	return hosts
}

// checkAge returns the age at which this host checks with the store on behalf of others, or
// false if it does not.
func (c *configAsker) checkAge(now time.Time) (time.Duration, bool) {
	hosts := c.running(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asker.CheckAge(now, hosts)
}

// run asks other hosts until ctx ends.
func (c *configAsker) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := c.next(time.Now())
		if h := c.fleet.Host(d.Host); d.Host != "" && h != nil {
			c.ask(ctx, d.Host, h.Client)
			continue
		}
		sleep(ctx, max(d.Wait, time.Millisecond))
	}
}

func (c *configAsker) next(now time.Time) freshness.Decision {
	hosts := c.running(now)
	version, confirmedAt := c.confirmed()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == 0 {
		return freshness.Decision{Wait: c.asker.Timeout()} // nothing that another host could confirm
	}
	return c.asker.Next(now, confirmedAt, hosts)
}

// ask asks a host. The exchange merges the evacuated zones that the host reports before it
// confirms the configuration.
func (c *configAsker) ask(ctx context.Context, host string, client *hop.Client) {
	ctx, cancel := context.WithTimeout(ctx, c.asker.Timeout())
	defer cancel()
	askedAt := time.Now()
	peer, err := c.exchange.compare(ctx, client)
	now := time.Now()
	outcome, age := freshness.Failed, time.Duration(0)
	if err == nil {
		// The host determined its age after the question was sent.
		outcome, age = c.asker.Outcome(peer.Age, peer.AgeKnown), peer.Age
	}
	c.mu.Lock()
	avoid := c.asker.Record(now, askedAt, host, outcome, age)
	c.mu.Unlock()
	c.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("config_asks").Inc(1)
	if avoid > 0 {
		c.log.Log(eventAskedHostAvoided, event.F("host", host), event.F("outcome", outcome.String()), event.F("avoid_ms", avoid.Milliseconds()))
	}
}
