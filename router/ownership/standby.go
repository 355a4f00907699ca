package ownership

import (
	"context"
	"errors"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/lease"
)

// standbyRole is a group for which this host is the standby.
type standbyRole struct {
	// rec has version 0 while the group is known only from heartbeats.
	rec      Group
	machine  *lease.Standby
	fetching bool
	// nextFetch is the earliest time of the next fetch. It limits the rate of
	// reads while the store is unavailable.
	nextFetch time.Time
}

// reconcileStandby starts, updates or ends this host's standby role in a group
// according to the record g.
func (m *Manager) reconcileStandby(now time.Time, key string, g Group) {
	role := m.standbys[key]
	// A heartbeat can carry a newer generation than the newest known record.
	if role != nil && role.machine.Record().Generation > g.Generation {
		return
	}
	if !g.Standby.SameProcess(m.o.Self) || g.Holder.SameProcess(m.o.Self) {
		delete(m.standbys, key)
		return
	}
	if role != nil && role.machine.Record().SameLease(leaseRecord(g)) {
		role.rec = g
		role.machine.Update(leaseRecord(g))
		return
	}
	m.newStandby(now, g)
}

func (m *Manager) newStandby(now time.Time, g Group) *standbyRole {
	role := &standbyRole{
		rec: g,
		machine: lease.NewStandby(lease.StandbyOptions{
			Timing:       m.o.Timing,
			UpstreamWait: m.upstreamWait(g.Service),
			Service:      g.Service,
			GroupID:      g.ID,
			Self:         m.self,
			Record:       leaseRecord(g),
			Now:          now,
		}),
	}
	m.standbys[g.Key()] = role
	return role
}

// HandleHeartbeat handles a heartbeat of a holder.
func (m *Manager) HandleHeartbeat(hb lease.Heartbeat) {
	if hb.StandbyIncarnation != m.o.Self.Incarnation {
		return
	}
	m.lock()
	defer m.unlock()
	now := time.Now()
	key := GroupKey(hb.Service, hb.GroupID)
	newest, known := m.newest[key]
	if known && contradicts(newest, hb, m.o.Self) {
		return
	}
	if m.held[key] != nil {
		// The row has a newer generation than the one that this host holds.
		m.dropHolder(key)
		m.log(evHolderChanged, newest)
	}
	role := m.standbys[key]
	if role == nil {
		role = m.newStandby(now, m.recordFrom(hb))
		m.wakeUp()
	}
	actions := role.machine.Heartbeat(now, hb)
	if lr := role.machine.Record(); lr.Generation > role.rec.Generation {
		role.rec = m.recordFrom(hb)
		m.wakeUp()
	}
	m.standbyActions(role, actions)
	if role.rec.Version < hb.RowVersion {
		m.fetch(now, role)
	}
}

// contradicts reports whether the newest known record proves that the heartbeat
// belongs to an old lease, or that this host is not the standby of its lease.
func contradicts(newest Group, hb lease.Heartbeat, self Host) bool {
	if newest.Generation != hb.Generation {
		return newest.Generation > hb.Generation
	}
	sender := newest.Holder.Name == hb.HolderName && newest.Holder.Incarnation == hb.HolderIncarnation
	return !sender || !newest.Standby.SameProcess(self)
}

// recordFrom returns the fields of a group's record that a heartbeat carries. The
// version is 0 because the record is incomplete.
func (m *Manager) recordFrom(hb lease.Heartbeat) Group {
	return Group{
		Service:    hb.Service,
		ID:         hb.GroupID,
		Generation: hb.Generation,
		Holder:     m.findHost(hb.HolderName, hb.HolderIncarnation),
		Standby:    m.o.Self,
	}
}

// findHost returns the host with its addresses if a known record has them, else
// without addresses.
func (m *Manager) findHost(name string, incarnation uint64) Host {
	want := Host{Name: name, Incarnation: incarnation}
	for _, g := range m.newest {
		if g.Holder.SameProcess(want) {
			return g.Holder
		}
		if g.Standby.SameProcess(want) {
			return g.Standby
		}
	}
	return want
}

// fetch reads the row of a role whose record is older than the row.
func (m *Manager) fetch(now time.Time, role *standbyRole) {
	if role.fetching || now.Before(role.nextFetch) {
		return
	}
	role.fetching = true
	role.nextFetch = now.Add(m.o.Timing.MaxRetryDelay)
	service, id := role.rec.Service, role.rec.ID
	m.background(func(ctx context.Context) {
		g, err := m.o.Records.Get(ctx, service, id)
		m.lock()
		defer m.unlock()
		role.fetching = false
		if err == nil {
			m.adopt(g)
		}
	})
}

