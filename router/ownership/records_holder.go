package ownership

import (
	"context"
	"errors"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/stores/table"
)

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
