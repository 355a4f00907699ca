package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/stores/table"
)

// RecordsOptions configure Records.
type RecordsOptions struct {
	Store table.Store
	// Now is the wall clock; nil uses time.Now.
	Now func() time.Time
	// NewID generates write ids and group ids; nil uses random UUIDs.
	NewID func() string
}

// Records reads and changes group records in the table service.
//
// A change returns the written record or one of these errors: a ConflictError or
// an error of the kind StoreUnavailable (the change provably did not take
// effect), a SupersededError (whether it took effect is unknown, but it no longer
// can) or an UnknownError (the context ended before the outcome was known). If a
// response is lost, the change tries to resolve the outcome until its context
// ends.
type Records struct {
	store table.Store
	now   func() time.Time
	newID func() string
}

// NewRecords returns Records that use the given store.
func NewRecords(o RecordsOptions) (*Records, error) {
	if o.Store == nil {
		return nil, errors.New("ownership records need a store")
	}
	r := &Records{store: o.Store, now: o.Now, newID: o.NewID}
	if r.now == nil {
		r.now = time.Now
	}
	if r.newID == nil {
		r.newID = uuid.NewString
	}
	return r, nil
}

// Get returns a group's record. Errors have the kind NotFound,
// StoreUnavailable or Internal.
func (r *Records) Get(ctx context.Context, service, id string) (Group, error) {
	row, err := r.store.Get(ctx, GroupKey(service, id))
	if err != nil {
		return Group{}, readError(err)
	}
	g, err := DecodeGroup(row)
	if err != nil {
		return Group{}, errkind.New(errkind.Internal, "%w", err)
	}
	return g, nil
}

// List returns all records of a service, or of all services if the name is empty.
// If rows cannot be decoded, it returns the other records together with an error
// of the kind Internal. Other errors are those of Get.
func (r *Records) List(ctx context.Context, service string) ([]Group, error) {
	prefix := GroupPrefix
	if service != "" {
		prefix = ServiceGroupPrefix(service)
	}
	rows, err := table.ScanAll(ctx, r.store, prefix)
	if err != nil {
		return nil, readError(err)
	}
	groups := make([]Group, 0, len(rows))
	var bad []error
	for _, row := range rows {
		g, err := DecodeGroup(row)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		groups = append(groups, g)
	}
	if len(bad) > 0 {
		return groups, errkind.New(errkind.Internal, "%w", errors.Join(bad...))
	}
	return groups, nil
}

// readError gives an error of a read its kind.
func readError(err error) error {
	switch {
	case errors.Is(err, table.ErrNotFound):
		return errkind.New(errkind.NotFound, "%w", err)
	case errors.Is(err, table.ErrInvalid):
		return errkind.New(errkind.Internal, "%w", err)
	default:
		return errkind.New(errkind.StoreUnavailable, "%w", err)
	}
}

// JoinRequest describes the groups that a host creates when it joins a
// service.
type JoinRequest struct {
	Service string
	// Shards is the number of shards of the service. It is used only by the first
	// host that joins.
	Shards int
	Holder Host
	// Groups is the number of groups to create, 1 or more.
	Groups int
	// Standby picks the standby of each new group; a zero host means none.
	Standby func() Host
}

// serviceRow is the value of a service row.
type serviceRow struct {
	Service string `json:"service"`
	Shards  int    `json:"shards"`
}

// Join creates the groups of a joining host. The host whose transaction creates
// the service row gets all shards; all other hosts get empty groups.
func (r *Records) Join(ctx context.Context, q JoinRequest) ([]Group, error) {
	if q.Groups < 1 || q.Service == "" || q.Holder.IsZero() {
		return nil, errkind.New(errkind.Internal, "invalid join of service %q with %d groups by host %q", q.Service, q.Groups, q.Holder.Name)
	}
	op := "join of service " + q.Service
	_, err := r.store.Get(ctx, ServiceKey(q.Service))
	if err == nil {
		return r.joinLater(ctx, op, q)
	}
	if !errors.Is(err, table.ErrNotFound) {
		return nil, readError(err)
	}
	value, err := json.Marshal(serviceRow{Service: q.Service, Shards: q.Shards})
	if err != nil {
		return nil, errkind.New(errkind.Internal, "%s: %w", op, err)
	}
	changes := r.newGroups(q, keyspace.Divide(q.Shards))
	groups, err := r.commit(ctx, op, changes, serviceWrite{key: ServiceKey(q.Service), value: value})
	// A service row is written only once, so a row with another write id proves
	// that another host joined first.
	if errors.Is(err, table.ErrConflict) || errors.Is(err, errSuperseded) {
		return r.joinLater(ctx, op, q)
	}
	return groups, err
}

