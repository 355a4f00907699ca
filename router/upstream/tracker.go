package upstream

import (
	"time"

	"burdockglade.dev/router/errkind"
)

// DefaultRenewTimeout is the time without a renewal or response after which an
// upstream is suspect.
const DefaultRenewTimeout = time.Second

// maxProbeInterval bounds the interval between probes of an upstream that responds
// to probes but does not renew. A probe costs a server about 6 ms, so the interval
// doubles up to this bound.
const maxProbeInterval = 8 * time.Second

// ProbeID identifies a probe, so that a late result is not taken for that of a later
// probe. 0 means no probe.
type ProbeID uint64

// Tracker is the state machine of the upstream. It has no clock; times are passed
// in. If a method returns a ProbeID other than 0, the caller must probe the upstream
// and pass the result to ProbeCompleted. It is not safe for concurrent use.
type Tracker struct {
	renewTimeout time.Duration

	status Status
	// leaving is set by Drain and Withdraw. A suspicion does not reset it.
	leaving bool
	// suspect and down are this router's view of the upstream.
	suspect, down bool
	// probeRequired is true if only a successful probe ends the suspicion. A
	// renewal or a response is not enough.
	probeRequired bool
	// lastSeen is the time of the latest announcement, healthy renewal, response or
	// successful probe. lastResponse is that of the latest response to a request
	// of this router.
	lastSeen, lastResponse time.Time
	// probeInterval is the time without a renewal or response until the next
	// probe, and the minimum time between two probes on reports.
	probeInterval time.Duration
	probedAt      time.Time
	// probe is the probe in progress, 0 if none; lastID is the latest one started.
	probe, lastID ProbeID
}

// NewTracker returns a tracker without an upstream. renewTimeout defaults to
// DefaultRenewTimeout.
func NewTracker(renewTimeout time.Duration) *Tracker {
	if renewTimeout <= 0 {
		renewTimeout = DefaultRenewTimeout
	}
	return &Tracker{renewTimeout: renewTimeout, probeInterval: renewTimeout, status: Status{State: Absent}}
}

// Status returns the current status.
func (t *Tracker) Status() Status {
	return t.status
}

// updateState derives the state from the flags.
func (t *Tracker) updateState(now time.Time) {
	next := Announced
	switch {
	case t.status.Announcement.Address == "":
		next = Absent
	case t.down:
		next = Down
	case t.leaving:
		next = Draining
	case t.suspect:
		next = Suspect
	}
	if next != t.status.State {
		t.status.State = next
		t.status.Since = now
	}
}

// Announce processes an announcement. An upstream that was down at the same address
// is probed before it counts as announced.
func (t *Tracker) Announce(now time.Time, a Announcement) ProbeID {
	defer t.updateState(now)
	wasDown := t.down
	sameAddress := t.status.Announcement.Address == a.Address
	*t = Tracker{
		renewTimeout: t.renewTimeout, probeInterval: t.renewTimeout,
		lastID: t.lastID, probedAt: t.probedAt, lastSeen: now,
		status: Status{State: t.status.State, Since: t.status.Since, Announcement: a},
	}
	if wasDown && sameAddress {
		t.suspect, t.probeRequired = true, true
		return t.startProbe(now)
	}
	return 0
}

// Renew processes a renewal. It returns an errkind.Conflict error if no upstream is
// announced.
func (t *Tracker) Renew(now time.Time, r Renewal) (ProbeID, error) {
	defer t.updateState(now)
	if t.status.State == Absent {
		return 0, errkind.New(errkind.Conflict, "no upstream is announced: announce first")
	}
	t.status.Load = r.Load
	if !r.Healthy {
		return t.reportedUnhealthy(now), nil
	}
	t.lastSeen = now
	t.probeInterval = t.renewTimeout
	if t.down {
		return t.probeIfDue(now), nil
	}
	if t.suspect && !t.probeRequired {
		t.clearSuspicion()
	}
	return 0, nil
}

