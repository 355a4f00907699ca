package lease

import "time"

// sentHistory is the number of recent heartbeats whose send times are kept. At
// the default timing a lease spans four heartbeats.
const sentHistory = 16

// maxRowRenewDelay is the longest delay between attempts to renew the row. It
// limits the retries of 1,560 groups to about 100 per second during a store
// outage, and is short enough that the first renewal after an outage is sent
// before the renewal deadline.
const maxRowRenewDelay = 15 * time.Second

// maxUnackedStandbys is the number of new standbys in a row that may fail to
// ack. After that the group continues without a standby until its renewal
// deadline, because one replacement every 250 ms per group of a partitioned
// zone would exceed the write capacity of the store.
const maxUnackedStandbys = 3

// HolderOptions configure a Holder.
type HolderOptions struct {
	Timing  Timing
	Service string
	GroupID string
	// Record is the row that names this process as the holder.
	Record Record
	// WriteSentAt is when this process began to send the write that created the
	// record, or zero when it learned of the record in another way. After its
	// own write the holder may serve at once: no process can know the record
	// before the write was sent, so the standby's lease grace ends after the
	// holder's lease.
	WriteSentAt time.Time
	Now         time.Time
}

// Holder is the holder's side of one group's lease.
type Holder struct {
	timing  Timing
	service string
	groupID string
	rec     Record

	// leaseStart is the send time of the newest heartbeat with a valid ack, or
	// of the write that created the generation.
	leaseStart time.Time
	// rowWriteSentAt is the send time of the newest successful write of the row.
	rowWriteSentAt time.Time
	// lastAckAt is when the newest valid ack arrived.
	lastAckAt time.Time

	seq           uint64
	sent          [sentHistory]sentHeartbeat
	nextHeartbeat time.Time

	renewing     bool
	renewSentAt  time.Time
	nextRenewal  time.Time
	renewBackoff backoff

	replacing        *replacement
	replaceRequested bool
	nextReplace      time.Time
	replaceBackoff   backoff
	// unackedStandbys counts the new standbys since the last valid ack.
	unackedStandbys int
}

type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// replacement is a write of another standby whose outcome is unknown.
type replacement struct {
	sentAt time.Time
	// leaseStart and lastAckAt record the acks of the old standby. They take
	// effect only once the write is known not to have taken effect.
	leaseStart time.Time
	lastAckAt  time.Time
}

// NewHolder returns a state machine for a group whose row names this process as
// the holder.
func NewHolder(o HolderOptions) *Holder {
	h := &Holder{
		timing:         o.Timing,
		service:        o.Service,
		groupID:        o.GroupID,
		rec:            o.Record,
		leaseStart:     o.WriteSentAt,
		rowWriteSentAt: o.WriteSentAt,
		lastAckAt:      o.Now,
		nextHeartbeat:  o.Now,
		nextRenewal:    o.Now,
		nextReplace:    o.Now,
		renewBackoff:   backoff{initial: o.Timing.RetryDelay, limit: min(o.Timing.RowRenewInterval, maxRowRenewDelay)},
		replaceBackoff: backoff{initial: o.Timing.RetryDelay, limit: o.Timing.MaxRetryDelay},
	}
	if !o.WriteSentAt.IsZero() {
		h.nextRenewal = o.WriteSentAt.Add(o.Timing.RowRenewInterval)
	}
	return h
}

// Record returns the record that the state machine works with.
func (h *Holder) Record() Record {
	return h.rec
}

// Replacing reports whether a replacement of the standby is in progress, that
// is, its outcome is unknown.
func (h *Holder) Replacing() bool {
	return h.replacing != nil
}

// LeaseEnd returns the end of the lease, or zero when there is none. A single
// request must not be permitted for longer than the lease duration even when
// the lease lasts longer: a group without a standby may get one, which shortens
// its lease.
func (h *Holder) LeaseEnd() time.Time {
	if h.rowWriteSentAt.IsZero() {
		return time.Time{}
	}
	deadline := h.rowWriteSentAt.Add(h.timing.RenewDeadline)
	if !h.rec.Standby.IsZero() {
		if h.leaseStart.IsZero() {
			return time.Time{}
		}
		return earlier(deadline, h.leaseStart.Add(h.timing.LeaseDuration))
	}
	if h.replacing != nil {
		// The new standby may learn of its role at any time after the write was
		// sent, and its lease grace starts then.
		return earlier(deadline, h.replacing.sentAt.Add(h.timing.LeaseDuration))
	}
	return deadline
}

// NextTick returns when Tick must be called, or zero when only an input can
// cause an action.
func (h *Holder) NextTick() time.Time {
	var next time.Time
	if !h.renewing && h.replacing == nil {
		next = h.nextRenewal
	}
	if !h.rec.Standby.IsZero() {
		next = earlierNonZero(next, h.nextHeartbeat)
	}
	if h.canReplace() {
		next = earlierNonZero(next, h.replaceDue())
	}
	return next
}

// canReplace reports whether a replacement of the standby can be sent. A holder
// that did not write its record itself renews the row first: the renewal stores
// whether its copy of the journal is complete, which a later takeover relies on.
func (h *Holder) canReplace() bool {
	return h.replacing == nil && !h.rowWriteSentAt.IsZero()
}

