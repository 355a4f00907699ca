package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
)

const (
	// noticeTime is how long callers and other routers may go on sending after
	// the router has said that it is not ready. Callers ask once a second and
	// leave after two misses; later requests would not end within the grace
	// period.
	noticeTime = 2200 * time.Millisecond
	// otherNoticeTime is that time for requests of other routers that can go to
	// another upstream; they learn of the stop from the member row.
	otherNoticeTime = time.Second
	// handOverTime is how long a stop waits for the keys of the upstream to move to
	// other hosts. Nobody could use them until the router is back.
	handOverTime = 3500 * time.Millisecond
	// lastReadTime is the time in which a request that was read last reaches its
	// handler, also on a host with little processor time.
	lastReadTime = 300 * time.Millisecond
	// killMargin is the time before the platform kills the process.
	killMargin = 400 * time.Millisecond
	stopTick   = 50 * time.Millisecond
)

// stop finishes the requests that are under way within the grace period. The
// listeners stay open until callers and other routers have turned elsewhere.
func (s *Sidecar) stop(servers []server) {
	began := boottime.Now()
	end := began.Add(millis(s.settings.Terms.GraceMs) - killMargin)
	s.stopBegan.Store(int64(began))
	s.stopping.Store(true)
	s.log.Log(eventStopping, event.F("in_flight", s.inFlight.Load()))
	if m, ok := s.member(); ok {
		s.fleet.Put(m)
	}
	if s.local.get().withdrawn {
		s.removeOwnRow()
	} else {
		s.publisher.wake()
	}
	for boottime.Now() < end.Add(-lastReadTime) && !s.quiet(boottime.Now(), began) {
		time.Sleep(stopTick)
	}
	s.closeEntry(end)
	ctx, cancel := context.WithTimeout(context.Background(), max(end.Sub(boottime.Now()), stopTick))
	defer cancel()
	for _, sv := range servers {
		if err := sv.Shutdown(ctx); err != nil {
			_ = sv.Close() // the grace period is over
		}
	}
}

// closeEntry ends the reading of callers' requests, and answers those that were
// read before.
func (s *Sidecar) closeEntry(end boottime.Time) {
	for _, l := range s.listeners {
		_ = l.Close() // it fails when it is closed already
	}
	s.callers.stopReading()
	answered := min(boottime.Now().Add(lastReadTime), end)
	for boottime.Now() < answered || (s.inFlight.Load() > 0 && boottime.Now() < end) {
		time.Sleep(stopTick)
	}
}

// quiet reports whether callers have stopped sending and all their requests, and
// those of other routers, have ended.
func (s *Sidecar) quiet(now, began boottime.Time) bool {
	_, busy, waiting := s.gate.limiter.Stats()
	handedOver := !s.keys.holdsKeys() || now.Sub(began) >= handOverTime
	return now.Sub(began) >= noticeTime && handedOver && s.inFlight.Load() == 0 && busy+waiting == 0
}

// stoppingFor is the time since the stop began, or 0.
func (s *Sidecar) stoppingFor() time.Duration {
	if !s.stopping.Load() {
		return 0
	}
	return boottime.Now().Sub(boottime.Time(s.stopBegan.Load()))
}

func (s *Sidecar) removeOwnRow() {
	if err := s.publisher.remove(context.Background(), s.settings.Host.Name); err != nil {
		s.log.Log(eventPublishFailed, event.F("error", err.Error()))
	}
}
