package upstream

import (
	"time"

	"burdockglade.dev/router/errkind"
)

// DefaultRenewTimeout is the time without a sign of life after which an
// upstream is suspect.
const DefaultRenewTimeout = time.Second

// maxProbePause bounds the pause between probes of an upstream that answers
// probes but does not renew. A probe costs a server about 6 ms, so the pause
// doubles up to this bound.
const maxProbePause = 8 * time.Second

// ProbeID numbers the probes, so that a late result is not taken for that of a
// later probe. 0 means no probe.
type ProbeID uint64

// Tracker is the state machine of the upstream. It has no clock; times are
// passed in. Methods that return a ProbeID other than 0 ask for a probe, whose
// result goes to ProbeCompleted.
type Tracker struct {
	renewTimeout time.Duration

	status Status
	// leaving is set by drain and withdraw and survives suspicion.
	leaving bool
	// suspect and down are judged by this router.
	suspect, down bool
	// doubted is set when this router's own observation speaks against the
	// upstream; then a report alone does not restore it.
	doubted bool
	// alive is the latest sign of life; answered is the latest answer that this
	// router got itself.
	alive, answered time.Time
	pause           time.Duration
	probedAt        time.Time
	probe, lastID   ProbeID
}

// NewTracker returns a tracker without an upstream. A renewTimeout of 0 means
// DefaultRenewTimeout.
func NewTracker(renewTimeout time.Duration) *Tracker {
	if renewTimeout <= 0 {
		renewTimeout = DefaultRenewTimeout
	}
	return &Tracker{renewTimeout: renewTimeout, pause: renewTimeout, status: Status{State: Absent}}
}

// Status returns the present status.
func (t *Tracker) Status() Status {
	return t.status
}

// settle derives the state from the flags.
func (t *Tracker) settle(now time.Time) {
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

// Announce takes an announcement. An upstream that this router found down is
// probed before it counts as announced.
func (t *Tracker) Announce(now time.Time, a Announcement) ProbeID {
	defer t.settle(now)
	wasDown := t.down
	sameAddress := t.status.Announcement.Address == a.Address
	*t = Tracker{
		renewTimeout: t.renewTimeout, pause: t.renewTimeout,
		lastID: t.lastID, probedAt: t.probedAt, alive: now,
		status: Status{State: t.status.State, Since: t.status.Since, Announcement: a},
	}
	if wasDown && sameAddress {
		t.suspect, t.doubted = true, true
		return t.startProbe(now)
	}
	return 0
}

// Renew takes a renewal. It refuses with errkind.Conflict when nothing is
// announced.
func (t *Tracker) Renew(now time.Time, r Renewal) (ProbeID, error) {
	defer t.settle(now)
	if t.status.State == Absent {
		return 0, errkind.New(errkind.Conflict, "nothing is announced: announce first")
	}
	t.status.Load = r.Load
	if !r.Healthy {
		return t.reportedUnhealthy(now), nil
	}
	t.alive = now
	t.pause = t.renewTimeout
	if t.down {
		return t.probeIfDue(now), nil
	}
	if t.suspect && !t.doubted {
		t.clearSuspicion()
	}
	return 0, nil
}

// reportedUnhealthy lets a recent answer outweigh the report.
func (t *Tracker) reportedUnhealthy(now time.Time) ProbeID {
	if t.down || now.Sub(t.answered) < t.renewTimeout {
		return 0
	}
	if t.probe != 0 {
		t.doubted = true
		return 0
	}
	id := t.probeIfDue(now)
	if id != 0 {
		t.suspect, t.doubted = true, true
	}
	return id
}

// Drain marks the upstream as leaving. It refuses with errkind.Conflict when
// nothing is announced.
func (t *Tracker) Drain(now time.Time) error {
	defer t.settle(now)
	if t.status.State == Absent {
		return errkind.New(errkind.Conflict, "nothing is announced: announce first")
	}
	t.leaving = true
	return nil
}

// Withdraw marks the upstream as leaving for good. An upstream that is down is
// removed at once; another one stays until Evacuated.
func (t *Tracker) Withdraw(now time.Time) {
	defer t.settle(now)
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
	defer t.settle(now)
	t.remove()
}

func (t *Tracker) remove() {
	*t = Tracker{
		renewTimeout: t.renewTimeout, pause: t.renewTimeout, lastID: t.lastID,
		status: Status{State: t.status.State, Since: t.status.Since},
	}
}

// ConnectionRefused records that a connection to the address was refused. A refusal by
// an earlier address of the upstream is ignored.
func (t *Tracker) ConnectionRefused(now time.Time, address string) {
	defer t.settle(now)
	if t.status.State != Absent && t.status.Announcement.Address == address {
		t.goDown()
	}
}

func (t *Tracker) goDown() {
	t.down, t.doubted, t.suspect = true, true, false
	t.probe = 0
}

// ResponseReceived records that the upstream answered a request of this router. It
// ends a suspicion that came from missing renewals. An answer does not restore
// an upstream that is down, because it may have been under way for long.
func (t *Tracker) ResponseReceived(now time.Time) {
	defer t.settle(now)
	t.answered, t.alive = now, now
	if t.suspect && !t.doubted {
		t.clearSuspicion()
	}
}

// Tick makes the upstream suspect when signs of life are missing. It is called
// several times within the renewal timeout.
func (t *Tracker) Tick(now time.Time) ProbeID {
	defer t.settle(now)
	if t.status.State == Absent || t.down || t.suspect {
		return 0
	}
	if now.Sub(t.alive) < t.pause {
		return 0
	}
	t.suspect = true
	return t.startProbe(now)
}

// ProbeCompleted takes the result of a probe. Results of other probes than the present
// one are ignored.
func (t *Tracker) ProbeCompleted(now time.Time, id ProbeID, ok bool) {
	defer t.settle(now)
	if id == 0 || id != t.probe {
		return
	}
	t.probe = 0
	if !ok {
		t.goDown()
		return
	}
	t.clearSuspicion()
	t.down = false
	t.alive = now
	t.pause = min(2*t.pause, maxProbePause)
}

func (t *Tracker) clearSuspicion() {
	t.suspect, t.doubted = false, false
	t.probe = 0
}

// probeIfDue starts a probe on a report, at most one per pause.
func (t *Tracker) probeIfDue(now time.Time) ProbeID {
	if t.probe != 0 || now.Sub(t.probedAt) < t.pause {
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