// reportedUnhealthy processes a renewal that reports bad health. It has no effect
// if the upstream responded to a request within the renewal timeout.
func (t *Tracker) reportedUnhealthy(now time.Time) ProbeID {
	if t.down || now.Sub(t.lastResponse) < t.renewTimeout {
		return 0
	}
	if t.probe != 0 {
		t.probeRequired = true
		return 0
	}
	id := t.probeIfDue(now)
	if id != 0 {
		t.suspect, t.probeRequired = true, true
	}
	return id
}

// Drain marks the upstream as leaving. It returns an errkind.Conflict error if no
// upstream is announced.
func (t *Tracker) Drain(now time.Time) error {
	defer t.updateState(now)
	if t.status.State == Absent {
		return errkind.New(errkind.Conflict, "no upstream is announced: announce first")
	}
	t.leaving = true
	return nil
}

// Withdraw marks the upstream as leaving and withdrawn. It removes an upstream that
// is down immediately; any other stays until Evacuated is called.
func (t *Tracker) Withdraw(now time.Time) {
	defer t.updateState(now)
	if t.status.State == Absent {
		return
	}
	if t.down {
		t.remove()
		return
	}
	t.leaving = true
	t.status.Withdrawn = true
}

// Evacuated removes an upstream whose shards have moved away.
func (t *Tracker) Evacuated(now time.Time) {
	defer t.updateState(now)
	t.remove()
}

// remove resets the tracker to a state without an upstream. Probe IDs continue.
func (t *Tracker) remove() {
	*t = Tracker{
		renewTimeout: t.renewTimeout, probeInterval: t.renewTimeout, lastID: t.lastID,
		status: Status{State: t.status.State, Since: t.status.Since},
	}
}

// ConnectionRefused records that the address refused a connection. It ignores
// addresses other than the announced one, such as an earlier one of the upstream.
func (t *Tracker) ConnectionRefused(now time.Time, address string) {
	defer t.updateState(now)
	if t.status.State != Absent && t.status.Announcement.Address == address {
		t.markDown()
	}
}

func (t *Tracker) markDown() {
	t.down, t.probeRequired, t.suspect = true, true, false
	t.probe = 0
}

// ResponseReceived records that the upstream responded to a request of this router.
// It ends a suspicion that came from missing renewals. It does not restore an
// upstream that is down, because the response may have been delayed for long.
func (t *Tracker) ResponseReceived(now time.Time) {
	defer t.updateState(now)
	t.lastResponse, t.lastSeen = now, now
	if t.suspect && !t.probeRequired {
		t.clearSuspicion()
	}
}

// Tick makes the upstream suspect if there was no renewal or response within the
// probe interval. It must be called several times per renewal timeout.
func (t *Tracker) Tick(now time.Time) ProbeID {
	defer t.updateState(now)
	if t.status.State == Absent || t.down || t.suspect {
		return 0
	}
	if now.Sub(t.lastSeen) < t.probeInterval {
		return 0
	}
	t.suspect = true
	return t.startProbe(now)
}

// ProbeCompleted records the result of a probe. It ignores results of probes other
// than the one in progress.
func (t *Tracker) ProbeCompleted(now time.Time, id ProbeID, ok bool) {
	defer t.updateState(now)
	if id == 0 || id != t.probe {
		return
	}
	t.probe = 0
	if !ok {
		t.markDown()
		return
	}
	t.clearSuspicion()
	t.down = false
	t.lastSeen = now
	t.probeInterval = min(2*t.probeInterval, maxProbeInterval)
}

func (t *Tracker) clearSuspicion() {
	t.suspect, t.probeRequired = false, false
	t.probe = 0
}

// probeIfDue starts a probe because of a report, at most one per probe interval.
func (t *Tracker) probeIfDue(now time.Time) ProbeID {
	if t.probe != 0 || now.Sub(t.probedAt) < t.probeInterval {
		return 0
	}
	return t.startProbe(now)
}

func (t *Tracker) startProbe(now time.Time) ProbeID {
	t.lastID++
	t.probe = t.lastID
	t.probedAt = now
	return t.probe
}
