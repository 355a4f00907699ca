package ownership

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/lease"
)

// holderRole is a group that this host holds.
type holderRole struct {
	rec     Group
	machine *lease.Holder
	// until is the published end of the lease; each generation has its own.
	until *atomic.Int64
	// since is when this process began to count the idempotency window.
	since time.Time
	// blocked is set while the group is handed over: no permit is given.
	blocked bool
	// leaving is the standby that is about to stop and must not be chosen.
	leaving string
	lapsed  bool
}

func (m *Manager) reconcileHolder(now time.Time, key string, g Group) {
	role := m.held[key]
	if !g.Holder.SameProcess(m.o.Self) {
		if role != nil {
			m.dropHolder(key)
			m.count("groups_lost", g.Service)
			m.log(evLost, g)
		}
		return
	}
	switch {
	case role == nil:
		m.newHolder(now, g, time.Time{})
	case sameLease(role.rec, g):
		if !g.HolderSince.Equal(role.rec.HolderSince) {
			role.since = now
		}
		role.rec = g
		role.machine.Update(leaseRecord(g))
		m.rebuildIndex()
	case role.machine.Replacing():
		// This is a write of our own whose outcome is being settled.
	default:
		m.dropHolder(key)
		m.newHolder(now, g, time.Time{})
	}
}

// newHolder starts the holder's role. writeSentAt is when this process began to
// send the write that made the record, or zero.
func (m *Manager) newHolder(now time.Time, g Group, writeSentAt time.Time) {
	role := &holderRole{
		rec: g,
		machine: lease.NewHolder(lease.HolderOptions{
			Timing:      m.o.Timing,
			Service:     g.Service,
			GroupID:     g.ID,
			Record:      leaseRecord(g),
			WriteSentAt: writeSentAt,
			Now:         now,
		}),
		until: new(atomic.Int64),
		since: now,
	}
	m.held[g.Key()] = role
	m.publish(role)
	m.rebuildIndex()
}

// installWritten starts the holder's role under a record that this process
// wrote itself. It does nothing when the row is known to have moved on.
func (m *Manager) installWritten(g Group, sentAt time.Time) {
	key := g.Key()
	m.note(g)
	newest := m.newest[key]
	if !sameLease(newest, g) {
		m.reconcile(key)
		return
	}
	m.dropHolder(key)
	m.newHolder(time.Now(), newest, sentAt)
	m.reconcile(key)
}

func (m *Manager) dropHolder(key string) {
	role := m.held[key]
	if role == nil {
		return
	}
	role.until.Store(0)
	delete(m.held, key)
	m.rebuildIndex()
	m.signal()
}

func (m *Manager) rebuildIndex() {
	m.index.Store(newHeldIndex(m.held))
}

// publish makes the end of the lease visible to Permit.
func (m *Manager) publish(role *holderRole) {
	until := role.machine.LeaseEnd()
	if role.blocked || until.IsZero() {
		role.until.Store(0)
		return
	}
	role.until.Store(int64(until.Sub(m.epoch)))
}

func (m *Manager) tickHolder(now time.Time, role *holderRole) {
	actions := role.machine.Tick(now)
	// A replacement shortens the lease of a group without a standby. That must
	// be visible before the write is sent.
	m.publish(role)
	m.noteLapse(now, role)
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendHeartbeat:
			hb, to := a.Heartbeat, role.rec.Standby
			hb.NoteVersion = m.noteVersion()
			m.after = append(m.after, func() { m.o.Network.SendHeartbeat(to, hb) })
		case lease.RenewRow:
			base, mark := role.rec, m.journalMark(now, role)
			m.background(func(ctx context.Context) { m.touch(ctx, role, base, mark) })
		case lease.ReplaceStandby:
			base, leaving := role.rec, role.leaving
			m.background(func(ctx context.Context) { m.replace(ctx, role, base, leaving, a.RemoveOnly) })
		}
	}
}

// noteLapse logs the moment at which a held group stops being served.
func (m *Manager) noteLapse(now time.Time, role *holderRole) {
	until := role.machine.LeaseEnd()
	lapsed := !until.IsZero() && !now.Before(until)
	if lapsed && !role.lapsed {
		m.count("leases_lapsed", role.rec.Service)
		m.log(evLapsed, role.rec)
	}
	role.lapsed = lapsed
}

// journalMark tells a touch to declare the journal complete once this process
// has held the group for an idempotency window.
func (m *Manager) journalMark(now time.Time, role *holderRole) JournalUpdate {
	s, ok := m.o.Service(role.rec.Service)
	if ok && !role.rec.JournalComplete && now.Sub(role.since) >= s.IdempotencyWindow {
		return MarkJournalComplete
	}
	return JournalUnchanged
}

