package sidecar

import (
	"context"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/quarantine"
)

// maxRepeatWaits bounds the lost requests of this host that wait to be sent again, because
// they keep their bodies, of up to 64 KiB, in memory.
const maxRepeatWaits = 256

// mayRepeatAfter reports whether a call with the result r, which has arrived at an
// upstream, may be sent to another one. A repeatable call that was lost beside a request
// that crashes its upstreams waits until it is known which of them that is: other crashes
// and completions show it, and responses of other hosts report them.
func (q *quarantineDriver) mayRepeatAfter(ctx context.Context, c *Call, r *Result) bool {
	if !c.Repeatable || r.Err == nil || r.notRun() {
		return q.mayRepeat(c)
	}
	verdict := q.afterLoss(c)
	outcome := "allowed"
	if verdict == quarantine.RepeatLater {
		outcome = "allowed_later"
		verdict = q.awaitRepeat(ctx, c)
	}
	if q == nil || !q.active.Load() {
		return verdict == quarantine.RepeatNow
	}
	if verdict != quarantine.RepeatNow {
		outcome = "refused"
		q.log.Log(eventNotRepeated, event.F("request", c.RequestID), event.F("service", c.Service), event.F("host", r.Host), event.F("left_ms", time.Until(c.Deadline).Milliseconds()))
	}
	q.scope.Tagged(map[string]string{"outcome": outcome}).Counter("lost_requests").Inc(1)
	return verdict == quarantine.RepeatNow
}

// awaitRepeat waits until the call may be sent to another upstream, or until that is no
// longer expected.
func (q *quarantineDriver) awaitRepeat(ctx context.Context, c *Call) quarantine.Repeat {
	defer q.repeatWaits.Add(-1)
	if q.repeatWaits.Add(1) > maxRepeatWaits {
		return quarantine.RepeatNever
	}
	timer := time.NewTimer(quarantine.RepeatWait(q.repeatWait, time.Until(c.Deadline)))
	defer timer.Stop()
	for {
		changed := q.changes.next()
		if verdict := q.afterLoss(c); verdict != quarantine.RepeatLater {
			return verdict
		}
		select {
		case <-changed:
		case <-timer.C:
			return quarantine.RepeatNever
		case <-ctx.Done():
			return quarantine.RepeatNever
		}
	}
}

func (q *quarantineDriver) afterLoss(c *Call) quarantine.Repeat {
	r, found := q.find(c, false)
	if !found {
		return quarantine.RepeatNow
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.update()
	return q.set.AfterLoss(time.Now(), r, c.Keyed)
}
