package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"burdockglade.dev/router/errkind"
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
