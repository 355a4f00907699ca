package lease

import "time"

// sentKept is the number of sent heartbeats whose sending times are kept. At
// the default timing a lease spans four heartbeats.
const sentKept = 16

// maxTouchPause is the longest pause between touches that failed. It keeps the
// retries of 1,560 groups near 100 a second during a store outage, and the
// first touch after an outage comes soon enough for the horizon.
const maxTouchPause = 15 * time.Second

// maxUnanswered is the number of new standbys in a row that may fail to answer.
// Then the group goes on under the horizon alone, because a replacement every
// 250 ms in a zone that is cut off would exceed the store's writes.
const maxUnanswered = 3

// HolderOptions configure a Holder.
type HolderOptions struct {
	Timing  Timing
	Service string
	GroupID string
	// Record is the row that names this process as the holder.
	Record Record
	// WriteSentAt is when this process began to send the write that made the
	// record, or zero when it learned the record in another way. From a write
	// of its own the holder may serve at once: nobody can know the record
	// earlier, so the standby's promise ends later than the holder's lease.
	WriteSentAt time.Time
	Now         time.Time
}

// Holder is the holder's side of one group's lease.
type Holder struct {
	timing  Timing
	service string
	groupID string
	rec     Record

	// leaseBase is the sending time of the newest counted heartbeat, or of the
	// write that made the generation.
	leaseBase time.Time
	// touchBase is the sending time of the newest successful write of the row.
	touchBase time.Time
	// heard is when the newest useful answer arrived.
	heard time.Time

	seq      uint64
	sent     [sentKept]sentHeartbeat
	nextBeat time.Time

	touching  bool
	touchSent time.Time
	nextTouch time.Time
	touchWait backoff

	replacing   *replacement
	wanted      bool
	nextReplace time.Time
	replaceWait backoff
	// unanswered counts the new standbys since the last counted answer.
	unanswered int
}

type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// replacement is a write of another standby whose outcome is not known.
type replacement struct {
	sentAt time.Time
	// leaseBase and heard collect the old standby's answers. They count only
	// once the write is known not to have taken effect.
	leaseBase time.Time
	heard     time.Time
}

// NewHolder returns the machine for a group whose row names this process as
// the holder.
func NewHolder(o HolderOptions) *Holder {
	h := &Holder{
		timing:      o.Timing,
		service:     o.Service,
		groupID:     o.GroupID,
		rec:         o.Record,
		leaseBase:   o.WriteSentAt,
		touchBase:   o.WriteSentAt,
		heard:       o.Now,
		nextBeat:    o.Now,
		nextTouch:   o.Now,
		nextReplace: o.Now,
		touchWait:   backoff{first: o.Timing.RetryDelay, limit: min(o.Timing.RowRenewInterval, maxTouchPause)},
		replaceWait: backoff{first: o.Timing.RetryDelay, limit: o.Timing.MaxRetryDelay},
	}
	if !o.WriteSentAt.IsZero() {
		h.nextTouch = o.WriteSentAt.Add(o.Timing.RowRenewInterval)
	}
	return h
}

// Record returns the record under which the machine runs.
func (h *Holder) Record() Record {
	return h.rec
}

// Replacing reports whether the outcome of a replacement is open.
func (h *Holder) Replacing() bool {
	return h.replacing != nil
}

// Until returns the end of the lease; zero when there is none. A single
// request must not be permitted for longer than the lease duration even when
// the lease runs longer, because a group without a standby may get one.
func (h *Holder) LeaseEnd() time.Time {
	if h.touchBase.IsZero() {
		return time.Time{}
	}
	horizon := h.touchBase.Add(h.timing.RenewDeadline)
	if !h.rec.Standby.IsZero() {
		if h.leaseBase.IsZero() {
			return time.Time{}
		}
		return earlier(horizon, h.leaseBase.Add(h.timing.LeaseDuration))
	}
	if h.replacing != nil {
		// The new standby may know its role and promise from this moment on.
		return earlier(horizon, h.replacing.sentAt.Add(h.timing.LeaseDuration))
	}
	return horizon
}

// Next returns when Tick has something to do; zero when it waits for an input.
func (h *Holder) NextTick() time.Time {
	var next time.Time
	if !h.touching && h.replacing == nil {
		next = h.nextTouch
	}
	if !h.rec.Standby.IsZero() {
		next = soonest(next, h.nextBeat)
	}
	if h.mayReplace() {
		next = soonest(next, h.replaceAt())
	}
	return next
}

