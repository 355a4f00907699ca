package sidecar

import (
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
)

// holds reports whether the local upstream holds a key.
func (d *keyDriver) holds(key uint16) bool {
	m, _ := d.index.get(d.local.get().service)
	if m == nil {
		return false
	}
	r := m.Find(key)
	d.mu.Lock()
	defer d.mu.Unlock()
	return r != nil && d.grants.Holds(boottime.Now(), r)
}

// holdsKeys reports whether the key map names this host as a holder.
func (d *keyDriver) holdsKeys() bool {
	m, _ := d.index.get(d.local.get().service)
	return m != nil && m.HasHolder(d.host)
}

// heartbeat takes what the upstream says of its keys and returns what it is to
// hold. While keys are on their way to the upstream, the answer waits for them:
// otherwise nobody would serve them until the next heartbeat.
func (d *keyDriver) heartbeat(s upstreamState, r Heartbeat) HeartbeatResponse {
	if !d.keyed(s.service) {
		return HeartbeatResponse{}
	}
	arrived := boottime.Now()
	d.takeReport(s, r)
	if d.ordered(s.service) {
		d.wakeOrders()
		return HeartbeatResponse{}
	}
	overtaken := d.newHeartbeat()
	if len(r.Released) == 0 && s.leaving.IsZero() && !d.await(s, overtaken) {
		return HeartbeatResponse{}
	}
	if now := d.local.get(); now.holder == s.holder {
		s = now // the upstream may have given notice meanwhile
	} else {
		return HeartbeatResponse{}
	}
	m, version := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	grants, hold := d.grants.Renew(arrived, m, s.holder, !s.leaving.IsZero(), d.leaseEnd, d.maxHold)
	if hold == 0 {
		return HeartbeatResponse{}
	}
	d.log.Log(eventGrant, event.F("instance", s.holder.Instance), event.F("beat", r.Sequence), event.F("ranges", len(grants)),
		event.F("hold_ms", hold.Milliseconds()), event.F("map_version", version), event.F("holds", len(r.Holds)), event.F("released", len(r.Released)))
	return HeartbeatResponse{Renew: true, Grants: grants, HoldFor: hold}
}

// takeReport notes the ranges that the upstream has given up.
func (d *keyDriver) takeReport(s upstreamState, r Heartbeat) {
	m, _ := d.index.get(s.service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reset(s)
	for _, h := range r.Released {
		if d.grants.RecordRelease(m, h) {
			d.wake()
		}
	}
}

// reset forgets what an earlier run of the upstream held. d.mu is held.
func (d *keyDriver) reset(s upstreamState) {
	if d.grants.Reset(s.holder) {
		d.orders.Reset()
	}
}

// newHeartbeat ends the wait of earlier heartbeats. The returned channel is
// closed when a later one arrives.
func (d *keyDriver) newHeartbeat() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.overtaken != nil {
		close(d.overtaken)
	}
	d.overtaken = make(chan struct{})
	return d.overtaken
}

// await waits until no keys are on their way to the upstream, for longestAnswer
// at most. It returns false when a later heartbeat has arrived: its answer may
// take keys away that this one would give.
func (d *keyDriver) await(s upstreamState, overtaken <-chan struct{}) bool {
	timer := time.NewTimer(longestAnswer)
	defer timer.Stop()
	for {
		im := d.index.current(s.service)
		if im == nil || !im.keys.HasIncoming(s.holder) {
			return true
		}
		select {
		case <-im.changed:
		case <-timer.C:
			return true
		case <-overtaken:
			return false
		}
	}
}

// asked counts a request for a key that needs a slot for the time.
func (d *keyDriver) asked(key uint16, needs time.Duration) {
	d.mu.Lock()
	d.rates.Add(boottime.Now(), key, needs)
	d.mu.Unlock()
}
