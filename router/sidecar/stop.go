package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/steady"
)

const (
	// noticeTime is how long callers may go on sending after the router has said
	// that it is not ready.
	noticeTime = 2500 * time.Millisecond
	// quietTime without a request ends the wait for more of them.
	quietTime = 300 * time.Millisecond
	// killMargin is the time before the platform kills the process.
	killMargin = 400 * time.Millisecond
	stopTick   = 50 * time.Millisecond
)

// stop finishes the requests that are under way within the grace period. The
// listeners stay open until callers and other routers have turned elsewhere.
func (s *Sidecar) stop(servers []server) {
	began := steady.Now()
	end := began.Add(millis(s.settings.Terms.GraceMs) - killMargin)
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
		if err := sv.http.Shutdown(ctx); err != nil {
			_ = sv.http.Close() // the grace period is over
		}
	}
}

// quiet reports whether callers have stopped sending and all their requests, and
// those of other routers, have ended.
func (s *Sidecar) quiet(now, began steady.Time) bool {
	last := steady.Time(s.lastCall.Load())
	_, busy, waiting := s.gate.limiter.Stats()
	return now.Sub(began) >= noticeTime && now.Sub(last) >= quietTime && s.inFlight.Load() == 0 && busy+waiting == 0
}

func (s *Sidecar) removeMember() {
	if err := s.publisher.remove(context.Background(), s.settings.Host.Name); err != nil {
		s.log.Log(eventPublishFailed, event.F("error", err.Error()))
	}
}
