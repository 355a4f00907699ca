package sidecar

import (
	"context"
	"errors"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/rowstore"
)

const (
	// gatherPerReader is the time per host that reads the fleet from the store
	// for which changes gather before the next reading. It keeps the readings of
	// many changes, which grow with the square of the readers, within the
	// store's rate.
	gatherPerReader = 60 * time.Millisecond
	// shortestGather lets the steps of one move of keys arrive together.
	shortestGather = 100 * time.Millisecond
	longestGather  = 2 * time.Second
	// startGather is the shortest such time in the startTime after a start in a large
	// fleet: when all hosts start, each reads the rows of the others itself until it
	// finds the reader of its zone.
	startGather = 1200 * time.Millisecond
	startTime   = 5 * time.Second
	// lostReaderPause is the time for which a reader that did not answer is not
	// asked; busyReaderPause that for one that does not read the store itself.
	lostReaderPause = 10 * time.Second
	busyReaderPause = time.Second
)

// gatherTime is the pause between two readings of the fleet. Hosts that follow
// another host need none: their readings cost the store nothing.
func (s *Sidecar) gatherTime() time.Duration {
	if !s.fed.Direct() {
		return 0
	}
	gather := min(max(time.Duration(s.fleet.ZoneCount())*gatherPerReader, shortestGather), longestGather)
	if boottime.Now().Sub(s.created) < startTime && s.fleet.HostCount() > smallFleet {
		gather = max(gather, startGather)
	}
	return gather
}

// feedSource returns the way to the host of this zone that reads the fleet for
// the others, or nil when this host reads it itself.
func (s *Sidecar) feedSource() (rowstore.WatchFunc, func(error)) {
	reader := s.fleet.ZoneReader(time.Now(), s.settings.Host.Name)
	if reader == nil {
		return nil, nil
	}
	remote := &remoteStore{client: reader.Client}
	return remote.watchFeed, func(err error) {
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
		pause := lostReaderPause
		if errors.Is(err, rowstore.ErrFeedClosed) {
			pause = busyReaderPause
		}
		reader.AvoidAsReader(time.Now().Add(pause))
		s.log.Log(eventReaderLost, event.F("host", reader.Member().Host), event.F("error", err.Error()))
	}
}
