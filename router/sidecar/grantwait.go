package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/rowstore"
)

// maxGrantWaits bounds the calls that wait at a gate for the grants of their keys, because
// they keep their bodies, of up to 64 KiB, in memory.
const maxGrantWaits = 256

// broadcast wakes goroutines that wait for a change. The zero value has no waiters.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that the next call of notify closes.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// announced reports whether the local upstream does not hold the key yet and its grant is
// on its way: the newest map assigns the key to it, and this router is about to grant it.
func (d *keyDriver) announced(key uint16) bool {
	s, now := d.local.get(), time.Now()
	if !s.known || !s.leavingSince.IsZero() || d.stoppingFor() > 0 || d.evacuation.ownEvacuated() {
		return false
	}
	if d.local.ended(now, d.heartbeatInterval) || d.local.silentFor(now) > d.maxHeartbeatHold {
		return false // the ranges are about to be released, see releaseExpired
	}
	m, version := d.index.get(s.service)
	byCommand := d.keysByCommand(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	if m == nil || rowstore.EraOf(version) != d.grantSource.era {
		return false // keys are granted by another map
	}
	if byCommand {
		return d.commands.Announced(boottime.Now(), m, key, s.holder, d.leaseEnd)
	}
	return d.grants.Announced(boottime.Now(), m, key, s.holder, d.leaseEnd)
}

// checkAwaitingGrant is check for a call that has no slot yet. While the grant of its key
// is on its way, the call waits for it. The key map names the new holder of a key before
// the holder's upstream has got the grant, and no other host may serve the key meanwhile.
func (g *gate) checkAwaitingGrant(ctx context.Context, c *Call) *errkind.Error {
	err := g.check(time.Now(), c)
	if err == nil || err.Kind != errkind.NoOwner || !g.keys.announced(c.Key) {
		return err
	}
	if g.grantWaits.Add(1) > maxGrantWaits {
		g.grantWaits.Add(-1)
		return err
	}
	defer g.grantWaits.Add(-1)
	start := time.Now()
	err = g.awaitGrant(ctx, c, min(time.Until(c.Deadline), g.objective(c))/moveWaitDivisor)
	outcome := "granted"
	if err != nil {
		outcome = "refused"
		g.log.Log(eventGrantMissing, event.F("request", c.RequestID), event.F("service", c.Service), event.F("key", c.Key),
			event.F("waited_ms", time.Since(start).Milliseconds()), event.F("kind", string(err.Kind)), event.F("detail", err.Detail))
	}
	g.scope.Tagged(map[string]string{"outcome": outcome}).Counter("grant_waits").Inc(1)
	return err
}

// awaitGrant waits until the upstream holds the key of the call, at most for wait. It
// returns an error as soon as the grant is no longer on its way.
func (g *gate) awaitGrant(ctx context.Context, c *Call, wait time.Duration) *errkind.Error {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for ended := false; ; {
		changed := g.keys.changes.next()
		err := g.check(time.Now(), c)
		switch {
		case err == nil || err.Kind != errkind.NoOwner:
			return err
		case errors.Is(ctx.Err(), context.Canceled):
			return errkind.New(errkind.CallerLeft, "the caller left while the request waited for the grant of key %d", c.Key)
		case ended || ctx.Err() != nil || !g.keys.announced(c.Key):
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-timer.C:
			ended = true
		}
	}
}

// objective returns the latency objective of a call. Calls of other hosts do not carry it;
// it is that of the route in the configuration in force here, or 0 if there is none.
func (g *gate) objective(c *Call) time.Duration {
	if c.Objective > 0 {
		return c.Objective
	}
	if _, route := g.config.callRoute(c); route != nil {
		return route.TargetLatency
	}
	return 0
}
