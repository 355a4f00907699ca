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
	// leaseEnd is the end of the lease as Permit sees it; see heldEntry. Each
	// generation has its own.
	leaseEnd *atomic.Int64
	// windowStart is when this process began to count the idempotency window.
	windowStart time.Time
	// handingOver is true during a hand-over: no permits are granted.
	handingOver bool
	// leavingStandby is the standby that is about to stop and must not be picked.
	leavingStandby string
	// lapsed is true if the lease had lapsed at the last tick.
	lapsed bool
}

// reconcileHolder starts, updates or ends this host's holder role in a group
// according to the record g.
func (m *Manager) reconcileHolder(now time.Time, key string, g Group) {
	role := m.held[key]
	if !g.Holder.SameProcess(m.o.Self) {
		if role != nil {
			m.dropHolder(key)
			m.count("groups_lost", g.Service)
			m.log(evHolderChanged, g)
		}
		return
	}
	switch {
	case role == nil:
		m.newHolder(now, g, time.Time{})
	case sameLease(role.rec, g):
		if !g.HolderSince.Equal(role.rec.HolderSince) {
			role.windowStart = now
		}
		role.rec = g
		role.machine.Update(leaseRecord(g))
		m.rebuildIndex()
	case role.machine.Replacing():
		// The record is the result of our own replacement of the standby, whose
		// outcome is being resolved.
	default:
		m.dropHolder(key)
		m.newHolder(now, g, time.Time{})
	}
}

// newHolder starts the holder role. writeSentAt is when this process began to
// send the write that created the record, or zero if it did not write it.
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
		leaseEnd:    new(atomic.Int64),
		windowStart: now,
	}
	m.held[g.Key()] = role
	m.publishLeaseEnd(role)
	m.rebuildIndex()
}

// installWritten starts the holder role for a record that this process wrote
// itself. If a record with another lease is already known, it follows that one
// instead.
func (m *Manager) installWritten(g Group, sentAt time.Time) {
	key := g.Key()
	m.storeNewest(g)
	newest := m.newest[key]
	if !sameLease(newest, g) {
		m.reconcile(key)
		return
	}
	m.dropHolder(key)
	m.newHolder(time.Now(), newest, sentAt)
	m.reconcile(key)
}

// dropHolder ends the holder role in a group; existing permits stay valid until
// they end.
func (m *Manager) dropHolder(key string) {
	role := m.held[key]
	if role == nil {
		return
	}
	role.leaseEnd.Store(0)
	delete(m.held, key)
	m.rebuildIndex()
	m.notifyChanged()
}

func (m *Manager) rebuildIndex() {
	m.index.Store(newHeldIndex(m.held))
}

// publishLeaseEnd makes the end of the lease visible to Permit.
func (m *Manager) publishLeaseEnd(role *holderRole) {
	until := role.machine.LeaseEnd()
	if role.handingOver || until.IsZero() {
		role.leaseEnd.Store(0)
		return
	}
	role.leaseEnd.Store(int64(until.Sub(m.epoch)))
}

// tickHolder ticks the state machine of a holder and carries out its actions.
func (m *Manager) tickHolder(now time.Time, role *holderRole) {
	actions := role.machine.Tick(now)
	// A replacement shortens the lease of a group without a standby. The new end
	// must be visible before the write is sent.
	m.publishLeaseEnd(role)
	m.logLapse(now, role)
	for _, action := range actions {
		switch a := action.(type) {
		case lease.SendHeartbeat:
			hb, to := a.Heartbeat, role.rec.Standby
			hb.NoteVersion = m.noteVersion()
			m.afterUnlock = append(m.afterUnlock, func() { m.o.Network.SendHeartbeat(to, hb) })
		case lease.RenewRow:
			base, update := role.rec, m.journalUpdate(now, role)
			m.background(func(ctx context.Context) { m.renewRow(ctx, role, base, update) })
		case lease.ReplaceStandby:
			base, leaving := role.rec, role.leavingStandby
			m.background(func(ctx context.Context) { m.replaceStandby(ctx, role, base, leaving, a.RemoveOnly) })
		}
	}
}

// logLapse logs and counts the lapse of a held group's lease once.
func (m *Manager) logLapse(now time.Time, role *holderRole) {
	until := role.machine.LeaseEnd()
	lapsed := !until.IsZero() && !now.Before(until)
	if lapsed && !role.lapsed {
		m.count("leases_lapsed", role.rec.Service)
		m.log(evLapsed, role.rec)
	}
	role.lapsed = lapsed
}

