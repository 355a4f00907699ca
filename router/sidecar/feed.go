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
)

// fleetReadDelay returns the batch delay between two reads of the fleet. It is 0 for
// hosts that follow another host, whose reads cost the store nothing.
func (s *Sidecar) fleetReadDelay() time.Duration {
	if !s.fleetFed.Direct() {
		return 0
	}
	delay := min(max(time.Duration(s.fleet.ZoneCount())*batchDelayPerReader, minBatchDelay), maxBatchDelay)
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

// feedEnded records the end of a watch of a reader's feed.
func (s *Sidecar) feedEnded(reader *fleet.Host, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	backoff := failedReaderBackoff
	if errors.Is(err, rowstore.ErrFeedClosed) {
		backoff = relayedReaderBackoff
	}
	reader.AvoidAsReader(time.Now().Add(backoff))
	s.log.Log(eventReaderFailed, event.F("host", reader.Member().Host), event.F("error", err.Error()))
}