// mayReplace reports whether a replacement can be sent. A holder that learned
// of its role touches the row first: the touch records whether its copy of the
// journal is complete, which a later takeover relies on.
func (h *Holder) mayReplace() bool {
	return h.replacing == nil && !h.touchBase.IsZero()
}

// replaceAt returns when the standby is to be replaced unless an answer comes
// before.
func (h *Holder) replaceAt() time.Time {
	if h.wanted || h.rec.Standby.IsZero() {
		return h.nextReplace
	}
	return later(h.nextReplace, h.heard.Add(h.timing.StandbyTimeout))
}

// Tick does what is due.
func (h *Holder) Tick(now time.Time) []Action {
	var actions []Action
	if h.mayReplace() && !now.Before(h.replaceAt()) {
		h.replacing = &replacement{sentAt: now}
		actions = append(actions, ReplaceStandby{RemoveOnly: h.unanswered >= maxUnanswered && !h.rec.Standby.IsZero()})
	}
	if !h.rec.Standby.IsZero() && !now.Before(h.nextBeat) {
		actions = append(actions, h.beat(now))
	}
	if !h.touching && h.replacing == nil && !now.Before(h.nextTouch) {
		h.touching = true
		h.touchSent = now
		actions = append(actions, RenewRow{})
	}
	return actions
}

func (h *Holder) beat(now time.Time) Action {
	h.seq++
	h.sent[h.seq%sentKept] = sentHeartbeat{seq: h.seq, at: now}
	h.nextBeat = now.Add(h.timing.HeartbeatInterval)
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

// Ack takes in an answer. It returns whether the answer was counted for the
// lease; an answer of another generation, process or heartbeat is not.
func (h *Holder) Ack(now time.Time, a Ack) bool {
	from := Node{Name: a.StandbyName, Incarnation: a.StandbyIncarnation}
	if a.Generation != h.rec.Generation || from != h.rec.Standby || a.HolderIncarnation != h.rec.Holder.Incarnation {
		return false
	}
	sent := h.sent[a.Seq%sentKept]
	if sent.seq != a.Seq || a.Seq == 0 {
		return false
	}
	// An answer too late to extend the lease does not show that the standby
	// can keep it up.
	if !now.Before(sent.at.Add(h.timing.LeaseDuration)) {
		return false
	}
	if h.replacing != nil {
		h.replacing.leaseBase = later(h.replacing.leaseBase, sent.at)
		h.replacing.heard = now
		return false
	}
	h.leaseBase = later(h.leaseBase, sent.at)
	h.heard = now
	h.unanswered = 0
	h.replaceWait.reset()
	return true
}

// RequestReplacement makes the next Tick replace the standby although it
// answers, because it is about to leave.
func (h *Holder) RequestReplacement(now time.Time) {
	h.wanted = true
	h.nextReplace = now
}

// ReplaceDone reports that a replacement took effect with the given record,
// or is known not to have taken effect and not to do so later.
func (h *Holder) ReplaceDone(now time.Time, applied bool, rec Record) {
	r := h.replacing
	if r == nil {
		return
	}
	h.replacing = nil
	if !applied {
		h.leaseBase = later(h.leaseBase, r.leaseBase)
		h.heard = later(h.heard, r.heard)
		h.nextReplace = now.Add(h.replaceWait.next())
		return
	}
	h.rec = rec
	// The old standby cannot take over any more, and the new one knows of its
	// role no earlier than the write was sent.
	h.leaseBase = r.sentAt
	h.heard = now
	h.sent = [sentKept]sentHeartbeat{}
	h.nextBeat = now
	h.wanted = false
	h.nextReplace = now
	if rec.Standby.IsZero() {
		h.nextReplace = now.Add(h.replaceWait.next())
	} else {
		h.unanswered++
	}
	h.written(r.sentAt)
}

// RowRenewed reports that a touch took effect with the given record, or that
// it failed.
func (h *Holder) RowRenewed(now time.Time, applied bool, rec Record) {
	if !h.touching {
		return
	}
	h.touching = false
	if !applied {
		h.nextTouch = now.Add(h.touchWait.next())
		return
	}
	h.touchWait.reset()
	h.written(h.touchSent)
	h.Update(rec)
}

// written notes a successful write of the row that was sent at the time.
func (h *Holder) written(sentAt time.Time) {
	h.touchBase = later(h.touchBase, sentAt)
	h.nextTouch = h.touchBase.Add(h.timing.RowRenewInterval)
}

// Update takes in a newer row version of the same lease.
func (h *Holder) Update(rec Record) {
	if rec.SameLease(h.rec) && rec.Version > h.rec.Version {
		h.rec.Version = rec.Version
	}
}
