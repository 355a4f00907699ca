package sidecar

import (
	"context"
	"errors"
	"io"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/quarantine"
)

// secondProbeDelay is the time after which a second connection to an upstream that has
// lost a request is opened: its connections may end a moment before its listener.
const secondProbeDelay = 20 * time.Millisecond

type incarnationID struct {
	holder keyrange.Holder
	id     quarantine.Incarnation
}

// callEvidence is what is known of a call at the gate.
type callEvidence struct {
	// sentTo is the incarnation to which the call was sent last.
	sentTo quarantine.Incarnation
	// trial is true if the call is a trial.
	trial bool
	// alone is closed when the call ends; nil if others like it need not wait.
	alone chan struct{}
}

// sent records the incarnation to which the call is sent.
func (q *quarantineDriver) sent(c *Call, holder keyrange.Holder) {
	if q != nil {
		c.evidence.sentTo = q.incarnation(holder)
	}
}

func (q *quarantineDriver) incarnation(holder keyrange.Holder) quarantine.Incarnation {
	if known := q.current.Load(); known != nil && known.holder == holder {
		return known.id
	}
	next := &incarnationID{holder: holder, id: quarantine.IncarnationOf(holder.Host, holder.Instance, holder.Started)}
	q.current.Store(next)
	return next.id
}

// ended records the result of a call that was sent to the upstream. If the upstream has
// lost it, the upstream is probed before the result is passed on, so that the other router
// learns of the crash with it.
func (q *quarantineDriver) ended(ctx context.Context, c *Call, r *Result) {
	if q == nil {
		return
	}
	if stream, ok := r.Body.(*streamedResponse); ok && r.Err == nil {
		stream.quarantine, stream.call, stream.ctx = q, c, ctx
		return
	}
	switch {
	case r.Err == nil:
		q.completed(c)
	case r.lost:
		request, ok := q.lost(c)
		if !ok {
			return
		}
		q.confirm(ctx, time.Now(), c.evidence.sentTo)
		r.suspect = &request.Fingerprint
	}
}

// streamEnded records the end of a response that was passed on while it arrived.
func (q *quarantineDriver) streamEnded(s *streamedResponse) {
	if q == nil {
		return
	}
	switch {
	case errors.Is(s.err, io.EOF):
		q.completed(s.call)
	case s.err != nil && s.ctx.Err() == nil:
		q.lost(s.call)
	}
	s.quarantine = nil // Close may be called again
}

// responded records the result of a call at another host.
func (q *quarantineDriver) responded(c *Call, r *Result, host string) {
	q.merge(r.Suspects, host)
	if r.Err == nil && r.Length >= 0 && r.Length <= maxBufferedResponse {
		q.completed(c) // a host whose own upstream serves another service clears nothing else
	}
}

// completed records that an upstream has run the call.
func (q *quarantineDriver) completed(c *Call) {
	r, found := q.find(c, false)
	if !found {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	q.set.Completed(time.Now(), r.Fingerprint)
}

// lost records that the connection ended before the call had a complete response.
func (q *quarantineDriver) lost(c *Call) (r quarantine.Request, ok bool) {
	r, complete := c.fingerprint(quarantine.HashHead(c.Service, c.Method, c.Host, c.Target), false)
	if !complete {
		return r, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	if now := time.Now(); q.evidence.Lost(now, c.evidence.sentTo, r) {
		q.set.RecordCrash(now, c.evidence.sentTo, []quarantine.Request{r})
	}
	return r, true
}

// confirm finds out whether the upstream that lost a call at the given time has crashed.
func (q *quarantineDriver) confirm(ctx context.Context, lostAt time.Time, of quarantine.Incarnation) {
	q.probing.Lock()
	defer q.probing.Unlock()
	for attempt := range 2 {
		if q.probedAt.After(lostAt) || q.crashed(of) {
			return
		}
		if attempt > 0 {
			select {
			case <-time.After(secondProbeDelay):
			case <-ctx.Done():
				return
			}
		}
		if err := q.probe(ctx); err != nil {
			if errors.Is(err, connpool.ErrRefused) {
				q.local.connectionRefused(time.Now())
				return
			}
			break
		}
	}
	q.probedAt = time.Now()
}

func (q *quarantineDriver) crashed(of quarantine.Incarnation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.evidence.HasCrashed(time.Now(), of)
}

// upstreamEnded records that the process of the incarnation has ended. An announced end is
// no crash.
func (q *quarantineDriver) upstreamEnded(state upstreamState) {
	if q == nil || !state.known || !state.leavingSince.IsZero() {
		return
	}
	of := q.incarnation(state.holder)
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	now := time.Now()
	requests := q.evidence.Ended(now, of)
	if len(requests) == 0 {
		return
	}
	q.scope.Counter("upstream_crashes").Inc(1)
	q.log.Log(eventCrash, event.F("instance", state.holder.Instance), event.F("started", state.holder.Started), event.F("requests", len(requests)))
	q.set.RecordCrash(now, of, requests)
}

// heartbeat records a heartbeat of the local upstream. before is the state before it.
func (q *quarantineDriver) heartbeat(before, after upstreamState, verdict heartbeatVerdict) {
	switch {
	case q == nil:
	case before.holder != after.holder:
		q.upstreamEnded(before)
	case verdict == heartbeatCurrent:
		q.mu.Lock()
		defer q.mu.Unlock()
		defer q.update()
		now := time.Now()
		q.evidence.Alive(now, q.incarnation(after.holder))
		q.set.Expire(now)
	}
}
