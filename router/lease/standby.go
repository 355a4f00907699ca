package lease

import "time"

// StandbyOptions configure a Standby.
type StandbyOptions struct {
	Timing Timing
	// UpstreamWait is how long requests may still run at the holder's upstream
	// after the end of the lease; a takeover waits that much longer. It is 0 for
	// fenced upstreams, the run limit for deadline upstreams and the settle time
	// for plain ones.
	UpstreamWait time.Duration
	Service      string
	GroupID      string
	Self         Node
	// Record is the row that names this process as the standby, or the fields of
	// it that a heartbeat carries.
	Record Record
	// Now is when this process learned of its role; the lease grace starts then.
	Now time.Time
}

// Standby is the standby's side of one group's lease.
type Standby struct {
	timing       Timing
	upstreamWait time.Duration
	service      string
	groupID      string
	self         Node
	rec          Record

	// graceEnd is the end of the lease grace; this process must not take over
	// before it.
	graceEnd       time.Time
	rowReadPending bool
	nextRead       time.Time
	readBackoff    backoff
	// takeoverStarted is true from the start of a takeover of this generation.
	// From then on no heartbeat of the generation is acked.
	takeoverStarted bool
}

// NewStandby returns a state machine for a group whose row names this process as
// the standby.
func NewStandby(o StandbyOptions) *Standby {
	return &Standby{
		timing:       o.Timing,
		upstreamWait: o.UpstreamWait,
		service:      o.Service,
		groupID:      o.GroupID,
		self:         o.Self,
		rec:          o.Record,
		graceEnd:     o.Now.Add(o.Timing.TakeoverGrace()),
		readBackoff:  backoff{initial: o.Timing.RetryDelay, limit: o.Timing.MaxRetryDelay},
	}
}

// Record returns the record that the state machine works with.
func (s *Standby) Record() Record {
	return s.rec
}

// TakeoverStarted reports whether a takeover of the current generation has
// started.
func (s *Standby) TakeoverStarted() bool {
	return s.takeoverStarted
}

// SetUpstreamWait changes the upstream wait after a change of the service's
// definition.
func (s *Standby) SetUpstreamWait(d time.Duration) {
	s.upstreamWait = d
}

// EarliestTakeover returns the earliest time of a takeover if no further
// heartbeat arrives.
func (s *Standby) EarliestTakeover() time.Time {
	return s.graceEnd.Add(s.upstreamWait)
}

// NextTick returns when Tick must be called, or zero when only an input can
// cause an action.
func (s *Standby) NextTick() time.Time {
	if s.takeoverStarted || s.rowReadPending {
		return time.Time{}
	}
	return later(s.EarliestTakeover(), s.nextRead)
}

// Heartbeat handles a heartbeat of the holder. It is acked if it is addressed to
// this process, does not contradict a newer record and no takeover of its
// generation has started.
func (s *Standby) Heartbeat(now time.Time, hb Heartbeat) []Action {
	holder := Node{Name: hb.HolderName, Incarnation: hb.HolderIncarnation}
	if hb.StandbyIncarnation != s.self.Incarnation || hb.Generation < s.rec.Generation {
		return nil
	}
	if hb.Generation > s.rec.Generation {
		// The row has a newer generation than the known one, so a takeover of the
		// known generation can no longer succeed.
		s.rec = Record{Generation: hb.Generation, Version: hb.RowVersion, Holder: holder, Standby: s.self}
		s.takeoverStarted = false
		s.rowReadPending = false
	}
	if holder != s.rec.Holder || s.takeoverStarted {
		return nil
	}
	s.rec.Version = max(s.rec.Version, hb.RowVersion)
	s.graceEnd = now.Add(s.timing.TakeoverGrace())
	s.readBackoff.reset()
	return []Action{SendAck{Ack{
		Service:            s.service,
		GroupID:            s.groupID,
		Generation:         hb.Generation,
		Seq:                hb.Seq,
		HolderIncarnation:  hb.HolderIncarnation,
		StandbyName:        s.self.Name,
		StandbyIncarnation: s.self.Incarnation,
	}}}
}

// Update adopts the version of a newer row with the same lease.
func (s *Standby) Update(rec Record) {
	if rec.SameLease(s.rec) && rec.Version > s.rec.Version {
		s.rec.Version = rec.Version
	}
}

// Tick requests a read of the row when the lease grace and the upstream wait
// have passed. The row is read before the takeover starts so that a standby that
// cannot reach the store continues to ack heartbeats. Otherwise a store outage
// combined with a short loss of heartbeats would end the lease until the store
// is back.
func (s *Standby) Tick(now time.Time) []Action {
	if s.takeoverStarted || s.rowReadPending || now.Before(s.NextTick()) {
		return nil
	}
	s.rowReadPending = true
	return []Action{ReadRow{}}
}

// RowRead handles the result of a read of the row; ok is false if it failed. The
// takeover starts if the row still has the known lease and no heartbeat arrived
// in the meantime. The driver must act on a row with another lease.
func (s *Standby) RowRead(now time.Time, ok bool, rec Record) []Action {
	if !s.rowReadPending {
		return nil
	}
	s.rowReadPending = false
	if !ok {
		s.nextRead = now.Add(s.readBackoff.next())
		return nil
	}
	if now.Before(s.EarliestTakeover()) {
		return nil
	}
	if !rec.SameLease(s.rec) {
		s.nextRead = now.Add(s.readBackoff.next())
		return nil
	}
	s.takeoverStarted = true
	s.rec = rec
	return []Action{TakeOver{Record: rec}}
}
