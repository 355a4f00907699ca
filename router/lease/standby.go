package lease

import "time"

// StandbyOptions configure a Standby.
type StandbyOptions struct {
	Timing Timing
	// UpstreamWait is added before a takeover: the time that work may run at the
	// holder's upstream after the end of the lease. It is 0 for fenced
	// upstreams, the run limit for deadline upstreams and the settle time for
	// plain ones.
	UpstreamWait time.Duration
	Service      string
	GroupID      string
	Self         Node
	// Record is the row, or what a heartbeat says about it, that names this
	// process as the standby.
	Record Record
	// Now is when this process learned of its role; the promise starts here.
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

	// promiseEnd is the time before which this process must not take over.
	promiseEnd time.Time
	reading    bool
	nextRead   time.Time
	readWait   backoff
	// begun is set from the start of a takeover of this generation. From then
	// on no heartbeat of the generation is answered.
	begun bool
}

// NewStandby returns the machine for a group whose row names this process as
// the standby.
func NewStandby(o StandbyOptions) *Standby {
	return &Standby{
		timing:       o.Timing,
		upstreamWait: o.UpstreamWait,
		service:      o.Service,
		groupID:      o.GroupID,
		self:         o.Self,
		rec:          o.Record,
		promiseEnd:   o.Now.Add(o.Timing.TakeoverGrace()),
		readWait:     backoff{first: o.Timing.RetryDelay, limit: o.Timing.MaxRetryDelay},
	}
}

// Record returns the record under which the machine runs.
func (s *Standby) Record() Record {
	return s.rec
}

// TakeoverStarted reports whether a takeover of the generation has begun.
func (s *Standby) TakeoverStarted() bool {
	return s.begun
}

// SetUpstreamWait changes the extra wait after a change of the service's
// definition.
func (s *Standby) SetUpstreamWait(d time.Duration) {
	s.upstreamWait = d
}

// EarliestTakeover returns the earliest time of a takeover as things stand.
func (s *Standby) EarliestTakeover() time.Time {
	return s.promiseEnd.Add(s.upstreamWait)
}

// Next returns when Tick has something to do; zero when it waits for an input.
func (s *Standby) NextTick() time.Time {
	if s.begun || s.reading {
		return time.Time{}
	}
	return later(s.EarliestTakeover(), s.nextRead)
}

// Heartbeat takes in a heartbeat. It is answered when it names this process,
// does not contradict a newer record and no takeover of its generation has
// begun.
func (s *Standby) Heartbeat(now time.Time, hb Heartbeat) []Action {
	holder := Node{Name: hb.HolderName, Incarnation: hb.HolderIncarnation}
	if hb.StandbyIncarnation != s.self.Incarnation || hb.Generation < s.rec.Generation {
		return nil
	}
	if hb.Generation > s.rec.Generation {
		// The row has moved past the known generation, so a takeover of the
		// latter can no longer be in force.
		s.rec = Record{Generation: hb.Generation, Version: hb.RowVersion, Holder: holder, Standby: s.self}
		s.begun = false
		s.reading = false
	}
	if holder != s.rec.Holder || s.begun {
		return nil
	}
	s.rec.Version = max(s.rec.Version, hb.RowVersion)
	s.promiseEnd = now.Add(s.timing.TakeoverGrace())
	s.readWait.reset()
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

// Update takes in a newer row version of the same lease.
func (s *Standby) Update(rec Record) {
	if rec.SameLease(s.rec) && rec.Version > s.rec.Version {
		s.rec.Version = rec.Version
	}
}

// Tick asks for the row when the promise and the extra wait have passed. The
// row is read first so that a standby that cannot reach the store does not
// stop answering: a store outage together with a short silence would
// otherwise end the lease until the store is back.
func (s *Standby) Tick(now time.Time) []Action {
	if s.begun || s.reading || now.Before(s.NextTick()) {
		return nil
	}
	s.reading = true
	return []Action{ReadRow{}}
}

// RowRead reports the row that was read, or that it could not be read. The
// takeover begins when the row still has the known lease and no heartbeat
// arrived in the meantime. A row with another lease is for the driver to
// follow.
func (s *Standby) RowRead(now time.Time, ok bool, rec Record) []Action {
	if !s.reading {
		return nil
	}
	s.reading = false
	if !ok {
		s.nextRead = now.Add(s.readWait.next())
		return nil
	}
	if now.Before(s.EarliestTakeover()) {
		return nil
	}
	if !rec.SameLease(s.rec) {
		s.nextRead = now.Add(s.readWait.next())
		return nil
	}
	s.begun = true
	s.rec = rec
	return []Action{TakeOver{Record: rec}}
}