// joinLater creates groups without shards for a host that is not the first one
// to join.
func (r *Records) joinLater(ctx context.Context, op string, q JoinRequest) ([]Group, error) {
	groups, err := r.commit(ctx, op, r.newGroups(q, nil))
	if errors.Is(err, table.ErrConflict) || errors.Is(err, errSuperseded) {
		return nil, &ConflictError{Op: op, Reason: "a group id already exists"}
	}
	return groups, err
}

// newGroups returns the changes that create the groups, with the shards
// distributed round-robin.
func (r *Records) newGroups(q JoinRequest, shards []keyspace.Shard) []change {
	changes := make([]change, q.Groups)
	now := r.now()
	for i := range changes {
		g := Group{
			Service:         q.Service,
			ID:              r.newID(),
			Holder:          q.Holder,
			Generation:      1,
			JournalComplete: true,
			HolderSince:     now,
		}
		if q.Standby != nil {
			g.Standby = q.Standby()
		}
		for j := i; j < len(shards); j += q.Groups {
			g.Shards = append(g.Shards, shards[j])
		}
		changes[i].after = g
	}
	return changes
}

// sameLease reports whether both records have the same holder, generation and
// standby.
func sameLease(a, b Group) bool {
	return a.Holder.SameProcess(b.Holder) && a.Generation == b.Generation && a.Standby.SameProcess(b.Standby)
}

// updateRow changes one row. If the row has changed since it was read, updateRow
// reads it again and repeats the change on the newest row as long as holder,
// generation and standby are those of base.
func (r *Records) updateRow(ctx context.Context, op string, base Group, edit func(g *Group) error) (Group, error) {
	op += " of group " + base.Key()
	current := base
	for {
		next := current
		next.Shards = slices.Clone(current.Shards)
		if err := edit(&next); err != nil {
			return Group{}, &ConflictError{Op: op, Newest: []Group{current}, Reason: err.Error()}
		}
		groups, err := r.commit(ctx, op, []change{{before: current, after: next}})
		if err == nil {
			return groups[0], nil
		}
		superseded := errors.Is(err, errSuperseded)
		if !superseded && !errors.Is(err, table.ErrConflict) {
			return Group{}, err
		}
		newest, err := r.reread(ctx, base, superseded)
		if errkind.Is(err, errkind.NotFound) {
			return Group{}, &ConflictError{Op: op, Deleted: true, Reason: "the group was deleted"}
		}
		if err != nil && superseded {
			return Group{}, &UnknownError{Op: op, Err: err}
		}
		if err != nil {
			return Group{}, errkind.New(errkind.StoreUnavailable, "%s was not applied: %w", op, err)
		}
		if sameLease(newest, base) {
			current = newest
			continue
		}
		if superseded && !provesAbsence(newest, next, base) {
			return Group{}, &SupersededError{Op: op, Newest: []Group{newest}}
		}
		return Group{}, &ConflictError{Op: op, Newest: []Group{newest}, Reason: fmt.Sprintf("the row has generation %d, holder %s and standby %s", newest.Generation, newest.Holder.Name, newest.Standby.Name)}
	}
}

// reread returns the row after a write that was superseded or did not take
// effect. If the write was superseded, so that it may have been in effect, reread
// retries while the store is unavailable. Otherwise it returns at once, so that
// the caller can continue under its old lease.
func (r *Records) reread(ctx context.Context, base Group, superseded bool) (Group, error) {
	if superseded {
		return r.read(ctx, base.Service, base.ID)
	}
	return r.Get(ctx, base.Service, base.ID)
}

// provesAbsence reports whether the newest row proves that a write of next with
// an unknown outcome was never in effect. Exactly one write creates a generation,
// so another lease with the generation of next excludes next.
func provesAbsence(newest, next, base Group) bool {
	return next.Generation > base.Generation && newest.Generation == next.Generation && !sameLease(newest, next)
}

// TakeOver makes the standby of base the holder, and standby its new standby. The
// journal of the new holder is complete if both its copy and the journal of the
// old holder were.
func (r *Records) TakeOver(ctx context.Context, base Group, standby Host, copyComplete bool) (Group, error) {
	return r.updateRow(ctx, "takeover", base, func(g *Group) error {
		if g.Standby.IsZero() {
			return errors.New("the group has no standby")
		}
		g.Holder = g.Standby
		g.Standby = standby
		g.Generation++
		g.JournalComplete = g.JournalComplete && copyComplete
		g.JournalUnverified = false
		g.HolderSince = r.now()
		return nil
	})
}

