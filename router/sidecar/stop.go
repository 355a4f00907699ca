package sidecar

import (
	"context"
	"errors"
	"math"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
)

const (
	// drainNoticeTime is how long callers and other routers may go on sending after the
	// router has reported that it is not ready. Callers check once a second and leave
	// after two failures; later requests would not end within the grace period.
	drainNoticeTime = 2200 * time.Millisecond
	// minUnkeyedNoticeTime is how long requests without a key are taken in any case, however
	// long they run: other routers need this time to learn of the stop from the member row.
	minUnkeyedNoticeTime = time.Second
	// maxHandOverTime is how long a stop waits for the upstream's keys to move to other
	// hosts. Keys that stay would be unavailable until the router is back.
	maxHandOverTime = 3500 * time.Millisecond
	// lastRequestTime is the time within which a request that was read last reaches its
	// handler, even on a host with little CPU time.
	lastRequestTime = 300 * time.Millisecond
	// lastResponseTime is the time in which the requests that are broken off at the end get
	// their responses.
	lastResponseTime = 150 * time.Millisecond
	// killMargin is the time that is left before the platform kills the process.
	killMargin       = 400 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// errGraceOver is the cause with which the requests of callers are cancelled that are still
// in progress at the end of a stop.
var errGraceOver = errors.New("the grace period is over")

// stop finishes the requests in progress within the grace period. The listeners stay open
// until callers and other routers have stopped sending.
func (s *Sidecar) stop(servers []server) {
	start := boottime.Now()
	end := start.Add(millis(s.settings.Terms.GraceMs) - killMargin)
	s.stopStartedAt.Store(int64(start))
	s.stopping.Store(true)
	s.keys.wake()
	s.log.Log(eventStopping, event.F("in_flight", s.inFlight.Load()))
	if m, ok := s.memberRow(); ok {
		s.fleet.Put(m)
	}
	if s.local.get().withdrawn {
		s.removeOwnRow()
	} else {
		s.publisher.wake()
	}
	for boottime.Now() < end.Add(-lastRequestTime) && !s.drained(boottime.Now(), start) {
		time.Sleep(stopPollInterval)
	}
	s.closeEntry(end)
	ctx, cancel := context.WithTimeout(context.Background(), max(end.Sub(boottime.Now()), stopPollInterval))
	defer cancel()
	for _, sv := range servers {
		if err := sv.Shutdown(ctx); err != nil {
			_ = sv.Close() // the grace period is over
		}
	}
}

// closeEntry ends the reading of callers' requests and waits for the responses to those
// that were read. At the end it cancels the others, whose callers then get an error.
func (s *Sidecar) closeEntry(end boottime.Time) {
	for _, l := range s.listeners {
		_ = l.Close() // an error means that it is already closed
	}
	s.callers.stopReading()
	handlersStarted := min(boottime.Now().Add(lastRequestTime), end)
	for boottime.Now() < handlersStarted || (s.inFlight.Load() > 0 && boottime.Now() < end) {
		time.Sleep(stopPollInterval)
	}
	s.cancelRequests(errGraceOver)
	responded := boottime.Now().Add(lastResponseTime)
	for boottime.Now() < responded && s.inFlight.Load() > 0 {
		time.Sleep(stopPollInterval)
	}
}

// drained reports whether callers have stopped sending, all requests of callers and other
// routers have ended, and the keys have been handed over or maxHandOverTime has passed.
func (s *Sidecar) drained(now, start boottime.Time) bool {
	_, busy, waiting := s.gate.limiter.Stats()
	handedOver := !s.keys.holdsKeys() || now.Sub(start) >= maxHandOverTime
	return now.Sub(start) >= drainNoticeTime && handedOver && s.inFlight.Load() == 0 && busy+waiting == 0
}

// takesWhileStopping reports whether a router that has been stopping for the time takes
// another request for its upstream. Requests without a key can go to other upstreams: they
// are taken as long as they are expected to end by the end of the notice time, so that the
// slots of a stopping host stay in use and do not delay its end. service is the mean time
// that such a request runs.
func takesWhileStopping(stopping, service time.Duration, keyed bool) bool {
	if keyed || stopping <= minUnkeyedNoticeTime {
		return stopping <= drainNoticeTime
	}
	return stopping+service <= drainNoticeTime
}

// stoppingFor returns the time since the stop began, or 0.
func (s *Sidecar) stoppingFor() time.Duration {
	if !s.stopping.Load() {
		return 0
	}
	return boottime.Now().Sub(boottime.Time(s.stopStartedAt.Load()))
}

// graceLeft returns the time until the requests in progress are cancelled, which is
// unlimited while the router does not stop.
func (s *Sidecar) graceLeft() time.Duration {
	if !s.stopping.Load() {
		return math.MaxInt64
	}
	return millis(s.settings.Terms.GraceMs) - killMargin - s.stoppingFor()
}

func (s *Sidecar) removeOwnRow() {
	if err := s.publisher.remove(context.Background(), s.settings.Host.Name); err != nil {
		s.log.Log(eventPublishFailed, event.F("error", err.Error()))
	}
}
