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
	// nextFetch spaces reads of the row while the store does not answer.
	nextFetch time.Time
}

func (m *Manager) reconcileStandby(now time.Time, key string, g Group) {
	role := m.standbys[key]
	// A heartbeat can be ahead of the records.
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

// HandleHeartbeat takes in a heartbeat from a holder.
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
		// The row has moved past the generation that is held here.
		m.dropHolder(key)
		m.log(evLost, newest)
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

// contradicts reports whether the known record proves that the heartbeat comes
// from a lease that is over, or that this host is not its standby.
func contradicts(newest Group, hb lease.Heartbeat, self Host) bool {
	if newest.Generation != hb.Generation {
		return newest.Generation > hb.Generation
	}
	sender := newest.Holder.Name == hb.HolderName && newest.Holder.Incarnation == hb.HolderIncarnation
	return !sender || !newest.Standby.SameProcess(self)
}

// recordFrom returns what a heartbeat says about a group. The version is 0
// because the record is incomplete.
func (m *Manager) recordFrom(hb lease.Heartbeat) Group {
	return Group{
		Service:    hb.Service,
		ID:         hb.GroupID,
		Generation: hb.Generation,
		Holder:     m.findHost(hb.HolderName, hb.HolderIncarnation),
		Standby:    m.o.Self,
	}
}

// findHost returns the addresses of a host when a record has them.
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

// fetch reads a row that is newer than the known record.
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

func (m *Manager) standbyActions(role *standbyRole, actions []lease.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendAck:
			answer, to := a.Ack, role.rec.Holder
			answer.NoteVersion = m.noteVersion()
			m.after = append(m.after, func() { m.o.Network.SendAck(to, answer) })
		case lease.ReadRow:
			service, id := role.rec.Service, role.rec.ID
			m.background(func(ctx context.Context) { m.readRow(ctx, role, service, id) })
		case lease.TakeOver:
			base := role.rec
			m.background(func(ctx context.Context) { m.takeOver(ctx, role, base) })
		}
	}
}

// readRow reads the row before a takeover and follows it.
func (m *Manager) readRow(ctx context.Context, role *standbyRole, service, id string) {
	g, err := m.o.Records.Get(ctx, service, id)
	m.lock()
	defer m.unlock()
	key := GroupKey(service, id)
	if m.standbys[key] != role {
		return
	}
	if errkind.Is(err, errkind.NotFound) {
		m.forget(key)
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

// takeOver writes the takeover until it took effect or the row has moved on.
func (m *Manager) takeOver(ctx context.Context, role *standbyRole, base Group) {
	complete := m.freezeJournal(base, base.Generation)
	pause := m.o.Timing.RetryDelay
	for {
		next := m.pickStandby(base.Service, base.Holder.Name)
		sentAt := time.Now()
		g, err := m.o.Records.TakeOver(ctx, base, next, complete)
		if m.takenOver(role, base, g, sentAt, err) {
			return
		}
		if sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, m.o.Timing.MaxRetryDelay)
	}
}

// takenOver follows the outcome of a takeover and reports whether it is over.
// A write that the store refused is repeated while the role lasts.
func (m *Manager) takenOver(role *standbyRole, base, g Group, sentAt time.Time, err error) bool {
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

// waitedTakeOver takes over a group whose row did not change for the horizon.
func (m *Manager) waitedTakeOver(ctx context.Context, base Group) {
	current, err := m.o.Records.Get(ctx, base.Service, base.ID)
	if err == nil && current.Version == base.Version {
		sentAt := time.Now()
		var g Group
		next := m.pickStandby(base.Service, base.Holder.Name, base.Standby.Name)
		g, err = m.o.Records.TakeOverExpired(ctx, base, m.o.Self, next)
		if err == nil {
			m.seized(evTookOverHorizon, "horizon", g, sentAt)
			return
		}
	}
	m.lock()
	defer m.unlock()
	switch {
	case err == nil:
		m.adopt(current)
	case errkind.Is(err, errkind.NotFound):
		m.forget(base.Key())
	case errkind.Is(err, errkind.Conflict):
		m.adoptResult(base, Group{}, err)
	case !errkind.Is(err, errkind.OutcomeUnknown):
		m.logFailure(base, err)
		m.waitAgain(base)
	}
}

// waitAgain schedules another attempt for the same row version.
func (m *Manager) waitAgain(base Group) {
	key := base.Key()
	if m.newest[key].Version != base.Version || m.waiters[key] != nil {
		return
	}
	now := time.Now()
	pause := time.Duration(float64(m.o.Timing.RenewDeadline) * waiterRetries)
	// The horizon has passed for this version already.
	w := lease.NewWatcher(lease.WatcherOptions{Version: base.Version, Now: now})
	w.Postpone(now.Add(pause))
	m.waiters[key] = &w
	m.wakeUp()
}

// DeclareLost takes over a group whose holder and standby are off according to
// an operator. Errors have the kind NotFound, Conflict, StoreUnavailable or
// OutcomeUnknown.
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
	// A copy that was kept here is not used, so it is frozen only now: when the
	// takeover fails, the group lives and still needs its standby's journal.
	m.freezeJournal(base, base.Generation)
	m.seized(evDeclaredLost, "declared", g, sentAt)
	return g, nil
}

// seized starts the holder's role after a takeover without the old holder's
// journal.
func (m *Manager) seized(e event.Event, how string, g Group, sentAt time.Time) {
	m.lock()
	defer m.unlock()
	m.countTakeover(how, g.Service)
	m.log(e, g)
	m.installWritten(g, sentAt)
}