// TakeOverExpired makes self the holder of a group whose row has not changed for
// the renewal deadline and its margin, as seen by the caller. It applies only to
// the row version of base.
func (r *Records) TakeOverExpired(ctx context.Context, base Group, self, standby Host) (Group, error) {
	return r.takeOverVersion(ctx, "takeover after the renewal deadline", base, self, standby)
}

// DeclareLost makes self the holder of a group whose holder and standby an
// operator has declared to be down. A row that changed after base was read proves
// that one of them is alive, so the change is not repeated on a newer row.
func (r *Records) DeclareLost(ctx context.Context, base Group, self, standby Host) (Group, error) {
	return r.takeOverVersion(ctx, "declared-lost takeover", base, self, standby)
}

// takeOverVersion makes self the holder if the row still has the version of base.
// The new holder does not have the journal of the old one.
func (r *Records) takeOverVersion(ctx context.Context, op string, base Group, self, standby Host) (Group, error) {
	op += " of group " + base.Key()
	next := base
	next.Holder = self
	next.Standby = standby
	next.Generation++
	next.JournalComplete = false
	next.JournalUnverified = false
	next.HolderSince = r.now()
	groups, err := r.commit(ctx, op, []change{{before: base, after: next}})
	if err == nil {
		return groups[0], nil
	}
	superseded := errors.Is(err, errSuperseded)
	if !superseded && !errors.Is(err, table.ErrConflict) {
		return Group{}, err
	}
	newest, err := r.reread(ctx, base, superseded)
	deleted := errkind.Is(err, errkind.NotFound)
	var rows []Group
	if err == nil {
		rows = []Group{newest}
	}
	if superseded && !deleted && (err != nil || newest.Generation > next.Generation || sameLease(newest, next)) {
		return Group{}, &SupersededError{Op: op, Newest: rows}
	}
	return Group{}, &ConflictError{Op: op, Newest: rows, Deleted: deleted, Reason: "the row changed"}
}

// ReplaceStandby gives the group another standby, or none if the host is zero,
// and increments the generation.
func (r *Records) ReplaceStandby(ctx context.Context, base Group, standby Host) (Group, error) {
	return r.updateRow(ctx, "replacement of the standby", base, func(g *Group) error {
		g.Standby = standby
		g.Generation++
		return nil
	})
}

// Relinquish makes the standby of base the holder, and standby its new standby.
// It is called by the holder, which must have stopped serving; its last permit
// must have ended. The new holder decides whether its copy of the journal is
// complete.
func (r *Records) Relinquish(ctx context.Context, base Group, standby Host) (Group, error) {
	return r.updateRow(ctx, "hand-over", base, func(g *Group) error {
		if g.Standby.IsZero() {
			return errors.New("the group has no standby")
		}
		g.Holder = g.Standby
		g.Standby = standby
		g.Generation++
		g.JournalUnverified = g.JournalUnverified || g.JournalComplete
		g.JournalComplete = false
		g.HolderSince = r.now()
		return nil
	})
}

// JournalUpdate is the change that a row renewal makes to Group.JournalComplete.
type JournalUpdate int

// Values of JournalUpdate.
const (
	JournalUnchanged JournalUpdate = iota
	// MarkJournalComplete is used when one idempotency window has passed since
	// HolderSince, or the copy of a new holder is complete after a hand-over.
	MarkJournalComplete
	// MarkJournalIncomplete is used when the copy of a new holder lacks entries
	// after a hand-over. It resets HolderSince, from which the idempotency window
	// counts.
	MarkJournalIncomplete
)

// RenewRow writes the row so that watchers see that the holder is alive.
func (r *Records) RenewRow(ctx context.Context, base Group, update JournalUpdate) (Group, error) {
	return r.updateRow(ctx, "touch", base, func(g *Group) error {
		switch update {
		case MarkJournalComplete:
			g.JournalComplete = true
			g.JournalUnverified = false
		case MarkJournalIncomplete:
			g.JournalComplete = false
			g.JournalUnverified = false
			g.HolderSince = r.now()
		}
		return nil
	})
}

