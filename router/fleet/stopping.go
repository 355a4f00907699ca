package fleet

import "time"

const (
	// stoppingUseTime is how long a host may still be chosen after this one has learnt that its
	// router stops. Until then the router takes requests that end in time; later it refuses
	// them, and each refusal costs a hop.
	stoppingUseTime = time.Second
	// stoppingCost ranks hosts whose router stops behind others that have free slots in the
	// region.
	stoppingCost = 0.5
)

// noteStopping records when the host was first known to stop. h.mu must be held.
func (h *Host) noteStopping(now time.Time, m Member) {
	switch {
	case m.State != Stopping:
		h.stoppingSince = time.Time{}
	case h.stoppingSince.IsZero() || h.member.Incarnation() != m.Incarnation():
		h.stoppingSince = now
	}
}

// usableWhileStopping reports whether the host may be chosen although its router stops: its
// upstream stays, and the router still takes requests. d.mu must be held.
func (d *Directory) usableWhileStopping(now time.Time, v *view) bool {
	if v.member.Leaves() || now.Sub(v.stoppingSince) >= stoppingUseTime {
		return false
	}
	_, leaves := d.leavingSince(now, v.member)
	return !leaves
}
