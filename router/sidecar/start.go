package sidecar

import (
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

const (
	// startSources is the number of hosts of its zone that a starting router asks. The first
	// one is the reader of the zone. The second is asked when the first one refuses, or has not
	// responded after startSecondDelay.
	startSources     = 2
	startSecondDelay = startAskTimeout / 2
	// startAskTimeout bounds the time that they get to respond. It is above the 84 ms for
	// which a host with a sixth of a core pauses, and short, because after the loss of a
	// whole zone no host responds.
	startAskTimeout = 100 * time.Millisecond
	// startListTimeout is the time after which the configuration is read from the store
	// although the members have not been read.
	startListTimeout = 250 * time.Millisecond
)

// startThroughZone makes the followers begin with what hosts of this zone have read, which
// saves all calls to the store at a start but the list of the members.
func (s *Sidecar) startThroughZone() {
	members := make(chan struct{})
	s.fleetFollower.Start = func(ctx context.Context, apply func([]rowstore.Row)) (rowstore.Start, bool) {
		listed := sync.OnceFunc(func() { close(members) })
		defer listed()
		return s.startFleet(ctx, apply, listed)
	}
	s.configFollower.Start = func(ctx context.Context, apply func([]rowstore.Row)) (rowstore.Start, bool) {
		ctx, cancel := context.WithTimeout(ctx, startListTimeout+startAskTimeout)
		defer cancel()
		select {
		case <-members:
			return s.startConfig(ctx, apply)
		case <-time.After(startListTimeout):
		case <-ctx.Done():
		}
		return rowstore.Start{}, false
	}
}

// startFleet lists the members, calls listed, and requests the fleet from the hosts of this
// zone. If none provides it, the table is read from the store, but for the members.
func (s *Sidecar) startFleet(ctx context.Context, apply func([]rowstore.Row), listed func()) (rowstore.Start, bool) {
	listing, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rows, version, err := s.store.List(listing, tableFleet, partMembers)
	if err != nil {
		return rowstore.Start{}, false
	}
	apply(rows)
	listed()
	if r, ok := s.askStartSources(ctx, tableFleet); ok {
		s.started(tableFleet, r)
		return r.start, true
	}
	s.countStart(tableFleet, "store")
	return rowstore.Start{Rows: rows, Part: partMembers, Version: version}, true
}

// startConfig requests the table of the configuration from the hosts of this zone. The host
// that provides it must also confirm that its configuration is the newest, and that response
// brings the evacuated zones that the host knows of.
func (s *Sidecar) startConfig(ctx context.Context, apply func([]rowstore.Row)) (rowstore.Start, bool) {
	table := s.opts.Config.Key.Table
	if r, ok := s.askStartSources(ctx, table); ok {
		apply(r.start.Rows)
		ctx, cancel := context.WithTimeout(ctx, startAskTimeout)
		defer cancel()
		peer, err := s.exchange.compare(ctx, r.host.Client)
		maxAge := shareOf(millis(s.settings.Terms.ConfigMs), maxCheckAge)
		if err == nil && peer.AgeKnown && peer.Age <= maxAge && peer.Version > 0 && s.config.version() >= peer.Version {
			s.started(table, r)
			return r.start, true
		}
	}
	s.countStart(table, "store")
	return rowstore.Start{}, false
}

// startResponse is a table that another host has provided.
type startResponse struct {
	host  *fleet.Host
	start rowstore.Start
}

// askStartSources requests a table from hosts of this zone and returns the first usable
// response.
func (s *Sidecar) askStartSources(ctx context.Context, table string) (startResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, startAskTimeout)
	defer cancel()
	hosts := s.fleet.StartSources(startSources, s.settings.Host.Name)
	responses := make(chan *startResponse, len(hosts))
	for i, h := range hosts {
		go func() { responses <- s.askStartSource(ctx, h, table) }()
		if i == len(hosts)-1 {
			break
		}
		select {
		case r := <-responses:
			if r != nil {
				return *r, true
			}
			responses <- nil // counted below
		case <-time.After(startSecondDelay):
		}
	}
	for range hosts {
		if r := <-responses; r != nil {
			return *r, true
		}
	}
	return startResponse{}, false
}

// askStartSource requests a table from a host. It returns nil if the host does not provide it.
// The fleet must be as new as that of a host that reads it from the store.
func (s *Sidecar) askStartSource(ctx context.Context, h *fleet.Host, table string) *startResponse {
	askedAt := time.Now()
	result, err := (&remoteStore{client: h.Client}).call(ctx, storeCall{Call: storeFeed, Table: table, WithAge: true})
	if err != nil || len(result.Rows) == 0 || rowstore.EraOf(result.Version) < s.eras.Newest() {
		return nil
	}
	if table == tableFleet && (result.FeedAge == 0 || result.FeedAge > maxFleetFeedAge) {
		return nil
	}
	start := rowstore.Start{Rows: result.Rows, Complete: true, Version: result.Version}
	if result.FeedAge > 0 {
		start.AsOf = askedAt.Add(-result.FeedAge)
	}
	return &startResponse{host: h, start: start}
}

// started records that another host has provided a table.
func (s *Sidecar) started(table string, r startResponse) {
	s.log.Log(eventStartedThroughHost, event.F("table", table), event.F("host", r.host.Member().Host), event.F("rows", len(r.start.Rows)))
	s.countStart(table, "zone")
}

func (s *Sidecar) countStart(table, source string) {
	s.scope.Tagged(map[string]string{"table": table, "source": source}).Counter("starts").Inc(1)
}