// SplitShard splits the shard that contains the position, so that the position
// becomes a shard of its own. If it already is one, the shards do not change.
func (r *Records) SplitShard(ctx context.Context, base Group, at keyspace.Hash) (Group, error) {
	return r.updateRow(ctx, "split", base, func(g *Group) error {
		shard, ok := keyspace.Find(g.Shards, at)
		if !ok {
			return fmt.Errorf("position %v is not in the group", at)
		}
		rest, err := keyspace.Remove(g.Shards, []keyspace.Shard{shard})
		if err != nil {
			return err
		}
		g.Shards, err = keyspace.Add(rest, shard.SplitAt(at))
		return err
	})
}

// MoveShards moves shards from the source group to the target group in one
// transaction. If a row has changed, both are read again and the move is repeated
// as long as both holders are the same processes and the source has the shards.
// If the response was lost and the rows were written again, the error is a
// SupersededError with both rows.
func (r *Records) MoveShards(ctx context.Context, source, target Group, shards []keyspace.Shard) (newSource, newTarget Group, err error) {
	op := fmt.Sprintf("move of %d shards from group %s to %s", len(shards), source.Key(), target.Key())
	if source.Service != target.Service || source.ID == target.ID || len(shards) == 0 {
		return Group{}, Group{}, errkind.New(errkind.Internal, "%s: want shards and two groups of one service", op)
	}
	s, t := source, target
	for {
		changes, err := moveChanges(s, t, shards)
		if err != nil {
			return Group{}, Group{}, &ConflictError{Op: op, Newest: []Group{s, t}, Reason: err.Error()}
		}
		groups, err := r.commit(ctx, op, changes)
		if err == nil {
			return groups[0], groups[1], nil
		}
		superseded := errors.Is(err, errSuperseded)
		if !superseded && !errors.Is(err, table.ErrConflict) {
			return Group{}, Group{}, err
		}
		rows, err := r.readBoth(ctx, source, target)
		if superseded && err != nil {
			return Group{}, Group{}, &UnknownError{Op: op, Err: err}
		}
		if superseded {
			return Group{}, Group{}, &SupersededError{Op: op, Newest: rows}
		}
		if err != nil {
			return Group{}, Group{}, errkind.New(errkind.StoreUnavailable, "%s was not applied: %w", op, err)
		}
		if len(rows) < 2 || !rows[0].Holder.SameProcess(source.Holder) || !rows[1].Holder.SameProcess(target.Holder) {
			return Group{}, Group{}, &ConflictError{Op: op, Newest: rows, Reason: "a group changed its holder or was deleted"}
		}
		s, t = rows[0], rows[1]
	}
}

// moveChanges returns the changes of source and target, in this order. The
// target's journal is complete only when both journals were, and its window
// counts from the later change of holder.
func moveChanges(source, target Group, shards []keyspace.Shard) ([]change, error) {
	s, t := source, target
	var err error
	s.Shards, err = keyspace.Remove(source.Shards, shards)
	if err != nil {
		return nil, err
	}
	t.Shards, err = keyspace.Add(target.Shards, shards)
	if err != nil {
		return nil, err
	}
	if !source.JournalComplete {
		t.JournalComplete = false
		t.JournalUnverified = false
		if source.HolderSince.After(target.HolderSince) {
			t.HolderSince = source.HolderSince
		}
	}
	return []change{{before: source, after: s}, {before: target, after: t}}, nil
}

// readBoth returns the records of source and target, without deleted ones.
func (r *Records) readBoth(ctx context.Context, source, target Group) ([]Group, error) {
	var rows []Group
	for _, g := range []Group{source, target} {
		row, err := r.read(ctx, g.Service, g.ID)
		if errkind.Is(err, errkind.NotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// DeleteEmpty deletes a group without shards. Only its holder may call it.
func (r *Records) DeleteEmpty(ctx context.Context, base Group) error {
	op := "deletion of group " + base.Key()
	current := base
	for {
		if len(current.Shards) > 0 {
			return &ConflictError{Op: op, Newest: []Group{current}, Reason: "the group has shards"}
		}
		_, err := r.commit(ctx, op, []change{{before: current, after: current, remove: true}})
		if err == nil {
			return nil
		}
		// Ids are never reused, so a row that exists under another version was not
		// deleted.
		if !errors.Is(err, errSuperseded) && !errors.Is(err, table.ErrConflict) {
			return err
		}
		newest, err := r.read(ctx, base.Service, base.ID)
		if errkind.Is(err, errkind.NotFound) {
			return nil
		}
		if err != nil {
			return errkind.New(errkind.StoreUnavailable, "%s was not applied: %w", op, err)
		}
		if !sameLease(newest, base) {
			return &ConflictError{Op: op, Newest: []Group{newest}, Reason: "the row has another generation"}
		}
		current = newest
	}
}