// judgeJournal is the mark of the first touch after a hand-over.
func (m *Manager) judgeJournal(base Group) JournalUpdate {
	if m.freezeJournal(base, base.Generation-1) {
		return MarkJournalComplete
	}
	return MarkJournalIncomplete
}

func (m *Manager) touch(ctx context.Context, role *holderRole, base Group, mark JournalUpdate) {
	if base.JournalUnverified {
		mark = m.judgeJournal(base)
	}
	g, err := m.o.Records.RenewRow(ctx, base, mark)
	m.lock()
	defer m.unlock()
	if m.held[base.Key()] != role {
		m.adoptResult(base, g, err)
		return
	}
	if err != nil {
		if !errkind.Is(err, errkind.OutcomeUnknown) {
			m.logFailure(base, err)
		}
		role.machine.RowRenewed(time.Now(), false, lease.Record{})
		m.adoptResult(base, g, err)
		m.wakeUp()
		return
	}
	m.adopt(g)
	role.machine.RowRenewed(time.Now(), true, leaseRecord(g))
	m.publish(role)
	m.wakeUp()
}

// adoptResult takes in the record that a write made or met.
func (m *Manager) adoptResult(base, g Group, err error) {
	if err == nil {
		m.adopt(g)
		return
	}
	if newest, ok := NewestFromError(err, base.Service, base.ID); ok {
		m.adopt(newest)
		return
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Deleted {
		m.forget(base.Key())
	}
}

func (m *Manager) logFailure(g Group, err error) {
	if errkind.Is(err, errkind.OutcomeUnknown) {
		m.log(evOutcomeUnknown, g, event.F("error", err.Error()))
		return
	}
	m.count("record_writes_failed", g.Service)
	m.log(evStoreFailed, g, event.F("error", err.Error()))
}

// replace writes another standby. It reports the end to the machine only when
// the outcome is known.
func (m *Manager) replace(ctx context.Context, role *holderRole, base Group, leaving string, none bool) {
	next := Host{}
	if !none {
		next = m.pickStandby(base.Service, base.Standby.Name, leaving)
	}
	if next.IsZero() && base.Standby.IsZero() {
		m.lock()
		defer m.unlock()
		role.machine.ReplaceDone(time.Now(), false, lease.Record{})
		m.publish(role)
		m.wakeUp()
		return
	}
	g, err := m.o.Records.ReplaceStandby(ctx, base, next)
	m.lock()
	defer m.unlock()
	if m.held[base.Key()] != role {
		m.adoptResult(base, g, err)
		return
	}
	if err != nil {
		m.replaceFailed(role, base, err)
		return
	}
	m.replaced(role, g)
}

func (m *Manager) replaceFailed(role *holderRole, base Group, err error) {
	m.logFailure(base, err)
	if errkind.Is(err, errkind.OutcomeUnknown) {
		return
	}
	var superseded *SupersededError
	if errors.As(err, &superseded) {
		// The write may have been in force, so the old standby's answers must
		// not count again. The newest row decides from scratch.
		m.dropHolder(base.Key())
	} else {
		role.machine.ReplaceDone(time.Now(), false, lease.Record{})
		m.publish(role)
	}
	m.adoptResult(base, Group{}, err)
	if _, known := m.newest[base.Key()]; known {
		m.reconcile(base.Key())
	}
	m.wakeUp()
}

func (m *Manager) replaced(role *holderRole, g Group) {
	m.note(g)
	role.machine.ReplaceDone(time.Now(), true, leaseRecord(g))
	role.rec = g
	role.until = new(atomic.Int64)
	role.leaving = ""
	m.publish(role)
	m.rebuildIndex()
	m.signal()
	m.count("standbys_replaced", g.Service)
	m.log(evReplaced, g)
	m.reconcile(g.Key())
}

// HandleAck takes in a standby's answer.
func (m *Manager) HandleAck(a lease.Ack) {
	m.lock()
	defer m.unlock()
	role := m.held[GroupKey(a.Service, a.GroupID)]
	if role != nil && role.machine.Ack(time.Now(), a) {
		m.publish(role)
	}
}

// ReplaceStandby replaces a leaving host as standby of all groups held here.
// It returns when no held group has that standby, or with the kind
// StoreUnavailable when the context ends before; the replacement then goes on.
func (m *Manager) ReplaceStandby(ctx context.Context, leavingHost string) error {
	for {
		left, changed := m.requestReplacement(leavingHost)
		if left == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.New(errkind.StoreUnavailable, "host %s is still the standby of %d groups: %w", leavingHost, left, ctx.Err())
		case <-m.ctx.Done():
			return errkind.New(errkind.Draining, "this router stops; host %s is still the standby of %d groups", leavingHost, left)
		}
	}
}