// journalUpdate returns how a row renewal changes the completeness of the
// journal: the journal is complete once this process has held the group for an
// idempotency window.
func (m *Manager) journalUpdate(now time.Time, role *holderRole) JournalUpdate {
	s, ok := m.o.Service(role.rec.Service)
	if ok && !role.rec.JournalComplete && now.Sub(role.windowStart) >= s.IdempotencyWindow {
		return MarkJournalComplete
	}
	return JournalUnchanged
}

// verifyJournal returns the journal update of the first row renewal after a
// hand-over: whether this host's copy of the journal is complete.
func (m *Manager) verifyJournal(base Group) JournalUpdate {
	if m.freezeJournal(base, base.Generation-1) {
		return MarkJournalComplete
	}
	return MarkJournalIncomplete
}

// renewRow writes a row renewal and reports the result to the state machine.
func (m *Manager) renewRow(ctx context.Context, role *holderRole, base Group, update JournalUpdate) {
	if base.JournalUnverified {
		update = m.verifyJournal(base)
	}
	g, err := m.o.Records.RenewRow(ctx, base, update)
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
	m.publishLeaseEnd(role)
	m.wakeUp()
}

// adoptResult adopts the record that a write created, or the newest record from
// its error.
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
		m.removeGroup(base.Key())
	}
}

// logFailure logs and counts a write that failed or whose outcome is unknown.
func (m *Manager) logFailure(g Group, err error) {
	if errkind.Is(err, errkind.OutcomeUnknown) {
		m.log(evOutcomeUnknown, g, event.F("error", err.Error()))
		return
	}
	m.count("record_writes_failed", g.Service)
	m.log(evWriteFailed, g, event.F("error", err.Error()))
}

// replaceStandby writes another standby to the row, or none if removeOnly is true
// or no host is available. It reports the result to the state machine only when
// the outcome is known.
func (m *Manager) replaceStandby(ctx context.Context, role *holderRole, base Group, leaving string, removeOnly bool) {
	next := Host{}
	if !removeOnly {
		next = m.pickStandby(base.Service, base.Standby.Name, leaving)
	}
	if next.IsZero() && base.Standby.IsZero() {
		m.lock()
		defer m.unlock()
		role.machine.ReplaceDone(time.Now(), false, lease.Record{})
		m.publishLeaseEnd(role)
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
		m.replacementFailed(role, base, err)
		return
	}
	m.standbyReplaced(role, g)
}

func (m *Manager) replacementFailed(role *holderRole, base Group, err error) {
	m.logFailure(base, err)
	if errkind.Is(err, errkind.OutcomeUnknown) {
		return
	}
	var superseded *SupersededError
	if errors.As(err, &superseded) {
		// The write may have been in effect, so acks of the old standby must not
		// extend the lease again. The role restarts from the newest row.
		m.dropHolder(base.Key())
	} else {
		role.machine.ReplaceDone(time.Now(), false, lease.Record{})
		m.publishLeaseEnd(role)
	}
	m.adoptResult(base, Group{}, err)
	if _, known := m.newest[base.Key()]; known {
		m.reconcile(base.Key())
	}
	m.wakeUp()
}

func (m *Manager) standbyReplaced(role *holderRole, g Group) {
	m.storeNewest(g)
	role.machine.ReplaceDone(time.Now(), true, leaseRecord(g))
	role.rec = g
	role.leaseEnd = new(atomic.Int64)
	role.leavingStandby = ""
	m.publishLeaseEnd(role)
	m.rebuildIndex()
	m.notifyChanged()
	m.count("standbys_replaced", g.Service)
	m.log(evReplaced, g)
	m.reconcile(g.Key())
}

// HandleAck handles an ack of a standby.
func (m *Manager) HandleAck(a lease.Ack) {
	m.lock()
	defer m.unlock()
	role := m.held[GroupKey(a.Service, a.GroupID)]
	if role != nil && role.machine.Ack(time.Now(), a) {
		m.publishLeaseEnd(role)
	}
}

