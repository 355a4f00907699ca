package sidecar

import (
	"context"
	"errors"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

const (
	// batchDelayPerReader is the part of the batch delay for each host that reads the
	// fleet from the store. Without it, the reads of many changes would grow with the
	// square of the number of readers and exceed the store's rate limit.
	batchDelayPerReader = 60 * time.Millisecond
	// minBatchDelay lets the steps of one move of keys arrive together.
	minBatchDelay = 100 * time.Millisecond
	maxBatchDelay = 2 * time.Second
	// startBatchDelay is the shortest batch delay during startPhase after a start in a
	// large fleet. When all hosts start, each reads the rows of the others itself until
	// it finds the reader of its zone.
	startBatchDelay = 1200 * time.Millisecond
	startPhase      = 5 * time.Second
	// smallFleetHosts is the number of hosts up to which a fleet needs no startBatchDelay.
	smallFleetHosts = 100
	// failedReaderBackoff is the time for which a reader that did not respond is not
	// used, relayedReaderBackoff that for a reader that does not read the store itself.
	failedReaderBackoff  = 10 * time.Second
	relayedReaderBackoff = time.Second
	// maxDirectFleet is the number of hosts up to which the reader of each zone reads the
	// fleet from the store. Few zones change so seldom that it costs little.
	maxDirectFleet = 40
	// fleetHopAllowance is the time by which the reader of the whole fleet reads more often
	// than the readers of zones would, because its rows take one step more to arrive.
	fleetHopAllowance = 100 * time.Millisecond
	// maxFleetReaderWatch is the longest watch of the reader of the whole fleet. It bounds
	// the time until a loss of that reader is noticed.
	maxFleetReaderWatch = time.Second
	// maxFleetFeedAge is the time for which the reader of the whole fleet may not know
	// whether it has missed a change: fleetCheckInterval, and twice the time of a slow check.
	maxFleetFeedAge = fleetCheckInterval + time.Second
)

// fleetReadDelay returns the batch delay between two reads of the fleet. It is 0 for
// hosts that follow another host, whose reads cost the store nothing.
func (s *Sidecar) fleetReadDelay() time.Duration {
	if !s.fleetFed.Direct() {
		return 0
	}
	delay := time.Duration(s.fleet.ZoneCount()) * batchDelayPerReader
	if s.readsForFleet() {
		delay -= fleetHopAllowance
	}
	delay = min(max(delay, minBatchDelay), maxBatchDelay)
	if boottime.Now().Sub(s.createdAt) < startPhase && s.fleet.HostCount() > smallFleetHosts {
		delay = max(delay, startBatchDelay)
	}
	return delay
}

// feedSource returns the connection to the host of this zone that reads the fleet for the
// others, or nil if this host reads it from the store.
func (s *Sidecar) feedSource() (rowstore.WatchFunc, func(error)) {
	reader := s.fleet.ZoneReader(time.Now(), s.settings.Host.Name)
	if reader == nil {
		return nil, nil
	}
	remote := &remoteStore{client: reader.Client}
	return remote.watchFeed, func(err error) { s.feedEnded(reader, err) }
}

// readsForFleet reports whether the readers of the other zones read through this host.
func (s *Sidecar) readsForFleet() bool {
	if s.fleet.HostCount() <= maxDirectFleet {
		return false
	}
	_, isSelf := s.fleet.FleetReader(time.Now(), s.settings.Host.Name)
	return isSelf
}

// fleetReader returns the connection to the host that reads the fleet and the configuration
// from the store for all zones, or nil if this host reads them from the store.
func (s *Sidecar) fleetReader() (rowstore.WatchFunc, func(error)) {
	if s.fleet.HostCount() <= maxDirectFleet {
		return nil, nil
	}
	reader, _ := s.fleet.FleetReader(time.Now(), s.settings.Host.Name)
	if reader == nil {
		return nil, nil
	}
	remote := &remoteStore{client: reader.Client}
	return remote.watchFeedFromStore, func(err error) { s.fleetReaderEnded(reader, err) }
}

// fleetReaderEnded records the end of a watch of the feed of the reader of the fleet.
func (s *Sidecar) fleetReaderEnded(reader *fleet.Host, err error) {
	switch {
	case err == nil:
		reader.FleetReaderResponded()
		return
	case errors.Is(err, context.Canceled):
		return
	}
	reader.FleetReaderFailed(time.Now(), readerBackoff(err))
	s.log.Log(eventFleetReaderFailed, event.F("host", reader.Member().Host), event.F("error", err.Error()))
}

// readerBackoff returns the time for which a reader is not used after an error.
func readerBackoff(err error) time.Duration {
	if errors.Is(err, rowstore.ErrFeedClosed) {
		return relayedReaderBackoff
	}
	return failedReaderBackoff
}

// watchFeed watches a feed of this host for another router.
func watchFeed(ctx context.Context, feed *rowstore.Feed, call storeCall) ([]rowstore.Row, int64, error) {
	if !call.FromStore {
		return feed.Watch(ctx, call.After, call.Wait)
	}
	var maxAge time.Duration // the age of the configuration is found by its checks
	if call.Table == tableFleet {
		maxAge = maxFleetFeedAge
	}
	return feed.WatchFromStore(ctx, call.After, call.Wait, maxAge)
}

// feedEnded records the end of a watch of a reader's feed.
func (s *Sidecar) feedEnded(reader *fleet.Host, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	reader.AvoidAsReader(time.Now().Add(readerBackoff(err)))
	s.log.Log(eventReaderFailed, event.F("host", reader.Member().Host), event.F("error", err.Error()))
}