// standbyActions carries out the actions of a standby's state machine.
func (m *Manager) standbyActions(role *standbyRole, actions []lease.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendAck:
			ack, to := a.Ack, role.rec.Holder
			ack.NoteVersion = m.noteVersion()
			m.afterUnlock = append(m.afterUnlock, func() { m.o.Network.SendAck(to, ack) })
		case lease.ReadRow:
			service, id := role.rec.Service, role.rec.ID
			m.background(func(ctx context.Context) { m.readRow(ctx, role, service, id) })
		case lease.TakeOver:
			base := role.rec
			m.background(func(ctx context.Context) { m.takeOver(ctx, role, base) })
		}
	}
}

// readRow reads the row before a takeover, adopts it and reports it to the state
// machine.
func (m *Manager) readRow(ctx context.Context, role *standbyRole, service, id string) {
	g, err := m.o.Records.Get(ctx, service, id)
	m.lock()
	defer m.unlock()
	key := GroupKey(service, id)
	if m.standbys[key] != role {
		return
	}
	if errkind.Is(err, errkind.NotFound) {
		m.removeGroup(key)
		return
	}
	if err == nil {
		m.adopt(g)
	}
	if m.standbys[key] != role {
		return
	}
	m.standbyActions(role, role.machine.RowRead(time.Now(), err == nil, leaseRecord(g)))
	m.wakeUp()
}

// takeOver writes the takeover and retries until it takes effect, its outcome is
// unknown, the row has another lease or the role has ended.
func (m *Manager) takeOver(ctx context.Context, role *standbyRole, base Group) {
	complete := m.freezeJournal(base, base.Generation)
	delay := m.o.Timing.RetryDelay
	for {
		next := m.pickStandby(base.Service, base.Holder.Name)
		sentAt := time.Now()
		g, err := m.o.Records.TakeOver(ctx, base, next, complete)
		if m.takeoverDone(role, base, g, sentAt, err) {
			return
		}
		if sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, m.o.Timing.MaxRetryDelay)
	}
}

// takeoverDone handles the outcome of a takeover and reports whether the takeover
// is finished. A write that the store refused is repeated while this host has the
// standby role.
func (m *Manager) takeoverDone(role *standbyRole, base, g Group, sentAt time.Time, err error) bool {
	m.lock()
	defer m.unlock()
	if err == nil {
		m.countTakeover("standby", base.Service)
		m.log(evTookOver, g)
		m.installWritten(g, sentAt)
		return true
	}
	m.logFailure(base, err)
	if errkind.Is(err, errkind.OutcomeUnknown) {
		return true
	}
	if errkind.Is(err, errkind.Conflict) {
		m.adoptResult(base, g, err)
		return true
	}
	return m.standbys[base.Key()] != role || !role.machine.TakeoverStarted()
}

// DeclareLost takes over a group whose holder and standby an operator has
// declared to be down. Errors have the kind NotFound, Conflict, StoreUnavailable
// or OutcomeUnknown.
func (m *Manager) DeclareLost(ctx context.Context, service, groupID string) (Group, error) {
	base, err := m.o.Records.Get(ctx, service, groupID)
	if err != nil {
		return Group{}, err
	}
	if base.Holder.SameProcess(m.o.Self) {
		return Group{}, errkind.New(errkind.Conflict, "this host holds group %s", base.Key())
	}
	next := m.pickStandby(service, base.Holder.Name, base.Standby.Name)
	sentAt := time.Now()
	g, err := m.o.Records.DeclareLost(ctx, base, m.o.Self, next)
	if err != nil {
		m.lock()
		defer m.unlock()
		var unknown *UnknownError
		if !errors.As(err, &unknown) {
			m.adoptResult(base, Group{}, err)
		}
		return Group{}, err
	}
	// This host's copy of the journal is not used, so it is frozen only now: if
	// the takeover fails, the group may still be alive and need the journal of its
	// standby.
	m.freezeJournal(base, base.Generation)
	m.startAfterTakeover(evDeclaredLost, "declared", g, sentAt)
	return g, nil
}

// startAfterTakeover logs and counts a takeover without the journal of the old
// holder, and starts the holder role.
func (m *Manager) startAfterTakeover(e event.Event, how string, g Group, sentAt time.Time) {
	m.lock()
	defer m.unlock()
	m.countTakeover(how, g.Service)
	m.log(e, g)
	m.installWritten(g, sentAt)
}