// replaceDue returns when the standby must be replaced unless it acks before.
func (h *Holder) replaceDue() time.Time {
	if h.replaceRequested || h.rec.Standby.IsZero() {
		return h.nextReplace
	}
	return later(h.nextReplace, h.lastAckAt.Add(h.timing.StandbyTimeout))
}

// Tick returns the actions that are due at the given time.
func (h *Holder) Tick(now time.Time) []Action {
	var actions []Action
	if h.canReplace() && !now.Before(h.replaceDue()) {
		h.replacing = &replacement{sentAt: now}
		actions = append(actions, ReplaceStandby{RemoveOnly: h.unackedStandbys >= maxUnackedStandbys && !h.rec.Standby.IsZero()})
	}
	if !h.rec.Standby.IsZero() && !now.Before(h.nextHeartbeat) {
		actions = append(actions, h.heartbeat(now))
	}
	if !h.renewing && h.replacing == nil && !now.Before(h.nextRenewal) {
		h.renewing = true
		h.renewSentAt = now
		actions = append(actions, RenewRow{})
	}
	return actions
}

// heartbeat numbers a heartbeat and records its send time.
// heartbeat numbers a heartbeat and records its send time.
func (h *Holder) heartbeat(now time.Time) Action {
	h.seq++
	h.sent[h.seq%sentHistory] = sentHeartbeat{seq: h.seq, at: now}
	h.nextHeartbeat = now.Add(h.timing.HeartbeatInterval)
	return SendHeartbeat{Heartbeat{
		Service:            h.service,
		GroupID:            h.groupID,
		Generation:         h.rec.Generation,
		RowVersion:         h.rec.Version,
		Seq:                h.seq,
		HolderName:         h.rec.Holder.Name,
		HolderIncarnation:  h.rec.Holder.Incarnation,
		StandbyIncarnation: h.rec.Standby.Incarnation,
	}}
}

// Ack handles an ack of the standby and reports whether it was counted for the
// lease. Acks of another generation, another process or an unknown heartbeat are
// ignored. Acks that arrive during a replacement are counted only if the
// replacement provably did not take effect.
func (h *Holder) Ack(now time.Time, a Ack) bool {
	from := Node{Name: a.StandbyName, Incarnation: a.StandbyIncarnation}
	if a.Generation != h.rec.Generation || from != h.rec.Standby || a.HolderIncarnation != h.rec.Holder.Incarnation {
		return false
	}
	sent := h.sent[a.Seq%sentHistory]
	if sent.seq != a.Seq || a.Seq == 0 {
		return false
	}
	// A standby whose acks arrive too late to extend the lease cannot keep the
	// lease alive, so a late ack does not count as a sign of life.
	if !now.Before(sent.at.Add(h.timing.LeaseDuration)) {
		return false
	}
	if h.replacing != nil {
		h.replacing.leaseStart = later(h.replacing.leaseStart, sent.at)
		h.replacing.lastAckAt = now
		return false
	}
	h.leaseStart = later(h.leaseStart, sent.at)
	h.lastAckAt = now
	h.unackedStandbys = 0
	h.replaceBackoff.reset()
	return true
}

// RequestReplacement makes the next Tick replace the standby although it still
// acks heartbeats, because it is about to leave.
func (h *Holder) RequestReplacement(now time.Time) {
	h.replaceRequested = true
	h.nextReplace = now
}

// ReplaceDone handles the outcome of a replacement: applied is true if the write
// took effect and made the record rec, and false if it provably did not take
// effect and no longer can.
func (h *Holder) ReplaceDone(now time.Time, applied bool, rec Record) {
	r := h.replacing
	if r == nil {
		return
	}
	h.replacing = nil
	if !applied {
		h.leaseStart = later(h.leaseStart, r.leaseStart)
		h.lastAckAt = later(h.lastAckAt, r.lastAckAt)
		h.nextReplace = now.Add(h.replaceBackoff.next())
		return
	}
	h.rec = rec
	// The old standby can no longer take over, and the new one learned of its
	// role after the write was sent.
	h.leaseStart = r.sentAt
	h.lastAckAt = now
	h.sent = [sentHistory]sentHeartbeat{}
	h.nextHeartbeat = now
	h.replaceRequested = false
	h.nextReplace = now
	if rec.Standby.IsZero() {
		h.nextReplace = now.Add(h.replaceBackoff.next())
	} else {
		h.unackedStandbys++
	}
	h.rowWritten(r.sentAt)
}

// RowRenewed handles the result of a row renewal: applied is true if the write
// took effect and made the record rec, and false if it failed.
func (h *Holder) RowRenewed(now time.Time, applied bool, rec Record) {
	if !h.renewing {
		return
	}
	h.renewing = false
	if !applied {
		h.nextRenewal = now.Add(h.renewBackoff.next())
		return
	}
	h.renewBackoff.reset()
	h.rowWritten(h.renewSentAt)
	h.Update(rec)
}

// rowWritten records a successful write of the row that was sent at sentAt.
func (h *Holder) rowWritten(sentAt time.Time) {
	h.rowWriteSentAt = later(h.rowWriteSentAt, sentAt)
	h.nextRenewal = h.rowWriteSentAt.Add(h.timing.RowRenewInterval)
}

// Update adopts the version of a newer row with the same lease.
func (h *Holder) Update(rec Record) {
	if rec.SameLease(h.rec) && rec.Version > h.rec.Version {
		h.rec.Version = rec.Version
	}
}
