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

// handleHeartbeat processes the keys that the upstream reports and returns those that it
// is to hold. While keys are being moved to the upstream, the response waits for them:
// otherwise no upstream would serve them until the next heartbeat.
func (d *keyDriver) handleHeartbeat(s upstreamState, r Heartbeat) HeartbeatResponse {
	if !d.keyed(s.service) {
		return HeartbeatResponse{}
	}
	arrived := boottime.Now()
	d.recordReleases(s, r)
	if d.keysByCommand(s.service) {
		d.wakeCommands()
		return HeartbeatResponse{}
	}
	superseded := d.supersedeHeartbeat()
	if len(r.Released) == 0 && s.leavingSince.IsZero() && !d.awaitIncomingKeys(s, superseded) {
		return HeartbeatResponse{}
	}
	if now := d.local.get(); now.holder == s.holder {
		s = now // the upstream may have announced that it leaves
	} else {
		return HeartbeatResponse{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m, version := d.grantMap(s.service)
	grants, hold := d.grants.Renew(arrived, m, s.holder, !s.leavingSince.IsZero(), d.leaseEnd, d.maxHeartbeatHold)
	if hold == 0 {
		return HeartbeatResponse{}
	}
	d.changes.notify()
	d.log.Log(eventGrant, event.F("instance", s.holder.Instance), event.F("beat", r.Sequence), event.F("ranges", len(grants)),
		event.F("hold_ms", hold.Milliseconds()), event.F("map_version", version), event.F("holds", len(r.Holds)), event.F("released", len(r.Released)))
	return HeartbeatResponse{Renew: true, Grants: grants, HoldFor: hold}
}

// recordReleases records the ranges that the upstream has released.
func (d *keyDriver) recordReleases(s upstreamState, r Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, _ := d.grantMap(s.service)
	d.resetIncarnation(s)
	for _, h := range r.Released {
		if d.grants.RecordRelease(m, h) {
			d.wake()
		}
	}
}

// resetIncarnation discards what an earlier incarnation of the upstream held. The caller
// holds d.mu.
func (d *keyDriver) resetIncarnation(s upstreamState) {
	d.grants.SetByHeartbeat(!d.keysByCommand(s.service))
	if d.grants.Reset(s.holder) {
		d.commands.Reset()
	}
}

// supersedeHeartbeat ends the wait of earlier heartbeats. The returned channel is closed
// when a later one arrives.
func (d *keyDriver) supersedeHeartbeat() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.superseded != nil {
		close(d.superseded)
	}
	d.superseded = make(chan struct{})
	return d.superseded
}

// awaitIncomingKeys waits until no keys are being moved to the upstream, at most for
// maxHeartbeatWait. It returns false if a later heartbeat has arrived: the response to
// that one may withdraw keys that a response to this one would grant.
func (d *keyDriver) awaitIncomingKeys(s upstreamState, superseded <-chan struct{}) bool {
	timer := time.NewTimer(maxHeartbeatWait)
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
		case <-superseded:
			return false
		}
	}
}

// countRequest records a request for a key that occupies a slot for serviceTime.
func (d *keyDriver) countRequest(key uint16, serviceTime time.Duration) {
	d.mu.Lock()
	d.rates.Add(boottime.Now(), key, serviceTime)
	d.mu.Unlock()
}
