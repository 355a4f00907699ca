package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/steady"
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
	// killMargin is the time before the platform kills the process.
	killMargin = 400 * time.Millisecond
	stopTick   = 50 * time.Millisecond
)

// stop finishes the requests that are under way within the grace period. The
// listeners stay open until callers and other routers have turned elsewhere.
func (s *Sidecar) stop(servers []server) {
	began := steady.Now()
	end := began.Add(millis(s.settings.Terms.GraceMs) - killMargin)
	s.stopBegan.Store(int64(began))
	s.stopping.Store(true)
	s.log.Log(eventStopping, event.F("in_flight", s.inFlight.Load()))
	if m, ok := s.member(); ok {
		s.fleet.Put(m)
	}
	if s.local.get().withdrawn {
		s.removeMember()
	} else {
		s.publisher.wake()
	}
	for steady.Now() < end && !s.quiet(steady.Now(), began) {
		time.Sleep(stopTick)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(end.Sub(steady.Now()), stopTick))
	defer cancel()
	for _, sv := range servers {
		if err := sv.Shutdown(ctx); err != nil {
			_ = sv.Close() // the grace period is over
		}
	}
}

// quiet reports whether callers have stopped sending and all their requests, and
// those of other routers, have ended.
func (s *Sidecar) quiet(now, began steady.Time) bool {
	_, busy, waiting := s.gate.limiter.Stats()
	return now.Sub(began) >= noticeTime && s.inFlight.Load() == 0 && busy+waiting == 0
}

// stoppingFor is the time since the stop began, or 0.
func (s *Sidecar) stoppingFor() time.Duration {
	if !s.stopping.Load() {
		return 0
	}
	return steady.Now().Sub(steady.Time(s.stopBegan.Load()))
}

func (s *Sidecar) removeMember() {
	if err := s.publisher.remove(context.Background(), s.settings.Host.Name); err != nil {
		s.log.Log(eventPublishFailed, event.F("error", err.Error()))
	}
}