// ReplaceStandby replaces a leaving host as standby of all groups held by this
// host. It returns nil once no held group has that standby. Errors have the kind
// StoreUnavailable if the context ends before, in which case the replacement
// continues in the background, or Draining if this router stops.
func (m *Manager) ReplaceStandby(ctx context.Context, leavingHost string) error {
	for {
		remaining, changed := m.requestReplacement(leavingHost)
		if remaining == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.New(errkind.StoreUnavailable, "host %s is still the standby of %d groups: %w", leavingHost, remaining, ctx.Err())
		case <-m.ctx.Done():
			return errkind.New(errkind.Draining, "this router is stopping; host %s is still the standby of %d groups", leavingHost, remaining)
		}
	}
}

// requestReplacement starts the replacement of a leaving host as standby. It
// returns the number of held groups that still have that standby, and a channel
// that is closed at the next change.
func (m *Manager) requestReplacement(leavingHost string) (remaining int, changed <-chan struct{}) {
	m.lock()
	defer m.unlock()
	for _, role := range m.held {
		if role.rec.Standby.Name != leavingHost {
			continue
		}
		remaining++
		if role.leavingStandby != leavingHost {
			role.leavingStandby = leavingHost
			role.machine.RequestReplacement(time.Now())
			m.wakeUp()
		}
	}
	return remaining, m.changed
}

// Relinquish hands a group over to its standby. It stops granting permits at
// once, waits until the last permit and the requests running under it have
// ended, and writes the row. If the write provably did not take effect, this
// host serves the group again. Errors have the kind WrongOwner, Conflict,
// Draining, StoreUnavailable, DeadlinePassed or OutcomeUnknown; after
// OutcomeUnknown no permits are granted until the outcome is known.
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

// startHandOver stops granting permits for the group and starts its hand-over in
// the background. The channel receives the result.
func (m *Manager) startHandOver(ctx context.Context, key string) (<-chan error, error) {
	m.lock()
	defer m.unlock()
	role := m.held[key]
	switch {
	case role == nil:
		return nil, errkind.New(errkind.WrongOwner, "this host does not hold group %s", key)
	case role.rec.Standby.IsZero():
		return nil, errkind.New(errkind.Conflict, "group %s has no standby to hand over to", key)
	case role.handingOver:
		return nil, errkind.New(errkind.Conflict, "group %s is being handed over", key)
	case m.stopped:
		return nil, errkind.New(errkind.Draining, "this router is stopping")
	}
	now := time.Now()
	// No permit granted so far ends later than this.
	end := earlier(role.machine.LeaseEnd(), now.Add(m.o.Timing.LeaseDuration))
	end = end.Add(m.upstreamWait(role.rec.Service))
	role.handingOver = true
	m.publishLeaseEnd(role)
	result := make(chan error, 1)
	m.background(func(runCtx context.Context) {
		result <- m.handOver(ctx, runCtx, role, key, end)
	})
	return result, nil
}

// handOver waits until the permits have ended and writes the hand-over. ctx is
// the caller's context and limits only the wait; the outcome of the write is
// resolved under runCtx even when the caller has left.
func (m *Manager) handOver(ctx, runCtx context.Context, role *holderRole, key string, end time.Time) error {
	waitCtx, cancel := context.WithCancel(runCtx)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if err := sleep(waitCtx, time.Until(end)); err != nil {
		m.cancelHandOver(role)
		return errkind.New(errkind.DeadlinePassed, "hand-over of group %s was not started: %w", key, err)
	}
	for {
		base, ok := m.currentRecord(role)
		if !ok {
			return nil
		}
		next := m.pickStandby(base.Service, base.Standby.Name)
		g, err := m.o.Records.Relinquish(runCtx, base, next)
		retry, err := m.handOverDone(role, base, g, err)
		if !retry {
			return err
		}
	}
}

// currentRecord returns the record of the role. It returns false if this host no
// longer has the role; the hand-over is then done.
func (m *Manager) currentRecord(role *holderRole) (Group, bool) {
	m.lock()
	defer m.unlock()
	return role.rec, m.held[role.rec.Key()] == role
}

// handOverDone handles the outcome of a hand-over. retry is true if the hand-over
// must be repeated because only the standby was replaced in the meantime.
func (m *Manager) handOverDone(role *holderRole, base, g Group, err error) (retry bool, _ error) {
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
	role.handingOver = false
	m.publishLeaseEnd(role)
	return false, err
}

// cancelHandOver lets the group be served again after a hand-over that was not
// written.
func (m *Manager) cancelHandOver(role *holderRole) {
	m.lock()
	defer m.unlock()
	role.handingOver = false
	if m.held[role.rec.Key()] == role {
		m.publishLeaseEnd(role)
	}
}