func (m *Manager) requestReplacement(leavingHost string) (left int, changed <-chan struct{}) {
	m.lock()
	defer m.unlock()
	for _, role := range m.held {
		if role.rec.Standby.Name != leavingHost {
			continue
		}
		left++
		if role.leaving != leavingHost {
			role.leaving = leavingHost
			role.machine.RequestReplacement(time.Now())
			m.wakeUp()
		}
	}
	return left, m.changed
}

// Relinquish hands a group to its standby. It stops giving permits at once,
// waits until the last permit and the work under it have ended, and writes the
// row. When the write is known not to have taken effect, the group is served
// here again. Errors have the kind WrongOwner, Conflict, StoreUnavailable,
// DeadlinePassed or OutcomeUnknown; after the last one the group stays closed
// until the outcome is known.
func (m *Manager) Relinquish(ctx context.Context, service, groupID string) error {
	result, err := m.startHandOver(ctx, GroupKey(service, groupID))
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-result:
		return err
	default:
		return &UnknownError{Op: "hand-over of group " + groupID, Err: ctx.Err()}
	}
}

func (m *Manager) startHandOver(ctx context.Context, key string) (<-chan error, error) {
	m.lock()
	defer m.unlock()
	role := m.held[key]
	switch {
	case role == nil:
		return nil, errkind.New(errkind.WrongOwner, "this host does not hold group %s", key)
	case role.rec.Standby.IsZero():
		return nil, errkind.New(errkind.Conflict, "group %s has no standby to hand over to", key)
	case role.blocked:
		return nil, errkind.New(errkind.Conflict, "group %s is being handed over", key)
	case m.stopped:
		return nil, errkind.New(errkind.Draining, "this router stops")
	}
	now := time.Now()
	// No permit given so far ends later than this.
	end := earlier(role.machine.LeaseEnd(), now.Add(m.o.Timing.LeaseDuration))
	end = end.Add(m.upstreamWait(role.rec.Service))
	role.blocked = true
	m.publish(role)
	result := make(chan error, 1)
	m.background(func(run context.Context) {
		result <- m.handOver(ctx, run, role, key, end)
	})
	return result, nil
}

// handOver waits for the end of the permits and writes the hand-over. The
// write is settled under the run context even when the caller has left.
func (m *Manager) handOver(ctx, run context.Context, role *holderRole, key string, end time.Time) error {
	wait, cancel := context.WithCancel(run)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if err := sleep(wait, time.Until(end)); err != nil {
		m.unblock(role)
		return errkind.New(errkind.DeadlinePassed, "hand-over of group %s was not begun: %w", key, err)
	}
	for {
		base, ok := m.currentRecord(role)
		if !ok {
			return nil
		}
		next := m.pickStandby(base.Service, base.Standby.Name)
		g, err := m.o.Records.Relinquish(run, base, next)
		again, err := m.handedOver(role, base, g, err)
		if !again {
			return err
		}
	}
}

// currentRecord returns the record of the role, and false when this host has
// lost the role, which is what a hand-over wants.
func (m *Manager) currentRecord(role *holderRole) (Group, bool) {
	m.lock()
	defer m.unlock()
	return role.rec, m.held[role.rec.Key()] == role
}

// handedOver follows the outcome of a hand-over. It asks for another attempt
// when only the standby was replaced in the meantime.
func (m *Manager) handedOver(role *holderRole, base, g Group, err error) (again bool, _ error) {
	m.lock()
	defer m.unlock()
	if err == nil {
		m.adopt(g)
		m.count("groups_handed_over", base.Service)
		m.log(evHandedOver, g)
		return false, nil
	}
	m.logFailure(base, err)
	if errkind.Is(err, errkind.OutcomeUnknown) {
		return false, err
	}
	m.adoptResult(base, g, err)
	if m.held[base.Key()] != role {
		newest, known := m.newest[base.Key()]
		if known && newest.Holder.SameProcess(m.o.Self) {
			return false, err
		}
		return false, nil
	}
	if role.rec.Generation != base.Generation && !role.rec.Standby.IsZero() {
		return true, nil
	}
	role.blocked = false
	m.publish(role)
	return false, err
}

func (m *Manager) unblock(role *holderRole) {
	m.lock()
	defer m.unlock()
	role.blocked = false
	if m.held[role.rec.Key()] == role {
		m.publish(role)
	}
}
